//! Hosts that have come up and on which long-running tasks can start, which are not maintained before these have started.
//!
//! A task that was stopped for a wave without a place elsewhere waits for its host to come back. Another wave would maintain that
//! host again before the task has started, and the next wave again.

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use crate::{
    Name,
    coordinator::{
        Coordinator, Job, StepKey, Worker,
        pool_view::{RoomWait, WaitUrgency},
    },
};

/// How long a host that came up is kept for tasks that wait: longer than the first report of its worker, a placement, a record and the
/// order take. What has not started by then lacks more than room.
const START_WITHIN_MS: Millisecond = 2_000;

/// The long-running tasks that wait, and hosts that are kept for them.
pub(super) struct AwaitedRoom {
    /// Those that no host is kept for, by pool.
    waits: FastMap<Name, Vec<RoomWait>>,
    kept: FastSet<Name>,
}

impl Coordinator {
    /// Returns the long-running tasks that wait for room and may start by the limits of their teams.
    pub(super) fn awaited_room(&self, now: Moment) -> AwaitedRoom {
        let mut waits: FastMap<Name, Vec<RoomWait>> = FastMap::default();
        if self.waves.iter().any(|it| !it.is_completed) {
            let open = self.jobs.values().filter(|it| !it.stage.is_over());
            for job in open.filter(|it| it.spec.long_running() && it.has_waiting()) {
                let of_pool = waits.entry(job.spec.route.pool.clone()).or_default();
                of_pool.extend(self.waits_of(job, now));
            }
        }
        AwaitedRoom { waits, kept: FastSet::default() }
    }

    fn waits_of<'a>(&'a self, job: &'a Job, now: Moment) -> impl Iterator<Item = RoomWait> + 'a {
        job.open_steps().into_iter().filter_map(move |(occurrence, number)| {
            let step = &job.spec.steps[number];
            let waiting = job.occurrences[occurrence].steps[number].waiting;
            let startable = u64::from(waiting).min(self.left_of_limit(&job.spec.team, step.size));
            let key =
                StepKey { job: job.id.clone(), occurrence: occurrence as u32, step: number as u16 };
            let urgency = WaitUrgency { priority: job.spec.route.priority, since: now };
            let is_awaited = step.long_running && !step.gang && startable > 0;
            is_awaited.then(|| RoomWait::new(key, urgency, startable, step))
        })
    }

    /// Returns whether an empty host is kept for tasks that wait, and takes as many of them as fit there. A host on which something
    /// has run was emptied for its maintenance.
    pub(super) fn is_awaited(&self, name: &Name, room: &mut AwaitedRoom, now: Moment) -> bool {
        let (Some(host), Some(worker)) = (self.hosts.get(name), self.worker_on(name)) else {
            return false;
        };
        if room.kept.contains(name) {
            return true;
        }
        let has_run = worker.idle_since > worker.known_since;
        let is_new = now.since(host.up_since) < START_WITHIN_MS && !has_run;
        if !is_new || !worker.may_become_sound(now) {
            return false;
        }
        let waits = room.waits.get_mut(&worker.seen.pool);
        let suits = |it: &&mut RoomWait| self.tasks_on_empty(worker, it) > 0;
        let Some(wait) = waits.into_iter().flatten().find(suits) else { return false };
        wait.tasks -= self.tasks_on_empty(worker, wait);
        room.kept.insert(name.clone())
    }

    /// Returns how many tasks of a wait fit on a worker that runs nothing.
    fn tasks_on_empty(&self, worker: &Worker, wait: &RoomWait) -> u64 {
        let refused = self.advice.get(&wait.step).map(|it| &it.refused);
        let is_refused = refused.is_some_and(|it| it.contains(&worker.seen.id));
        let lacks_label = wait.label.as_ref().is_some_and(|it| !worker.has_label(it));
        match is_refused || lacks_label {
            true => 0,
            false => worker.free().times(wait.size).min(wait.per_worker).min(wait.tasks),
        }
    }
}
