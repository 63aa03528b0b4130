//! Long-running tasks leave hosts that are to be maintained.

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::{
    JobSpec, Name, TaskId,
    coordinator::{
        Coordinator, Job, Phase, StepKey, Task, TaskState, WaitReason, Worker, near::Near,
        place::siblings_on, room::RoomSearch,
    },
};

/// After a takeover no task is moved for this long. The former coordinator may have stopped tasks that their workers
/// still list as running. Such stops end within a second, and reports from before their end must have become too old to
/// count.
const SETTLING_MS: Millisecond = 3_300;

impl Coordinator {
    /// Stops long-running tasks on reserved and draining workers so that they start elsewhere, at most as many at a
    /// time as their step may miss. Without room elsewhere a task stays, unless its worker can be emptied at once: a host that
    /// keeps some of its tasks is not maintained, and the ones that were stopped would wait for as long.
    pub(super) fn evacuate(&mut self, now: Moment) {
        if now.since(self.takeover.at) < SETTLING_MS {
            return;
        }
        let is_leaving = |it: &&Worker| it.has_long_running() && it.is_leaving();
        let leaving = self.workers.values().filter(is_leaving);
        let mut leaving: Vec<Name> = leaving.map(|it| it.seen.id.clone()).collect();
        if leaving.is_empty() {
            return;
        }
        leaving.sort_by_key(|it| (self.workers[it].live.len(), it.clone()));
        let mut search = RoomSearch::new(&self.workers, now);
        for worker in leaving {
            let tasks = self.stoppable_on(&worker, now);
            let is_emptied = self.can_empty(&worker, &tasks, now);
            for task in tasks {
                let may_stop = self.jobs.get(&task.job).is_some_and(|it| it.may_stop(&task, now));
                if may_stop && (self.take_place(&task, &mut search, now) || is_emptied) {
                    self.stop_run(&task, now);
                }
            }
        }
    }

    /// Returns the long-running tasks on a worker that serve their users.
    fn stoppable_on(&self, worker: &Name, now: Moment) -> Vec<TaskId> {
        let is_long = |it: &TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let on = self.live_on(worker).into_iter();
        let mut tasks: Vec<TaskId> =
            on.filter(|it| is_long(&it.0) && it.1.is_serving(now)).map(|it| it.0).collect();
        tasks.sort();
        tasks
    }

    /// Takes room for a task on a worker that it may move to; returns whether there is any besides what other tasks of its step
    /// need that wait or are being stopped. A permit that is missing is asked for once the task waits.
    fn take_place(&self, task: &TaskId, search: &mut RoomSearch, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let step = &job.spec.steps[task.step as usize];
        let is_away = |it: &&Task| match &it.state {
            TaskState::Waiting => true,
            TaskState::Live(live) => matches!(live.phase, Phase::Stopping | Phase::StopConfirmed),
            TaskState::Done => false,
        };
        let run = &job.occurrences[task.occurrence as usize].steps[task.step as usize];
        let away = run.tasks.iter().filter(is_away).count() as u64;
        match self.best_worker(task, &job.spec, &Near::of(1), search, now) {
            Ok((_, found)) if self.places_left(task, &job.spec, search, now) > away => {
                search.take(&job.spec.route.pool, found.position, step.room());
                true
            }
            Ok(_) => false,
            Err(reason) => reason == WaitReason::Permit,
        }
    }

    /// Returns how many tasks of the step there is room for, where they may share workers with others of it.
    fn places_left(&self, task: &TaskId, spec: &JobSpec, search: &RoomSearch, now: Moment) -> u64 {
        let step = &spec.steps[task.step as usize];
        let workers = search.pool(&spec.route.pool).map_or(&[][..], |it| &it.workers);
        let suitable = workers.iter().filter(|it| self.suits(it, task, spec, now).is_ok());
        let places = suitable.map(|it| {
            let siblings = siblings_on(&self.workers[&it.id], task);
            let most = step.per_worker.map_or(u64::MAX, |it| it.saturating_sub(siblings).into());
            it.free.times(step.room()).min(most)
        });
        places.fold(0, u64::saturating_add)
    }

    /// Returns whether all of these tasks, the long-running ones on a worker, may be stopped at once.
    fn can_empty(&self, worker: &Name, tasks: &[TaskId], now: Moment) -> bool {
        let is_long = |it: &&TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let is_whole = self.workers[worker].live.keys().filter(is_long).count() == tasks.len();
        let of_step =
            |step: &StepKey| tasks.iter().filter(|it| StepKey::from(*it) == *step).count();
        is_whole
            && tasks.iter().all(|it| {
                let beside = of_step(&StepKey::from(it)) as u32 - 1;
                self.jobs.get(&it.job).is_some_and(|job| job.may_stop_beside(it, beside, now))
            })
    }
}

impl Job {
    /// Returns whether a task may be stopped: enough other tasks of its step are working. Only long-running steps need
    /// that.
    pub fn may_stop(&self, id: &TaskId, now: Moment) -> bool {
        self.may_stop_beside(id, 0, now)
    }

    /// Returns whether a task may be stopped together with so many others of its step that are at work.
    pub fn may_stop_beside(&self, id: &TaskId, beside: u32, now: Moment) -> bool {
        let step_spec = &self.spec.steps[id.step as usize];
        let is_away = |it: &Task| !it.live().is_some_and(|live| live.is_serving(now));
        let tasks = &self.occurrences[id.occurrence as usize].steps[id.step as usize].tasks;
        let others = tasks.iter().enumerate().filter(|it| it.0 != id.index as usize);
        let away = others.filter(|it| is_away(it.1)).count() as u32;
        !step_spec.long_running || away + beside < step_spec.max_unavailable.unwrap_or(1)
    }
}
