//! Hosts that have come up and on which long-running tasks can start, which are not maintained before these have started.
//!
//! A task that was stopped for a wave without a place elsewhere waits for its host to come back. Another wave would maintain that
//! host again before the task has started, and the next wave again.

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};

use crate::{
    Name,
    coordinator::{Coordinator, Host, Job, StepKey, Worker},
};

/// How long a host that came up is kept for tasks that wait: longer than the first report of its worker, a placement, a record and the
/// order take. What has not started by then lacks more than room.
const START_WITHIN_MS: Millisecond = 2_000;

/// The long-running tasks that wait, and hosts that are kept for them.
#[derive(Default)]
pub(super) struct AwaitedRoom {
    /// Those that no host is kept for, by pool.
    waits: FastMap<Name, Vec<AwaitedTasks>>,
    /// The hosts that were looked at, and whether each is kept.
    seen: FastMap<Name, bool>,
}

/// Tasks that need the same room.
struct AwaitedTasks {
    size: Resources,
    label: Option<Name>,
    /// The step, if the advice service is asked about its tasks.
    advised: Option<StepKey>,
    tasks: u64,
    /// How many of them a worker may have.
    per_worker: u64,
}

impl Coordinator {
    /// Returns the long-running tasks that wait for room and may start by the limits of their teams.
    pub(super) fn awaited_room(&self) -> AwaitedRoom {
        let mut room = AwaitedRoom::default();
        if self.waves.iter().all(|it| it.is_completed) {
            return room;
        }
        let open = self.jobs.values().filter(|it| !it.stage.is_over() && it.has_waiting());
        for job in open.filter(|it| it.spec.long_running()) {
            for (occurrence, step) in job.open_steps() {
                self.await_step(job, occurrence, step, &mut room);
            }
        }
        room
    }

    fn await_step(&self, job: &Job, occurrence: usize, number: usize, room: &mut AwaitedRoom) {
        let step = &job.spec.steps[number];
        let waiting = u64::from(job.occurrences[occurrence].steps[number].waiting);
        let tasks = waiting.min(self.left_of_limit(&job.spec.team, step.size));
        if !step.long_running || step.gang || tasks == 0 {
            return;
        }
        let key =
            || StepKey { job: job.id.clone(), occurrence: occurrence as u32, step: number as u16 };
        let advised = job.spec.route.advised.then(key);
        let per_worker = step.per_worker.map_or(u64::MAX, u64::from);
        let of_pool = room.waits.entry(job.spec.route.pool.clone()).or_default();
        let is_same = |it: &&mut AwaitedTasks| {
            it.size == step.room() && it.label == step.label && it.advised == advised
        };
        match of_pool.iter_mut().find(is_same) {
            Some(it) => {
                it.tasks = it.tasks.saturating_add(tasks);
                it.per_worker = it.per_worker.saturating_add(per_worker);
            }
            None => {
                let (size, label) = (step.room(), step.label.clone());
                of_pool.push(AwaitedTasks { size, label, advised, tasks, per_worker });
            }
        }
    }

    /// Returns whether an empty host is kept for tasks that wait, and takes as many of them as fit there. A host on which something
    /// has run was emptied for its maintenance.
    pub(super) fn is_awaited(&self, name: &Name, room: &mut AwaitedRoom, now: Moment) -> bool {
        if let Some(is_kept) = room.seen.get(name) {
            return *is_kept;
        }
        let is_kept = self.keep_host(name, room, now);
        room.seen.insert(name.clone(), is_kept);
        is_kept
    }

    fn keep_host(&self, name: &Name, room: &mut AwaitedRoom, now: Moment) -> bool {
        let Some(host) = self.hosts.get(name) else { return false };
        if now.since(host.up_since) >= START_WITHIN_MS {
            return false;
        }
        let worker = self.worker_on(name);
        let is_used_up = |it: &Worker| it.idle_since > it.known_since || !it.may_become_sound(now);
        if worker.is_some_and(is_used_up) {
            return false;
        }
        // A spare host goes to the pool that lacks one.
        let pools =
            room.waits.iter_mut().filter(|it| worker.is_none_or(|on| on.seen.pool == *it.0));
        let mut waits = pools.flat_map(|it| it.1);
        let Some(wait) = waits.find(|it| self.tasks_on_empty(host, worker, it) > 0) else {
            return false;
        };
        wait.tasks -= self.tasks_on_empty(host, worker, wait);
        true
    }

    /// Returns how many tasks fit on a host that runs nothing.
    fn tasks_on_empty(&self, host: &Host, worker: Option<&Worker>, wait: &AwaitedTasks) -> u64 {
        let refused =
            wait.advised.as_ref().and_then(|it| self.advice.get(it)).map(|it| &it.refused);
        let is_refused = |it: &Worker| refused.is_some_and(|them| them.contains(&it.seen.id));
        let lacks_label = wait.label.as_ref().is_some_and(|it| !host.seen.labels.contains(it));
        if worker.is_some_and(is_refused) || lacks_label {
            return 0;
        }
        let free = worker.map_or(host.seen.capacity, Worker::free);
        free.times(wait.size).min(wait.per_worker).min(wait.tasks)
    }
}
