//! What a worker lists and the coordinator has no use for: ends that were acknowledged, and runs without a record.

use fuchsiamill_model::units::Moment;

use super::{Coordinator, LiveRun, Order, Phase, StepKey, job::StepRun, worker::UnknownRuns};
use crate::{Name, RunEnd, RunInfo, WorkerReport};

/// The most ends that a worker goes on listing because some of them cannot be recorded. It lists 500 at a time, so that the
/// ends after these are listed too.
const MAX_HELD_ENDS: usize = 100;

impl Coordinator {
    /// Notes that the row of a job is there and cannot be read. Ends of its runs are not acknowledged, since nothing can
    /// be recorded of them and a coordinator that reads the row would start them again.
    pub fn job_unreadable(&mut self, id: &Name) {
        self.unreadable_jobs.insert(id.clone());
    }

    /// Notes that the row of a job is gone.
    pub fn job_row_removed(&mut self, id: &Name) {
        self.unreadable_jobs.remove(id);
    }

    /// Returns the number of the last listed end up to which all ends are recorded or need no record; 0 if there is none.
    pub(super) fn last_settled_end(&self, report: &WorkerReport) -> u64 {
        let has_room = !report.has_more_ends && report.ended.len() < MAX_HELD_ENDS;
        let is_held = |it: &RunEnd| has_room && self.unreadable_jobs.contains(&it.task.job);
        let settled = report.ended.iter().take_while(|it| !is_held(it));
        settled.map(|it| it.number).max().unwrap_or(0)
    }

    /// Acknowledges ends that a worker lists although their acknowledgement was released before it was polled: the link
    /// that was to send it may have been replaced.
    pub(super) fn acknowledge_again(&mut self, id: &Name, report: &WorkerReport) {
        let Some(worker) = self.workers.get(id) else { return };
        if !report.ended.is_empty() && worker.acknowledged.is_some_and(|at| report.asked > at) {
            let (born, upto) = (report.born, worker.last_end);
            self.ready_orders.push(Order::Acknowledge { worker: id.clone(), born, upto });
        }
    }

    /// Notes the listed runs that the coordinator has not recorded on this worker, and their room. The worker is told to
    /// stop them; until it no longer lists them, their tasks do not start anew.
    pub(super) fn note_unknown_runs(&mut self, id: &Name, listed: &[RunInfo], now: Moment) {
        self.forget_stray_runs(id);
        let mut unknown = UnknownRuns::default();
        for run in listed {
            if self.is_expected(id, run) {
                continue;
            }
            match self.step_of(&run.task) {
                Some(step) => {
                    unknown.room = unknown.room.plus(step.room());
                    self.stray_runs.insert(run.task.clone(), id.clone());
                }
                None => unknown.has_unsized = true,
            }
            let is_unsent = |it: &mut LiveRun| it.phase == Phase::Recorded;
            if self.live_mut(&run.task).is_some_and(is_unsent) {
                self.requeue(&run.task, now);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let before = std::mem::replace(&mut worker.unknown, unknown);
        self.needs_placing |= before != unknown;
    }

    /// Forgets the runs of a worker that is not known to have them any longer.
    pub(super) fn forget_stray_runs(&mut self, worker: &Name) {
        let before = self.stray_runs.len();
        self.stray_runs.retain(|_, on| on != worker);
        self.needs_placing |= self.stray_runs.len() < before;
    }

    /// Returns whether a worker may have runs that are not recorded on it.
    pub(super) fn has_stray_runs_on(&self, worker: &Name) -> bool {
        self.stray_runs.values().any(|on| on == worker)
    }

    /// Returns the waiting tasks of a step, by index, of which no worker lists another run.
    pub(super) fn startable_tasks(&self, key: &StepKey, step: &StepRun) -> Vec<u32> {
        let has_strays = !self.stray_runs.is_empty();
        let is_stray = |it| has_strays && self.stray_runs.contains_key(&key.task(it));
        step.tasks.waiting().filter(|it| !is_stray(*it)).collect()
    }

    /// Returns whether a listed run is the one that the coordinator has recorded for its task on this worker.
    pub(super) fn is_expected(&self, worker: &Name, seen: &RunInfo) -> bool {
        let task = self.jobs.get(&seen.task.job).and_then(|it| it.task(&seen.task));
        task.is_some_and(|it| {
            it.run == seen.run && it.live().is_some_and(|live| live.worker == *worker)
        })
    }
}
