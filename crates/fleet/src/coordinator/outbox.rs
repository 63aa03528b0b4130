//! Records that wait to be stored, and the orders that wait for them.

use fuchsiamill_model::{FastSet, units::Moment};

use super::{Coordinator, Order, Phase};
use crate::{JobRecord, Name};

/// Records to store, all or none of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// The records by job id.
    pub records: Vec<(Name, JobRecord)>,
}

/// The most records in one commit. The store takes 100 rows, of which the lease and the board are two.
const COMMIT_RECORDS: usize = 90;

impl Coordinator {
    pub(super) fn mark_dirty(&mut self, id: &Name) {
        if self.dirty_job_set.insert(id.clone()) {
            self.dirty_jobs.push_back(id.clone());
        }
    }

    /// Returns the next records to store, or `None` if there are none or a commit is in flight.
    pub fn next_commit(&mut self) -> Option<Commit> {
        if self.commit_in_flight.is_some()
            || (self.dirty_jobs.is_empty() && self.pending_orders.is_empty())
        {
            return None;
        }
        let mut commit = Commit::default();
        let mut ids = FastSet::default();
        while commit.records.len() < COMMIT_RECORDS
            && let Some(id) = self.dirty_jobs.pop_front()
        {
            self.dirty_job_set.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                commit.records.push((id.clone(), job.record()));
                ids.insert(id);
            }
        }
        let orders = std::mem::take(&mut self.pending_orders);
        // Orders about jobs whose record did not fit wait for the next commit.
        let (now, later) = orders.into_iter().partition(|it| !self.waits_for_record(it));
        self.pending_orders = later;
        self.commit_in_flight = Some((ids, now));
        Some(commit)
    }

    fn waits_for_record(&self, order: &Order) -> bool {
        match order {
            Order::Start { task, .. } => self.dirty_job_set.contains(&task.job),
            Order::Host { .. } => false,
            _ => !self.dirty_job_set.is_empty(),
        }
    }

    /// Notes that the commit is stored, and releases the orders that waited for it.
    pub fn committed(&mut self, now: Moment) {
        let Some((ids, orders)) = self.commit_in_flight.take() else { return };
        for order in &orders {
            match order {
                Order::Start { task, .. } => self.set_phase(task, Phase::Sent, now),
                Order::Acknowledge { worker, born, upto } => {
                    self.acknowledgement_released(worker, (*born, *upto), now);
                }
                _ => {}
            }
        }
        let orders = orders.into_iter().filter(|it| self.may_send(it, now)).collect::<Vec<_>>();
        self.ready_orders.extend(orders);
        for id in ids {
            self.forget_if_over(&id, now);
        }
    }

    fn acknowledgement_released(&mut self, worker: &Name, (born, upto): (u64, u64), now: Moment) {
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.seen.born == born
            && worker.last_end == upto
        {
            worker.acknowledged = Some(now);
        }
    }

    /// Returns whether something waits to be placed or stored.
    pub fn has_work(&self) -> bool {
        self.needs_placing || self.has_records()
    }

    /// Returns whether something waits to be stored.
    pub fn has_records(&self) -> bool {
        !self.dirty_jobs.is_empty() || !self.pending_orders.is_empty()
    }

    /// Returns the orders that may be carried out now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.ready_orders)
    }
}
