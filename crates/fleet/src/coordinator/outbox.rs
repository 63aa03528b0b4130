//! Records that wait to be stored, and the orders that wait for them.

use fuchsiamill_model::{FastSet, units::Moment};

use super::{Coordinator, Order, Phase};
use crate::{DoneRange, JobRecord, Name, RecordKey, TaskId};

/// Records to store, all or none of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// The records by the names of their rows.
    pub records: Vec<(Name, JobRecord)>,
}

/// The most records in one commit. The store takes 100 rows, of which the lease and the board are two.
const COMMIT_RECORDS: usize = 90;

/// While so many records wait, no task is placed. They take four commits, each of which takes some 50 ms, so that ends are
/// acknowledged before their worker is polled without it.
const MAX_WAITING_RECORDS: usize = 4 * COMMIT_RECORDS;

/// A commit takes no further record beyond this size. The store takes 1 MB, in base64.
const COMMIT_BYTES: usize = 400 * 1024;

/// An order that is released once records are stored.
pub(super) struct PendingOrder {
    order: Order,
    /// How many records had been marked when it was given; see [`Coordinator::records_marked`].
    records: u64,
}

impl Coordinator {
    /// Gives an order that is released once all records are stored that are marked now.
    pub(super) fn give_after_records(&mut self, order: Order) {
        self.pending_orders.push(PendingOrder { order, records: self.records_marked });
    }

    /// Returns how many more records may wait.
    pub(super) fn record_room(&self) -> usize {
        MAX_WAITING_RECORDS.saturating_sub(self.dirty_records.len())
    }

    /// Notes that the progress of a task has changed.
    pub(super) fn mark_task_dirty(&mut self, id: &TaskId) {
        if let Some(job) = self.jobs.get(&id.job) {
            let part = job.part_of(id);
            self.mark_part_dirty(&id.job, part);
        }
    }

    /// Notes that the stage of a job has changed.
    pub(super) fn mark_stage_dirty(&mut self, id: &Name) {
        self.mark_part_dirty(id, 0);
    }

    /// Notes that all rows of a job have to be stored. The first one is stored last, since it has the stage.
    pub(super) fn mark_all_dirty(&mut self, id: &Name) {
        let parts = self.jobs.get(id).map_or(0, |it| it.parts);
        (0..parts).rev().for_each(|part| self.mark_part_dirty(id, part));
    }

    /// Has the tasks deleted from the record of a job that is over and has no live runs.
    pub(super) fn clear_record_if_over(&mut self, id: &Name) {
        if self.jobs.get(id).is_some_and(|it| it.stage.is_over() && it.live == 0) {
            self.mark_all_dirty(id);
        }
    }

    /// Has the rows of a wide job stored that was read from one row, as former versions stored it.
    pub(super) fn split_record(&mut self, id: &Name, record: &JobRecord) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let last_of = |it: &DoneRange| it.first.saturating_add(it.count).saturating_sub(1);
        let tasks = record.tasks.iter().map(|it| (it.occurrence, it.step, it.index));
        let done = record.done.iter().map(|it| (it.occurrence, it.step, last_of(it)));
        let parts = tasks.chain(done).map(|it| job.spec.record_part(it).saturating_add(1));
        job.parts = parts.max().unwrap_or(1);
        if job.parts > 1 {
            self.mark_all_dirty(id);
        }
    }

    fn mark_part_dirty(&mut self, id: &Name, part: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let key = RecordKey { job: id.clone(), part };
        if self.dirty_record_set.insert(key.clone()) {
            self.dirty_records.push_back(key);
            self.records_marked += 1;
            job.dirty_parts += 1;
            job.parts = job.parts.max(part.saturating_add(1));
        }
    }

    /// Returns the next records to store, or `None` if there are none or a commit is in flight.
    pub fn next_commit(&mut self) -> Option<Commit> {
        if self.commit_in_flight.is_some()
            || (self.dirty_records.is_empty() && self.pending_orders.is_empty())
        {
            return None;
        }
        let mut commit = Commit::default();
        let mut ids = FastSet::default();
        let mut bytes = 0;
        while commit.records.len() < COMMIT_RECORDS
            && bytes < COMMIT_BYTES
            && let Some(key) = self.dirty_records.pop_front()
        {
            self.dirty_record_set.remove(&key);
            self.records_taken += 1;
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.dirty_parts -= 1;
                let record = job.record(key.part);
                bytes += record.size_bound();
                commit.records.push((key.row_name(), record));
                ids.insert(key.job);
            }
        }
        let orders = std::mem::take(&mut self.pending_orders);
        // Orders whose records did not fit wait for the next commit.
        let (later, now): (Vec<_>, Vec<_>) =
            orders.into_iter().partition(|it| self.waits_for_record(it));
        self.pending_orders = later;
        let now = now.into_iter().map(|it| it.order).collect();
        self.commit_in_flight = Some((ids, now));
        Some(commit)
    }

    fn waits_for_record(&self, pending: &PendingOrder) -> bool {
        match &pending.order {
            Order::Start { task, .. } => self.jobs.get(&task.job).is_some_and(|job| {
                let (job, part) = (task.job.clone(), job.part_of(task));
                self.dirty_record_set.contains(&RecordKey { job, part })
            }),
            Order::Host { .. } => false,
            _ => self.records_taken < pending.records,
        }
    }

    /// Removes a start order that was not sent because its record is not stored yet.
    pub(super) fn withdraw_start(&mut self, id: &TaskId, run: u32) {
        self.pending_orders.retain(|it| !is_start_of(&it.order, id, run));
        if let Some((_, orders)) = &mut self.commit_in_flight {
            orders.retain(|it| !is_start_of(it, id, run));
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
        !self.dirty_records.is_empty() || !self.pending_orders.is_empty()
    }

    /// Returns the orders that may be carried out now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.ready_orders)
    }
}

fn is_start_of(order: &Order, id: &TaskId, of: u32) -> bool {
    matches!(order, Order::Start { task, run, .. } if task == id && *run == of)
}
