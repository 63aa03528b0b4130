//! What a worker lists and the coordinator has no use for: ends that were acknowledged, and runs without a record.

use super::{Coordinator, Order, worker::UnknownRuns};
use crate::{Name, RunInfo, WorkerReport};

impl Coordinator {
    /// Acknowledges ends that a worker lists although their acknowledgement was released before it was polled: the link
    /// that was to send it may have been replaced.
    pub(super) fn acknowledge_again(&mut self, id: &Name, report: &WorkerReport) {
        let Some(worker) = self.workers.get(id) else { return };
        if !report.ended.is_empty() && worker.acknowledged.is_some_and(|at| report.asked > at) {
            let (born, upto) = (report.born, worker.last_end);
            self.ready_orders.push(Order::Acknowledge { worker: id.clone(), born, upto });
        }
    }

    /// Notes the room of listed runs that the coordinator has not recorded on this worker.
    pub(super) fn note_unknown_runs(&mut self, id: &Name, listed: &[RunInfo]) {
        let mut unknown = UnknownRuns::default();
        for run in listed {
            if self.is_expected(id, run) {
                continue;
            }
            match self.step_of(&run.task) {
                Some(step) => unknown.room = unknown.room.plus(step.room()),
                None => unknown.has_unsized = true,
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let before = std::mem::replace(&mut worker.unknown, unknown);
        self.needs_placing |= before != unknown;
    }

    /// Returns whether a listed run is the one that the coordinator has recorded for its task on this worker.
    pub(super) fn is_expected(&self, worker: &Name, seen: &RunInfo) -> bool {
        let task = self.jobs.get(&seen.task.job).and_then(|it| it.task(&seen.task));
        task.is_some_and(|it| {
            it.run == seen.run && it.live().is_some_and(|live| live.worker == *worker)
        })
    }
}
