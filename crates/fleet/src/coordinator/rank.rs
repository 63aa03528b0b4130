//! The order in which jobs get room.
//!
//! A job that is late is worth a small part of one in time. While a pool has room for all jobs, the job that is due
//! first goes first. While a pool is short of room, that order would make every job a little late. Then the job with
//! the least work left goes first, and a job that can no longer be done in time waits for the others. Tasks that run
//! all the time or at a time of day come before both: they are few, and each moment without room is lost to them.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Job, TaskState, health::RunningMean, objective_ms};
use crate::{JobSpec, Name, TaskId};

/// Tasks of a queue that have to be done before their mean duration is used.
const MIN_SAMPLES: u32 = 8;

/// Estimates that are off by more than this, as a mean of the natural logarithm, are replaced by the queue's mean
/// duration.
const ERROR_LIMIT: f64 = 0.4;

/// A job that would miss its objective by this much is still treated as in time, because predictions are rough. In per
/// cent of the work that is left.
const LATE_TOLERANCE_PERCENT: u64 = 20;

/// How long the tasks of a queue take, and how far off their estimates are.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueDurations {
    duration: RunningMean,
    error: RunningMean,
}

/// The rank of a job: the smallest gets room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    tier: Tier,
    urgency: Urgency,
}

/// The order within a tier. Jobs whose pool has room for all come before those that compete for room, since they take
/// nothing from these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Since when the job's tasks wait that run until it is cancelled.
    Lasting(Moment),
    /// When the job should be completed.
    Due(Moment),
    /// The work that is left, in millicore-milliseconds.
    Work(u64),
}

/// Groups of jobs that get room one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The job has tasks that are to run at a time of day or all the time: it gains from room as long as it has it.
    Standing,
    /// The job can still be completed within its objective.
    #[default]
    InTime,
    /// The job is late or will be; other jobs gain more from the room.
    Late,
    /// The team of the job had exceeded its weight.
    Excess,
}

impl Coordinator {
    /// Returns the jobs with waiting tasks, the first to get room first, and notes their tiers.
    pub(super) fn rank_jobs(&mut self, now: Moment) -> Vec<Name> {
        let waiting = self.jobs.values().filter(|it| !it.stage.is_over() && it.has_waiting());
        let mut ranked: Vec<(Rank, Name)> =
            waiting.map(|it| (self.rank(it, now), it.id.clone())).collect();
        ranked.sort();
        for (rank, id) in &ranked {
            if let Some(job) = self.jobs.get_mut(id) {
                job.tier = rank.tier;
            }
        }
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn rank(&self, job: &Job, now: Moment) -> Rank {
        let priority = job.spec.route.priority;
        let due = self.due(job);
        if job.spec.is_standing() {
            let urgency = lasting_wait(job).map_or(Urgency::Due(due), Urgency::Lasting);
            return Rank { priority, tier: Tier::Standing, urgency };
        }
        let (path, work) = self.remaining_work(job);
        let tier = match () {
            () if job.excess => Tier::Excess,
            () if now + path.saturating_mul(100 - LATE_TOLERANCE_PERCENT) / 100 > due => Tier::Late,
            () => Tier::InTime,
        };
        let is_full = self.full_pools.contains(&job.spec.route.pool);
        let urgency = match is_full || tier == Tier::Late {
            true => Urgency::Work(work),
            false => Urgency::Due(due),
        };
        Rank { priority, tier, urgency }
    }

    /// Returns when a job should be completed, given how long its queue's tasks are known to take.
    pub(super) fn due(&self, job: &Job) -> Moment {
        let path = job.spec.path_ms(|step| self.ranked_ms(&job.spec, step));
        job.accepted + objective_ms(&job.spec, path)
    }

    /// Returns how long a task of a step is expected to take.
    pub(super) fn expected_ms(&self, spec: &JobSpec, step: usize) -> Millisecond {
        let estimate = spec.steps[step].estimate_ms;
        match self.queue_durations.get(&spec.queue) {
            Some(it) if it.duration.samples() >= MIN_SAMPLES && it.error.mean() > ERROR_LIMIT => {
                it.duration.mean() as Millisecond
            }
            _ => estimate,
        }
    }

    /// Returns the longest chain of work that is left, in milliseconds, and all work that is left, in
    /// millicore-milliseconds.
    pub(super) fn remaining_work(&self, job: &Job) -> (Millisecond, u64) {
        let mut work = 0u64;
        let path = job.spec.path_ms(|step| {
            let count = u64::from(job.spec.steps[step].count);
            let left = match job.occurrences.first() {
                Some(run) => run.steps.get(step).map_or(0, |it| count - u64::from(it.done)),
                None => count,
            };
            let expected = self.ranked_ms(&job.spec, step);
            let millicores = u64::from(job.spec.steps[step].size.millicores);
            work = work.saturating_add(left.saturating_mul(expected).saturating_mul(millicores));
            if left == 0 { 0 } else { expected }
        });
        (path, work)
    }

    /// Records how long a done task ran.
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
        let queue_durations = self.queue_durations.entry(job.spec.queue.clone()).or_default();
        queue_durations.duration.note(took);
        queue_durations.error.note(error);
    }
}

/// Returns since when a job's long-running tasks wait, if it has such tasks. Ranked by when the job came, those that are stopped
/// again and again would stay before those of later jobs.
fn lasting_wait(job: &Job) -> Option<Moment> {
    if !job.spec.long_running() {
        return None;
    }
    let steps = job.open_occurrences().flat_map(|it| &it.1.steps);
    let steps = steps.zip(job.spec.steps.iter().cycle());
    let lasting = steps.filter(|it| it.1.long_running && it.0.waiting > 0);
    let since = lasting.map(|it| it.0.waits_since_run_end().unwrap_or(job.accepted)).min();
    Some(since.unwrap_or(job.accepted))
}
