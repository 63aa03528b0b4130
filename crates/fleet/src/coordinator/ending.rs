//! Runs that must not go on, and how far their stop is.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Job, Live, Order, Phase, Task};
use crate::{Name, Stage, TaskId};

/// A run that takes room on a worker and has to end.
#[derive(Clone, Debug, PartialEq)]
pub struct RunToEnd {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Where its job stands.
    pub stage: Stage,
    /// How far its stop is.
    pub phase: Phase,
    /// How long it has been in that phase, in milliseconds.
    pub age_ms: Millisecond,
}

/// Every run that has to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunsToEnd {
    /// How many there are.
    pub count: usize,
    /// How long the one that has waited longest has been in its phase, in milliseconds.
    pub longest_ms: Millisecond,
}

/// A stop that is not known to have failed is ordered again after this time, longer than a link tries one.
const STOP_AGAIN_MS: Millisecond = 2_000;

impl Coordinator {
    /// Stops what a worker has and should not have. Whether that was ordered before, by this coordinator or a former one,
    /// proves nothing: orders get lost.
    pub(super) fn end_unwanted(&mut self, worker: &Name, now: Moment) {
        for it in self.runs_to_end_on(worker, now) {
            match it.phase {
                Phase::Stopping | Phase::StopConfirmed => self.stop_again(&it.task, now),
                _ => self.stop(&it.task, now),
            }
        }
    }

    fn stop_again(&mut self, id: &TaskId, now: Moment) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        let Some(live) = task.live() else { return };
        let is_tried = live.stop_ordered.is_some_and(|at| now.since(at) < STOP_AGAIN_MS);
        let is_needed = !job.stage.is_over() && !task.is_superseded;
        // Others of its step may have gone away since the first order.
        if !is_tried && (!is_needed || job.may_stop(id, now)) {
            self.order_stop(id, now);
        }
    }

    pub(super) fn order_stop(&mut self, id: &TaskId, now: Moment) {
        let run = self.run_of(id);
        let Some(live) = self.live_mut(id) else { return };
        live.stop_ordered = Some(now);
        let worker = live.worker.clone();
        self.released.push(Order::Stop { worker, task: id.clone(), run });
    }

    /// A stop was not carried out: it is ordered again once the worker answers.
    pub fn stop_failed(&mut self, id: &TaskId, run: u32) {
        if self.run_of(id) == run
            && let Some(live) = self.live_mut(id)
        {
            live.stop_ordered = None;
        }
    }

    /// Whether a worker has or may have runs, known ones or not, so that it has to be looked at.
    pub fn has_runs(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|it| !it.live.is_empty() || it.lists_runs)
    }

    /// The runs of one worker that have to end.
    pub fn runs_to_end_on(&self, worker: &str, now: Moment) -> Vec<RunToEnd> {
        let Some(at) = self.workers.get(worker) else { return Vec::new() };
        at.live.keys().filter_map(|id| self.to_end(id, now)).collect()
    }

    /// All runs that have to end.
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

/// Whether a run must not go on: its stop was ordered, or nobody needs it any more.
fn has_to_end(job: &Job, task: &Task, live: &Live) -> bool {
    let is_stopping = matches!(live.phase, Phase::Stopping | Phase::StopConfirmed);
    is_stopping || task.is_superseded || job.stage.is_over()
}
