//! Placement near data, for tasks that are slow outside the rack of their data or apart from the others of their step.
//!
//! A task that runs far from its data takes so much longer that its job is often late, and holds its room for as long.
//! Therefore it waits for room near its data while it can still be done in time there, and is placed far from it once
//! waiting gains nothing.

use std::cell::OnceCell;

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Coordinator, Host, HostDuty, Job, Task, Worker};
use crate::{JobSpec, Name, Step, TaskId};

/// The longest wait for room near a step's data. If no task there has ended by then, the tasks there are long ones.
const NEAR_WAIT_MS: Millisecond = 2_000;

/// The rack in which the tasks of a step are fast. It is determined before the first task of the step is placed, once
/// there is room for that.
pub(super) struct Near {
    waiting: usize,
    rack: OnceCell<Option<Name>>,
}

impl Near {
    /// Returns it for a step of which so many tasks wait.
    pub(super) fn of(waiting: usize) -> Self {
        Self { waiting, rack: OnceCell::new() }
    }
}

impl Coordinator {
    /// Returns the rack in which the waiting tasks of a step are fast: that of their data, or a common rack for a step
    /// that is slow when it is spread over racks.
    pub(super) fn near_rack<'a>(&self, task: &TaskId, near: &'a Near) -> Option<&'a Name> {
        near.rack.get_or_init(|| self.find_near_rack(task, near.waiting)).as_ref()
    }

    fn find_near_rack(&self, task: &TaskId, waiting: usize) -> Option<Name> {
        let (occurrence, step) = (task.occurrence as usize, task.step as usize);
        let job = self.jobs.get(&task.job)?;
        let step_spec = &job.spec.steps[step];
        if step_spec.rack.is_some() || !step_spec.one_rack {
            return step_spec.rack.clone();
        }
        self.rack_in_use(job, occurrence, step).or_else(|| self.rack_with_room(job, step, waiting))
    }

    /// Returns the rack in which other tasks of a step run.
    fn rack_in_use(&self, job: &Job, occurrence: usize, step: usize) -> Option<Name> {
        let tasks = &job.occurrences[occurrence].steps[step].tasks;
        let rack = |it: &Task| self.workers.get(&it.live()?.worker)?.rack();
        let racks = tasks.known().filter_map(|(index, it)| Some((index, rack(it)?)));
        racks.min_by_key(|it| it.0).map(|it| it.1.clone())
    }

    /// Returns the fullest rack with room for `tasks` tasks of a step, or else the rack with room for most of them.
    fn rack_with_room(&self, job: &Job, step: usize, tasks: usize) -> Option<Name> {
        let size = job.spec.steps[step].room();
        let mut rooms: FastMap<&Name, u64> = FastMap::default();
        for worker in self.workers.values().filter(|it| it.seen.pool == job.spec.route.pool) {
            let Some(rack) = worker.rack() else { continue };
            *rooms.entry(rack).or_insert(0) += worker.free().times(size);
        }
        let key = |it: &(&Name, u64)| match it.1 {
            room if room >= tasks as u64 => (0, room, it.0.clone()),
            room => (1, u64::MAX - room, it.0.clone()),
        };
        rooms.into_iter().min_by_key(key).map(|it| it.0.clone())
    }

    /// Returns until when a task waits for room near its data although there is room far from it; `None` if it is
    /// placed there now.
    pub(super) fn near_wait(&self, task: &TaskId, now: Moment) -> Option<Moment> {
        let job = self.jobs.get(&task.job)?;
        let spec = &job.spec;
        let step = &spec.steps[task.step as usize];
        if spec.long_running() || spec.schedule.is_some() || !self.has_near_workers(spec, step, now)
        {
            return None;
        }
        let near = self.remaining_work(job).0;
        let far =
            near.saturating_add(self.far_penalty_ms(self.expected_ms(spec, task.step as usize)));
        let due = self.due(job);
        // The wait ends while there is still time to run far from the data, or near it where running far would be late.
        let last = [far, near].into_iter().find(|it| now + *it <= due)?;
        let since =
            job.occurrences[task.occurrence as usize].steps[task.step as usize].near_wait_since;
        let until = Moment(due.0 - last).min(since.unwrap_or(now) + NEAR_WAIT_MS);
        (until > now).then_some(until)
    }

    /// Returns how much longer a task takes far from its data.
    fn far_penalty_ms(&self, expected: Millisecond) -> Millisecond {
        expected.saturating_mul(self.timing.far_percent.saturating_sub(100)) / 100
    }

    /// Returns whether a pool has workers near a step's data, or will have some soon.
    fn has_near_workers(&self, spec: &JobSpec, step: &Step, now: Moment) -> bool {
        let Some(rack) = &step.rack else { return false };
        let pool = &spec.route.pool;
        let is_near = |it: &Worker| {
            it.seen.pool == *pool && it.takes_tasks(now) && it.seen.capacity.fits(step.room())
        };
        let will_be = |it: &Host| match &it.duty {
            Some(it) => it.duty == HostDuty::Move { pool: pool.clone() },
            None => false,
        };
        self.workers.values().any(|it| it.has_label(rack) && is_near(it))
            || self.hosts.values().any(|it| it.seen.labels.contains(rack) && will_be(it))
    }

    /// Notes that the tasks of a step wait for room near their data, and until when.
    pub(super) fn note_near_wait(&mut self, task: &TaskId, until: Moment, now: Moment) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let step = job.step_mut(task.occurrence as usize, task.step as usize);
            step.near_wait_since.get_or_insert(now);
        }
        let first = self.near_wait_ends.map_or(until, |it| it.min(until));
        self.near_wait_ends = Some(first);
    }

    /// Requests placement once tasks have waited long enough for room near their data, so that they are placed
    /// elsewhere.
    pub(super) fn end_near_waits(&mut self, now: Moment) {
        if self.near_wait_ends.is_some_and(|it| it <= now) {
            self.near_wait_ends = None;
            self.needs_placing = true;
        }
    }

    /// Returns whether a task that may be on a worker runs far from its data. Its duration then says nothing about its
    /// worker or queue.
    pub(super) fn is_far(&self, id: &TaskId) -> bool {
        let rack = self.step_of(id).and_then(|it| it.rack.as_ref());
        let live = self.jobs.get(&id.job).and_then(|it| it.task(id)?.live());
        match (rack, live.and_then(|it| self.workers.get(&it.worker))) {
            (Some(rack), Some(worker)) => !worker.has_label(rack),
            _ => false,
        }
    }
}
