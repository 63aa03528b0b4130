//! Runs that have to end, and the progress of their stops.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Job, LiveRun, Order, Phase, Task};
use crate::{Name, Stage, TaskId};

/// A run that takes room on a worker and has to end.
#[derive(Clone, Debug, PartialEq)]
pub struct RunToEnd {
    /// The task of the run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The stage of its job.
    pub stage: Stage,
    /// The progress of its stop.
    pub phase: Phase,
    /// How long the run has been in that phase, in milliseconds.
    pub age_ms: Millisecond,
}

/// A summary of the runs that have to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunsToEnd {
    /// The number of such runs.
    pub count: usize,
    /// The longest time that one of them has been in its phase, in milliseconds.
    pub longest_ms: Millisecond,
}

/// A stop that is not known to have failed is ordered again after this time, which is longer than a link keeps trying
/// one.
const STOP_RETRY_MS: Millisecond = 2_000;

impl Coordinator {
    /// Orders the stop of runs that a worker has and should not have, even if a stop was ordered before by this
    /// coordinator or a former one: orders get lost.
    pub(super) fn stop_unwanted(&mut self, worker: &Name, now: Moment) {
        for it in self.runs_to_end_on(worker, now) {
            match it.phase {
                Phase::Stopping | Phase::StopConfirmed => self.retry_stop(&it.task, now),
                _ => self.stop_run(&it.task, now),
            }
        }
    }

    fn retry_stop(&mut self, id: &TaskId, now: Moment) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        let Some(live) = task.live() else { return };
        let is_tried = live.stop_ordered.is_some_and(|at| now.since(at) < STOP_RETRY_MS);
        // Other tasks of its step may have become unavailable since the first order.
        if !is_tried && (!is_needed(job, task) || job.may_stop(id, now)) {
            self.order_stop(id, now);
        }
    }

    /// Lets a run that its worker lists go on if its stop was lost and may not be ordered again now. Several such runs of
    /// a step would otherwise count as unavailable for each other for ever.
    pub(super) fn keep_run_without_stop(&mut self, id: &TaskId, now: Moment) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        let Some(live) = task.live() else { return };
        let is_lost = live.phase == Phase::Stopping
            && live.stop_ordered.is_none_or(|at| now.since(at) >= STOP_RETRY_MS);
        if is_lost && is_needed(job, task) && !job.may_stop(id, now) {
            self.set_phase(id, Phase::Running, now);
        }
    }

    pub(super) fn order_stop(&mut self, id: &TaskId, now: Moment) {
        let run = self.run_of(id);
        let Some(live) = self.live_mut(id) else { return };
        live.stop_ordered = Some(now);
        let worker = live.worker.clone();
        self.ready_orders.push(Order::Stop { worker, task: id.clone(), run });
    }

    /// Notes that a stop was not carried out. It is ordered again once the worker answers.
    pub fn stop_failed(&mut self, id: &TaskId, run: u32) {
        if self.run_of(id) == run
            && let Some(live) = self.live_mut(id)
        {
            live.stop_ordered = None;
        }
    }

    /// Notes that a worker has confirmed a stop: the run is not there, or its end will be listed.
    pub fn stop_answered(&mut self, id: &TaskId, run: u32, now: Moment) {
        let is_stopping = self.live_mut(id).is_some_and(|live| live.phase == Phase::Stopping);
        if is_stopping && self.run_of(id) == run {
            self.set_phase(id, Phase::StopConfirmed, now);
        }
    }

    /// Returns whether a worker has or may have runs, known ones or not, so that it has to be polled.
    pub fn has_runs(&self, worker: &str) -> bool {
        self.lives.late_starts.contains_key(worker)
            || self.workers.get(worker).is_some_and(|it| !it.live.is_empty() || it.reports_runs)
    }

    /// Returns the runs on one worker that have to end.
    pub fn runs_to_end_on(&self, worker: &str, now: Moment) -> Vec<RunToEnd> {
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        worker.live.keys().filter_map(|id| self.to_end(id, now)).collect()
    }

    /// Returns a summary of all runs that have to end.
    pub fn runs_to_end(&self, now: Moment) -> RunsToEnd {
        let runs = self.workers.values().flat_map(|it| it.live.keys());
        let ages = runs.filter_map(|id| self.to_end(id, now)).map(|it| it.age_ms);
        ages.fold(RunsToEnd::default(), |all, age| RunsToEnd {
            count: all.count + 1,
            longest_ms: all.longest_ms.max(age),
        })
    }

    fn to_end(&self, id: &TaskId, now: Moment) -> Option<RunToEnd> {
        let job = self.jobs.get(&id.job)?;
        let task = job.task(id)?;
        let live = task.live().filter(|it| has_to_end(job, task, it))?;
        Some(RunToEnd {
            task: id.clone(),
            run: task.run,
            stage: job.stage,
            phase: live.phase,
            age_ms: now.since(live.since),
        })
    }
}

/// Returns whether a result of the task is still needed.
fn is_needed(job: &Job, task: &Task) -> bool {
    !job.stage.is_over() && !task.is_superseded
}

/// Returns whether a run must not continue: its stop was ordered, or its result is no longer needed.
fn has_to_end(job: &Job, task: &Task, live: &LiveRun) -> bool {
    let is_stopping = matches!(live.phase, Phase::Stopping | Phase::StopConfirmed);
    is_stopping || !is_needed(job, task)
}
