//! The order in which jobs get room.
//!
//! A job that is late is worth a small part of one in time. While a pool has room for all, the job that is due first
//! goes first. While it has not, that order makes every job late by a little: then the job with the least work left
//! goes first, and one that cannot be done in time any more waits for the others.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Job, TaskState, health::Pace, objective_ms};
use crate::{JobSpec, Name, TaskId};

/// Tasks of a queue that were done before its mean is used.
const SAMPLES: u32 = 8;

/// Estimates that are off by more than this, as a mean of the natural logarithm, are replaced by the queue's mean.
const ERROR_LIMIT: f64 = 0.4;

/// A job that could be done this much later than its objective is still tried: predictions are rough. In per cent of
/// the work that is left.
const HOPE_PERCENT: u64 = 20;

/// How long tasks of a queue take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    took: Pace,
    error: Pace,
}

/// The place of a job: a smaller one comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    standing: Standing,
    key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It can still be completed within its objective.
    InTime,
    /// It is late already, or will be: others gain more from the room.
    Late,
    /// Its team sent more than its share.
    Excess,
}

impl Coordinator {
    /// Jobs with tasks that wait, the first to get room first.
    pub(super) fn ranked(&self, now: Moment) -> Vec<Name> {
        let waiting = self.jobs.values().filter(|it| !it.stage.is_over() && it.has_waiting());
        let mut ranked: Vec<(Rank, &Name)> =
            waiting.map(|it| (self.rank(it, now), &it.id)).collect();
        ranked.sort();
        ranked.into_iter().map(|(_, id)| id.clone()).collect()
    }

    fn rank(&self, job: &Job, now: Moment) -> Rank {
        let priority = job.spec.route.priority;
        let due = self.due(job);
        if job.spec.long_running() || job.spec.schedule.is_some() {
            return Rank { priority, standing: Standing::InTime, key: due.0 };
        }
        let (chain, work) = self.left(job);
        let standing = match () {
            () if job.excess => Standing::Excess,
            () if now + chain.saturating_mul(100 - HOPE_PERCENT) / 100 > due => Standing::Late,
            () => Standing::InTime,
        };
        let is_tight = self.tight.contains(&job.spec.route.pool);
        let key = if is_tight || standing == Standing::Late { work } else { due.0 };
        Rank { priority, standing, key }
    }

    /// When a job should be completed, by what its queue's tasks are known to take.
    pub(super) fn due(&self, job: &Job) -> Moment {
        let chain = chain_of(&job.spec, |step| self.expected_ms(&job.spec, step));
        job.accepted + objective_ms(&job.spec, chain)
    }

    /// How long a task of a step takes.
    pub(super) fn expected_ms(&self, spec: &JobSpec, step: usize) -> Millisecond {
        let estimate = spec.steps[step].estimate_ms;
        match self.usual.get(&spec.queue) {
            Some(it) if it.took.samples() >= SAMPLES && it.error.mean() > ERROR_LIMIT => {
                it.took.mean() as Millisecond
            }
            _ => estimate,
        }
    }

    /// The longest chain of work that is left, in milliseconds, and all of it in millicore-milliseconds.
    pub(super) fn left(&self, job: &Job) -> (Millisecond, u64) {
        let mut work = 0u64;
        let chain = chain_of(&job.spec, |step| {
            let run = job.occurrences.first().map(|it| &it.steps[step]);
            let count = u64::from(job.spec.steps[step].count);
            let left = run.map_or(count, |it| count - u64::from(it.done));
            let expected = self.expected_ms(&job.spec, step);
            let millicores = u64::from(job.spec.steps[step].size.millicores);
            work = work.saturating_add(left.saturating_mul(expected).saturating_mul(millicores));
            if left == 0 { 0 } else { expected }
        });
        (chain, work)
    }

    /// Takes note of how long a done task ran.
    pub(super) fn note_duration(&mut self, id: &TaskId, now: Moment) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        let TaskState::Live(live) = &task.state else { return };
        let step = &job.spec.steps[id.step as usize];
        if step.long_running || task.run > 1 || self.is_far(id) {
            return;
        }
        let took = now.since(live.since).max(1) as f64;
        let error = (took / step.estimate_ms.max(1) as f64).ln().abs();
        let usual = self.usual.entry(job.spec.queue.clone()).or_default();
        usual.took.note(took);
        usual.error.note(error);
    }
}

/// The longest chain of steps, each of which takes what `step_ms` says.
fn chain_of(spec: &JobSpec, mut step_ms: impl FnMut(usize) -> Millisecond) -> Millisecond {
    let mut ends: Vec<Millisecond> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let begin = step.after.iter().filter_map(|it| ends.get(*it as usize)).max();
        ends.push(begin.copied().unwrap_or(0).saturating_add(step_ms(number)));
    }
    ends.into_iter().max().unwrap_or(0)
}
