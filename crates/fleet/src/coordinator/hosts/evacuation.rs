//! Long-running tasks leave hosts that are to be maintained.

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::{
    JobSpec, Name, TaskId,
    coordinator::{
        Coordinator, Job, LiveRun, Phase, StepKey, Task, WaitReason, Worker,
        near::Near,
        room::{FreeWorker, RoomSearch},
    },
};

/// After a takeover no task is moved for this long. The former coordinator may have stopped tasks that their workers
/// still list as running. Such stops end within a second, and reports from before their end must have become too old to
/// count.
const SETTLING_MS: Millisecond = 3_300;

/// Long-running tasks are stopped for an empty host only if its other tasks end within this time.
const EMPTY_WITHIN_MS: Millisecond = 1_000;

/// A task that was stopped runs again within this time if its host comes back from maintenance: a stop, 2 s, and a start.
const LONG_STOP_MS: Millisecond = 3_000;

/// Waves go on after this time although a task waits: there may be no room for it for good.
const WAVE_PATIENCE_MS: Millisecond = 6_000;

impl Coordinator {
    /// Stops long-running tasks on reserved, cordoned and draining workers so that they start elsewhere, at most as many at a
    /// time as their step may miss. Without room elsewhere a task stays, unless its worker can be emptied at once: a host that
    /// keeps some of its tasks is not maintained, and the ones that were stopped would wait for as long.
    pub(super) fn evacuate(&mut self, now: Moment) {
        if now.since(self.takeover.at) < SETTLING_MS {
            return;
        }
        let leaving = self.leaving_workers();
        if leaving.is_empty() {
            return;
        }
        let mut search = self.search_beside_stopped(now);
        for worker in leaving {
            let tasks = self.stoppable_on(&worker, now);
            // A cordoned host that keeps tasks holds up nobody.
            let is_kept = self.workers[&worker].is_only_cordoned();
            let is_emptied = !is_kept && self.can_empty(&worker, &tasks, now);
            for task in tasks {
                let may_stop = self.jobs.get(&task.job).is_some_and(|it| it.may_stop(&task, now));
                if may_stop
                    && (self.take_place(&task, &mut search, now)
                        || (is_emptied && !self.has_overdue_wait(&task, now)))
                {
                    self.stop_run(&task, now);
                }
            }
        }
    }

    /// Returns whether a task of the same step has waited for longer than a stop for maintenance takes. Its room is short then, and
    /// another stop without a place elsewhere would only add to those that wait.
    fn has_overdue_wait(&self, task: &TaskId, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let step = &job.occurrences[task.occurrence as usize].steps[task.step as usize];
        let since = (step.waiting > 0).then(|| step.waits_since()).flatten();
        since.is_some_and(|it| (LONG_STOP_MS..WAVE_PATIENCE_MS).contains(&now.since(it)))
    }

    /// Returns the workers that long-running tasks have to leave, those with the fewest tasks first, and of these the ones whose
    /// tasks have run longest.
    fn leaving_workers(&self) -> Vec<Name> {
        let is_leaving = |it: &&Worker| it.has_long_running() && it.is_leaving();
        let leaving = self.workers.values().filter(is_leaving);
        let mut leaving: Vec<Name> = leaving.map(|it| it.seen.id.clone()).collect();
        leaving.sort_by_cached_key(|it| {
            (self.workers[it].live.len(), self.last_lasting_start(it), it.clone())
        });
        leaving
    }

    /// Returns when the last long-running task began on a worker.
    fn last_lasting_start(&self, worker: &Name) -> Option<Moment> {
        let is_long = |it: &TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let long = self.live_on(worker).into_iter().filter(|it| is_long(&it.0));
        long.map(|it| it.1.since).max()
    }

    /// Returns a search for room besides what tasks need that are being stopped.
    pub(super) fn search_beside_stopped(&self, now: Moment) -> RoomSearch {
        let mut search = RoomSearch::new(&self.workers, &self.due, now);
        self.take_places_of_stopped(&self.leaving_workers(), &mut search, now);
        search
    }

    /// Returns the long-running tasks on a worker that serve their users.
    pub(in crate::coordinator) fn stoppable_on(&self, worker: &Name, now: Moment) -> Vec<TaskId> {
        let is_long = |it: &TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let on = self.live_on(worker).into_iter();
        let mut tasks: Vec<TaskId> =
            on.filter(|it| is_long(&it.0) && it.1.is_serving(now)).map(|it| it.0).collect();
        tasks.sort();
        tasks
    }

    /// Takes the room that tasks need which are being stopped.
    fn take_places_of_stopped(&self, leaving: &[Name], search: &mut RoomSearch, now: Moment) {
        let is_stopped =
            |live: &LiveRun| matches!(live.phase, Phase::Stopping | Phase::StopConfirmed);
        for worker in leaving {
            let mut stopped = self.live_on(worker);
            stopped.retain(|it| is_stopped(&it.1));
            stopped.sort_by(|a, b| a.0.cmp(&b.0));
            for (task, _) in stopped {
                self.take_place(&task, search, now);
            }
        }
    }

    /// Takes room for a task on a worker that it may move to; returns whether there is any besides what other tasks of its step
    /// need that wait. A permit that is missing is asked for once the task waits.
    pub(super) fn take_place(&self, task: &TaskId, search: &mut RoomSearch, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let step = &job.spec.steps[task.step as usize];
        let run = &job.occurrences[task.occurrence as usize].steps[task.step as usize];
        let pool = &job.spec.route.pool;
        let position = match self.best_worker(task, &job.spec, &Near::of(1), search, now) {
            Ok((_, found)) => Some(found.position),
            Err(WaitReason::Permit) => self.askable_worker(task, &job.spec, search, now),
            Err(_) => None,
        };
        let Some(position) = position else { return false };
        if self.places_left(task, &job.spec, search, now) <= run.waiting.into() {
            return false;
        }
        search.take(pool, position, step.room());
        true
    }

    /// Returns the position of a worker that lacks nothing but a permit which the advice service has not refused.
    fn askable_worker(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        search: &RoomSearch,
        now: Moment,
    ) -> Option<usize> {
        let workers = &search.pool(&spec.route.pool)?.workers;
        workers.iter().position(|it| self.may_take(it, task, spec, now))
    }

    /// Returns whether a worker has a place for a task, if the advice service allows it.
    fn may_take(&self, on: &FreeWorker, task: &TaskId, spec: &JobSpec, now: Moment) -> bool {
        let known = self.advice.get(&StepKey::from(task));
        match self.suits(on, task, spec, now) {
            Ok(()) => true,
            Err(WaitReason::Permit) => known.is_none_or(|it| !it.refused.contains(&on.id)),
            Err(_) => false,
        }
    }

    /// Returns how many tasks of the step there is room for, where they may share workers with others of it.
    fn places_left(&self, task: &TaskId, spec: &JobSpec, search: &RoomSearch, now: Moment) -> u64 {
        let step = &spec.steps[task.step as usize];
        let workers = search.pool(&spec.route.pool).map_or(&[][..], |it| &it.workers);
        let suitable = workers.iter().filter(|it| self.may_take(it, task, spec, now));
        let places = suitable.map(|it| {
            let siblings = self.workers[&it.id].siblings_of(task);
            let most = step.per_worker.map_or(u64::MAX, |it| it.saturating_sub(siblings).into());
            it.free.times(step.room()).min(most)
        });
        places.fold(0, u64::saturating_add)
    }

    /// Returns whether all of these tasks, the long-running ones on a worker, may be stopped at once, and its others end soon.
    fn can_empty(&self, worker: &Name, tasks: &[TaskId], now: Moment) -> bool {
        let is_long = |it: &&TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let is_whole = self.workers[worker].live.keys().filter(is_long).count() == tasks.len();
        let busy_ms = self.short_busy_ms(&self.workers[worker], now);
        is_whole
            && busy_ms.is_some_and(|it| it <= EMPTY_WITHIN_MS)
            && self.may_stop_together(tasks, now)
    }

    /// Returns whether all of these tasks may be stopped at once.
    pub(super) fn may_stop_together(&self, tasks: &[TaskId], now: Moment) -> bool {
        let of_step =
            |step: &StepKey| tasks.iter().filter(|it| StepKey::from(*it) == *step).count();
        tasks.iter().all(|it| {
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
        let is_serving = |it: &Task| it.live().is_some_and(|live| live.is_serving(now));
        let tasks = &self.occurrences[id.occurrence as usize].steps[id.step as usize].tasks;
        let others = tasks.known().filter(|it| it.0 != id.index);
        let serving = others.filter(|it| is_serving(it.1)).count() as u32;
        let away = tasks.count().saturating_sub(1) - serving;
        !step_spec.long_running || away + beside < step_spec.max_unavailable.unwrap_or(1)
    }
}
