//! Detection of workers that fail tasks, are slow, or let tasks stall.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{
    Coordinator, Phase, TaskState,
    live::{FULL_PERCENT, Speed},
};
use crate::{Ending, Name, RunInfo, TaskId};

/// Consecutive task failures after which a worker is avoided for a while. A task that has run for longer than that while
/// shows that the worker runs tasks.
const FAILURES_TO_AVOID: u32 = 3;

/// How long a worker that fails everything or lets tasks stall is avoided, and how long a task runs on one that does not fail
/// everything.
pub(super) const AVOID_FAILING_MS: Millisecond = 8_000;

/// How long a slow worker is avoided before it is tried again.
const AVOID_SLOW_MS: Millisecond = 5_000;

/// A worker is slow when its tasks take this many times as long as other tasks of their steps.
const SLOW_FACTOR: f64 = 2.2;

/// Tasks that are compared before a worker is considered slow.
const SLOW_SAMPLES: u32 = 4;

/// Tasks of a step that have to be done before another is compared with them.
const MIN_SIBLINGS: u32 = 2;

/// The weight of the newest value in a mean.
const NEWEST_WEIGHT: f64 = 0.25;

/// A task whose progress does not change for this long, plus a part of its estimate, has stalled.
const STALL_MS: Millisecond = 1_500;

/// Each stop of a stalled run doubles the time that the next run of the task gets, at most this many times: the
/// estimate may be far too low.
const MAX_STALL_DOUBLINGS: u32 = 10;

/// The estimate divided by this is added to `STALL_MS`. Progress is reported in whole per cent, so a long task shows
/// none for a while.
const STALL_ESTIMATE_DIVISOR: u64 = 33;

/// A mean that gives the newest values more weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    /// Returns the number of values.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean, or 0 before the first value.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Adds a value.
    pub fn note(&mut self, ratio: f64) {
        self.samples += 1;
        self.mean = match self.samples {
            1 => ratio,
            _ => self.mean + (ratio - self.mean) * NEWEST_WEIGHT,
        };
    }
}

impl Coordinator {
    /// Updates the health of a worker after a run on it has ended.
    pub(super) fn note_run_end(&mut self, worker: &Name, id: &TaskId, ending: Ending, now: Moment) {
        let has_run_well = self.live_mut(id).is_some_and(|it| {
            it.phase == Phase::Running && now.since(it.since) >= AVOID_FAILING_MS
        });
        // A run on a cold worker tells how long neither its step nor its worker takes later.
        let began_cold = self.live_mut(id).is_some_and(|it| it.began_cold);
        let mut ratio = None;
        if ending == Ending::Done && !began_cold {
            self.note_duration(id, now);
            self.learn_done(id, now);
            ratio = self.sibling_ratio(id, now);
        }
        let Some(worker) = self.workers.get_mut(worker) else { return };
        match ending {
            Ending::Done => {
                worker.failures = 0;
                worker.health.task_done(now);
            }
            Ending::Failed if has_run_well => worker.failures = 1,
            Ending::Failed => worker.failures += 1,
            _ => {}
        }
        if worker.failures >= FAILURES_TO_AVOID {
            worker.avoid(now + AVOID_FAILING_MS);
        }
        if let Some(ratio) = ratio {
            worker.slowness.note(ratio);
            if worker.slowness.samples >= SLOW_SAMPLES && worker.slowness.mean > SLOW_FACTOR {
                worker.avoid(now + AVOID_SLOW_MS);
                worker.slowness = RunningMean::default();
            }
        }
    }

    /// Returns how many times as long a run took as the tasks of its step that were done before it. Tasks of different
    /// steps are not compared because their estimates are too inaccurate.
    fn sibling_ratio(&mut self, id: &TaskId, now: Moment) -> Option<f64> {
        if self.is_far(id) {
            return None;
        }
        let job = self.jobs.get_mut(&id.job)?;
        let begun = match &job.task(id)?.state {
            TaskState::Live(live) if live.phase == Phase::Running => live.since,
            _ => return None,
        };
        let took = now.since(begun) as f64;
        let step = job.step_mut(id.occurrence as usize, id.step as usize);
        let ratio =
            (step.durations.samples >= MIN_SIBLINGS).then(|| took / step.durations.mean.max(1.0));
        step.durations.note(took);
        ratio
    }

    /// Records the progress of a run. A run that stalls is stopped, so that its task starts elsewhere.
    pub(super) fn check_progress(&mut self, worker: &Name, seen: &RunInfo, now: Moment) {
        let Some(step) = self.step_of(&seen.task) else { return };
        let patience = STALL_MS + step.estimate_ms / STALL_ESTIMATE_DIVISOR;
        if step.long_running || step.gang {
            return;
        }
        let task = self.jobs.get(&seen.task.job).and_then(|it| it.task(&seen.task));
        let stalls = task.map_or(0, |it| it.stalls).min(MAX_STALL_DOUBLINGS);
        let Some(live) = self.live_mut(&seen.task) else { return };
        if live.phase != Phase::Running {
            return;
        }
        // A task at reduced speed makes less progress, or none.
        if live.speed == Speed::Unknown || live.speed.percent() < FULL_PERCENT {
            live.progress = None;
            return;
        }
        let (percent, since) = *live.progress.get_or_insert((seen.percent, now));
        if percent != seen.percent {
            live.progress = Some((seen.percent, now));
        } else if seen.percent < 100 && now.since(since) >= patience << stalls {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.avoid(now + AVOID_FAILING_MS);
            }
            self.count_stall(&seen.task);
            self.stop_run(&seen.task, now);
        }
    }

    fn count_stall(&mut self, id: &TaskId) {
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|it| it.task_mut(id)) {
            task.stalls += 1;
        }
    }
}
