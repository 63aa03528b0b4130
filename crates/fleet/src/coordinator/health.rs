//! Workers that fail what they start, are slow, or let tasks stand still.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{
    Coordinator, Phase, TaskState,
    live::{FULL_PERCENT, Speed},
};
use crate::{Ending, Name, RunInfo, TaskId};

/// Failures of tasks in a row after which a worker is left out for a while.
const FAILURES_TO_AVOID: u32 = 3;

/// How long a worker that fails everything or lets tasks stand still is left out.
pub(super) const FAILING_MS: Millisecond = 8_000;

/// How long a slow worker is left out; then it is tried again.
const SLOW_MS: Millisecond = 5_000;

/// A worker is slow when its tasks take this many times as long as others of their steps.
const SLOW_FACTOR: f64 = 2.2;

/// Tasks that are compared before a worker is called slow.
const SLOW_SAMPLES: u32 = 4;

/// Tasks of a step that have to be done before another is compared with them.
const SIBLINGS: u32 = 2;

/// The weight of the newest task in a mean.
const NEWEST_WEIGHT: f64 = 0.25;

/// A task whose progress does not change for this long stands still.
const STILL_MS: Millisecond = 1_500;

/// Each stop of a task for standing still doubles the time that its next run gets, at most so often: its estimate may be
/// far too low.
const STALLS_COUNTED: u32 = 10;

/// Progress is told in whole per cent: a long task shows none for a while, so that much of its estimate is added.
const STILL_DIVISOR: u64 = 33;

/// A mean that follows the newest values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    mean: f64,
    samples: u32,
}

impl Pace {
    /// How many values there were.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The mean; 0 before the first value.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Takes a value in.
    pub fn note(&mut self, ratio: f64) {
        self.samples += 1;
        self.mean = match self.samples {
            1 => ratio,
            _ => self.mean + (ratio - self.mean) * NEWEST_WEIGHT,
        };
    }
}

impl Coordinator {
    /// Takes note of how a run ended.
    pub(super) fn note_health(&mut self, worker: &Name, id: &TaskId, ending: Ending, now: Moment) {
        let mut ratio = None;
        if ending == Ending::Done {
            self.note_duration(id, now);
            ratio = self.beside_siblings(id, now);
        }
        let Some(at) = self.workers.get_mut(worker) else { return };
        match ending {
            Ending::Done => {
                at.failures = 0;
                at.health.task_done(now);
            }
            Ending::Failed => at.failures += 1,
            _ => {}
        }
        if at.failures >= FAILURES_TO_AVOID {
            at.avoid(now + FAILING_MS);
        }
        if let Some(ratio) = ratio {
            at.pace.note(ratio);
            if at.pace.samples >= SLOW_SAMPLES && at.pace.mean > SLOW_FACTOR {
                at.avoid(now + SLOW_MS);
                at.pace = Pace::default();
            }
        }
    }

    /// How many times as long a run took as the tasks of its step that were done before it. Estimates are too far
    /// off to compare tasks of different steps.
    fn beside_siblings(&mut self, id: &TaskId, now: Moment) -> Option<f64> {
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
        let ratio = (step.took.samples >= SIBLINGS).then(|| took / step.took.mean.max(1.0));
        step.took.note(took);
        ratio
    }

    /// Takes note of a run's progress; one that stands still is stopped, to start elsewhere.
    pub(super) fn note_progress(&mut self, worker: &Name, seen: &RunInfo, now: Moment) {
        let Some(step) = self.step_of(&seen.task) else { return };
        let patience = STILL_MS + step.estimate_ms / STILL_DIVISOR;
        if step.long_running || step.gang {
            return;
        }
        let task = self.jobs.get(&seen.task.job).and_then(|it| it.task(&seen.task));
        let stalls = task.map_or(0, |it| it.stalls).min(STALLS_COUNTED);
        let Some(live) = self.live_mut(&seen.task) else { return };
        if live.phase != Phase::Running {
            return;
        }
        // A task whose speed was lowered makes less progress, or none.
        if live.speed == Speed::Unknown || live.speed.percent() < FULL_PERCENT {
            live.progress = None;
            return;
        }
        let (percent, since) = *live.progress.get_or_insert((seen.percent, now));
        if percent != seen.percent {
            live.progress = Some((seen.percent, now));
        } else if seen.percent < 100 && now.since(since) >= patience << stalls {
            if let Some(at) = self.workers.get_mut(worker) {
                at.avoid(now + FAILING_MS);
            }
            self.note_stall(&seen.task);
            self.stop(&seen.task, now);
        }
    }

    fn note_stall(&mut self, id: &TaskId) {
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|it| it.task_mut(id)) {
            task.stalls += 1;
        }
    }
}
