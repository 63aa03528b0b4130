//! The use of durations learned from runs that ended.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Phase, TaskState, live::Speed};
use crate::{
    JobSpec, TaskId,
    durations::{Durations, TaskProfile},
};

/// Runs on a worker whose tasks take this many times as long as others of their steps say little of the tasks.
const SLOW_WORKER_FACTOR: f64 = 1.5;

impl Coordinator {
    /// Learns durations from now on, beginning with those that are known, and ranks jobs by them.
    pub fn learn_durations(&mut self, known: Durations) {
        self.learned = Some(known);
    }

    /// Returns the learned durations; `None` if durations are not learned.
    pub fn learned_durations(&self) -> Option<&Durations> {
        self.learned.as_ref()
    }

    /// Returns how long a task of a step is expected to take, as jobs are ranked by it.
    pub(super) fn ranked_ms(&self, spec: &JobSpec, step: usize) -> Millisecond {
        let learned = self.learned.as_ref().and_then(|it| it.predict(&profile(spec, step)));
        learned.map_or_else(|| self.expected_ms(spec, step), |it| it.expected_ms())
    }

    /// Learns from a run that ended by itself.
    pub(super) fn learn_done(&mut self, id: &TaskId, now: Moment) {
        if let Some(ran) = self.counted_time(id, now)
            && let Some(learned) = &mut self.learned
            && let Some(job) = self.jobs.get(&id.job)
        {
            learned.note_done(&profile(&job.spec, id.step.into()), ran);
        }
    }

    /// Learns from a run that is about to be stopped.
    pub(super) fn learn_stopped(&mut self, id: &TaskId, now: Moment) {
        if let Some(ran) = self.counted_time(id, now)
            && let Some(learned) = &mut self.learned
            && let Some(job) = self.jobs.get(&id.job)
        {
            learned.note_stopped(&profile(&job.spec, id.step.into()), ran);
        }
    }

    /// Returns how long a run has run, if that says something of its task: it is the task's first run, its start was seen, and
    /// neither its worker, cold or slow, nor its speed nor the distance to its data made it slow.
    fn counted_time(&self, id: &TaskId, now: Moment) -> Option<Millisecond> {
        self.learned.as_ref()?;
        let job = self.jobs.get(&id.job)?;
        let task = job.task(id)?;
        let TaskState::Live(live) = &task.state else { return None };
        let worker = self.workers.get(&live.worker)?;
        let is_slow = worker.failures > 0
            || now < worker.avoid_until
            || worker.slowness.mean() > SLOW_WORKER_FACTOR;
        let counts = !job.spec.steps[usize::from(id.step)].long_running
            && task.run == 1
            && live.phase == Phase::Running
            && live.speed == Speed::Full
            && !live.is_inherited
            && !live.began_cold
            && !is_slow
            && !self.is_far(id);
        counts.then(|| now.since(live.since))
    }
}

fn profile(spec: &JobSpec, step: usize) -> TaskProfile<'_> {
    let described = &spec.steps[step];
    TaskProfile {
        queue: &spec.queue,
        step: step as u16,
        size: described.size,
        team: &spec.team,
        estimate_ms: described.estimate_ms,
    }
}
