//! What waits to be stored, and the orders that wait for it.

use fuchsiamill_model::{FastSet, units::Moment};

use super::{Coordinator, Order, Phase};
use crate::{JobRecord, Name};

/// Records to store, all or none of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// Rows to write.
    pub records: Vec<(Name, JobRecord)>,
}

/// The most records in one commit: the store takes 100 rows, of which the lease and the board are two.
const COMMIT_RECORDS: usize = 90;

impl Coordinator {
    pub(super) fn mark(&mut self, id: &Name) {
        if self.is_dirty.insert(id.clone()) {
            self.dirty.push_back(id.clone());
        }
    }

    /// The next records to store, if there are any and none are on their way.
    pub fn next_commit(&mut self) -> Option<Commit> {
        if self.in_flight.is_some() || (self.dirty.is_empty() && self.held_back.is_empty()) {
            return None;
        }
        let mut commit = Commit::default();
        let mut ids = FastSet::default();
        while commit.records.len() < COMMIT_RECORDS
            && let Some(id) = self.dirty.pop_front()
        {
            self.is_dirty.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                commit.records.push((id.clone(), job.record()));
                ids.insert(id);
            }
        }
        let orders = std::mem::take(&mut self.held_back);
        // Orders about jobs whose record did not fit wait for the next commit.
        let (now, later) = orders.into_iter().partition(|it| !self.waits_for_record(it));
        self.held_back = later;
        self.in_flight = Some((ids, now));
        Some(commit)
    }

    fn waits_for_record(&self, order: &Order) -> bool {
        match order {
            Order::Start { task, .. } => self.is_dirty.contains(&task.job),
            Order::Host { .. } => false,
            _ => !self.is_dirty.is_empty(),
        }
    }

    /// The commit is stored: orders that waited for it are released.
    pub fn committed(&mut self, now: Moment) {
        let Some((ids, orders)) = self.in_flight.take() else { return };
        for order in &orders {
            if let Order::Start { task, .. } = order {
                self.set_phase(task, Phase::Sent, now);
            }
        }
        let orders = orders.into_iter().filter(|it| self.may_send(it, now)).collect::<Vec<_>>();
        self.released.extend(orders);
        for id in ids {
            self.forget_if_over(&id, now);
        }
    }

    /// Whether something waits to be placed or stored.
    pub fn has_work(&self) -> bool {
        self.needs_placing || !self.dirty.is_empty() || !self.held_back.is_empty()
    }

    /// Orders that may be carried out now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.released)
    }
}
