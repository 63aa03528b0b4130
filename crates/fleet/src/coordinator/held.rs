//! Room that is kept for tasks that run all the time and have waited for it.
//!
//! Such a task is placed before others, but a worker on which short tasks follow one another never has room for a larger one,
//! and a worker that is drained takes no tasks at all. Therefore some workers take no other new tasks until the waiting ones
//! are placed: those that will have room first, and drained ones only if no others will do.

use fuchsiamill_model::{
    FastMap, FastSet, Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, StepKey, Worker,
    pool_view::{PoolView, RoomWait, Views},
    pools::Move,
};
use crate::Name;

/// A worker that may hold room.
struct Candidate {
    worker: Name,
    host: Option<Name>,
    is_drained: bool,
    /// How long its other tasks are expected to run on.
    busy_ms: Millisecond,
    /// The room that it has without tasks that end by themselves, and that is not held yet.
    room: Resources,
    /// The tasks of each step that it has or holds room for.
    siblings: FastMap<StepKey, u64>,
}

impl Candidate {
    /// Takes room for at most so many tasks of a step; returns for how many.
    fn hold(&mut self, wait: &RoomWait, most: u64) -> u64 {
        let siblings = self.siblings.entry(wait.step.clone()).or_insert(0);
        let places = self.room.times(wait.size).min(wait.per_worker.saturating_sub(*siblings));
        let tasks = places.min(most);
        *siblings += tasks;
        (0..tasks).for_each(|_| self.room = self.room.minus(wait.size));
        tasks
    }
}

impl Coordinator {
    /// Selects the workers that hold room for the waiting tasks, unless hosts with room for these are on their way.
    pub(super) fn hold_room(&mut self, views: &Views, moves: &[Move], now: Moment) {
        let mut held: FastMap<Name, u32> = FastMap::default();
        let mut recalled: FastSet<Name> = FastSet::default();
        for (pool, view) in views.iter().filter(|it| !it.1.waits.is_empty()) {
            let moved = moves.iter().filter(|it| it.1 == *pool).count() as u64;
            let mut candidates = self.hold_candidates(pool, view, now);
            for wait in &view.waits {
                let coming = (view.coming + moved).saturating_mul(wait.tasks_per(view.host));
                let mut left = wait.tasks.saturating_sub(coming);
                for it in &mut candidates {
                    let tasks = it.hold(wait, left);
                    left -= tasks;
                    if tasks > 0 {
                        held.entry(it.worker.clone()).or_insert(wait.priority);
                        recalled.extend(it.host.clone().filter(|_| it.is_drained));
                    }
                }
            }
        }
        for (id, worker) in &mut self.workers {
            let held_for = held.remove(id);
            self.needs_placing |= worker.held_for.is_some() && held_for.is_none();
            worker.held_for = held_for;
        }
        self.recall_hosts(recalled);
    }

    /// Returns the workers of a pool on which waiting tasks may be placed, the first to have room first.
    fn hold_candidates(&self, pool: &Name, view: &PoolView, now: Moment) -> Vec<Candidate> {
        let host_of: FastMap<&Name, &Name> = self
            .hosts
            .iter()
            .filter_map(|(name, it)| Some((it.seen.worker.as_ref()?, name)))
            .collect();
        let steps: FastSet<&StepKey> = view.waits.iter().map(|it| &it.step).collect();
        let is_drained = |worker: &Worker| {
            let host = host_of.get(&worker.seen.id).and_then(|it| self.hosts.get(*it));
            worker.reserved && host.is_some_and(|it| it.duty.is_none())
        };
        let workers = self.workers.values().filter(|it| it.seen.pool == *pool);
        let workers = workers.filter(|it| it.is_sound(now) && (!it.reserved || is_drained(it)));
        let candidate = |worker: &Worker| {
            let mut siblings: FastMap<StepKey, u64> = FastMap::default();
            for step in worker.live.keys().map(StepKey::from).filter(|it| steps.contains(it)) {
                *siblings.entry(step).or_insert(0) += 1;
            }
            Candidate {
                worker: worker.seen.id.clone(),
                host: host_of.get(&worker.seen.id).map(|it| (*it).clone()),
                is_drained: worker.reserved,
                busy_ms: self.busy_ms(worker, now),
                room: worker.seen.capacity.minus(worker.long_running).minus(worker.unknown.room),
                siblings,
            }
        };
        let mut candidates: Vec<Candidate> = workers.map(candidate).collect();
        candidates.sort_by_key(|it| {
            let is_new = self.workers[&it.worker].held_for.is_none();
            (it.is_drained, is_new, it.busy_ms, it.worker.clone())
        });
        candidates
    }

    /// Lets drained hosts take tasks again. They are not drained while they are among these.
    fn recall_hosts(&mut self, hosts: FastSet<Name>) {
        let before = std::mem::replace(&mut self.recalled, hosts.clone());
        for host in &hosts {
            self.draining_to.remove(host);
            for wave in &mut self.waves {
                wave.draining.remove(host);
            }
        }
        hosts.union(&before).for_each(|it| self.update_reserved(it));
    }
}
