//! The search for room during one placement.
//!
//! While tasks are placed, room only shrinks. A need that no worker had room for is therefore not searched for again in the
//! same placement, and neither is a larger one. This bounds the cost of steps that find no room without passing over those
//! that would.

use fuchsiamill_model::{FastMap, FastSet, Resources, units::Moment};

use super::{Worker, hosts::DueHosts, waits::WaitReason};
use crate::{JobSpec, Name, Step};

/// The workers that take tasks during one placement, by pool.
pub(super) struct RoomSearch {
    pools: FastMap<Name, PoolRoom>,
}

/// The workers of one pool, and the needs that it does not meet.
#[derive(Default)]
pub(super) struct PoolRoom {
    /// Those that had most processor time left when the placement began come first.
    pub(super) workers: Vec<FreeWorker>,
    /// Needs that no worker had room for. None of them covers another one.
    unmet: Vec<UnmetNeed>,
}

/// A worker with the room that it has left.
#[derive(Clone)]
pub(super) struct FreeWorker {
    pub(super) id: Name,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// See [`Worker::held_for`].
    pub(super) held_for: Option<u32>,
    /// Whether its host is to be maintained.
    pub(super) is_due: bool,
    /// What it had left of its processor time when the placement began, in millicores.
    pub(super) free_at_first: u32,
}

impl FreeWorker {
    /// Returns whether its room is not held for other work.
    pub(super) fn takes(&self, spec: &JobSpec) -> bool {
        spec.is_standing() || self.held_for.is_none_or(|held| spec.route.priority < held)
    }
}

struct UnmetNeed {
    room: Resources,
    label: Option<Name>,
    /// Whether workers that hold room were searched too.
    is_standing: bool,
    reason: WaitReason,
}

impl UnmetNeed {
    fn of(spec: &JobSpec, step: &Step, reason: WaitReason) -> Self {
        let is_standing = spec.is_standing();
        Self { room: step.room(), label: step.label.clone(), is_standing, reason }
    }

    /// Returns whether a step needs at least as much, so that there is no room for it either.
    fn covers(&self, spec: &JobSpec, step: &Step) -> bool {
        step.room().fits(self.room)
            && (self.label.is_none() || self.label == step.label)
            && (self.is_standing || !spec.is_standing())
    }

    fn covers_need(&self, other: &UnmetNeed) -> bool {
        other.room.fits(self.room)
            && (self.label.is_none() || self.label == other.label)
            && (self.is_standing || !other.is_standing)
    }
}

/// A worker that was found for a task, by its position in the pool.
pub(super) struct Found {
    pub(super) position: usize,
    pub(super) id: Name,
}

impl RoomSearch {
    pub(super) fn new(workers: &FastMap<Name, Worker>, due: &DueHosts, now: Moment) -> Self {
        let mut pools: FastMap<Name, PoolRoom> = FastMap::default();
        for worker in workers.values().filter(|it| it.takes_tasks(now)) {
            let free = worker.free();
            let free = FreeWorker {
                id: worker.seen.id.clone(),
                capacity: worker.seen.capacity,
                free,
                held_for: worker.held_for,
                is_due: due.has_worker(&worker.seen.id),
                free_at_first: free.millicores,
            };
            pools.entry(worker.seen.pool.clone()).or_default().workers.push(free);
        }
        for pool in pools.values_mut() {
            pool.workers.sort_unstable_by_key(|it| std::cmp::Reverse(it.free_at_first));
        }
        Self { pools }
    }

    /// Returns a search among the other workers of a pool.
    pub(super) fn without(&self, pool: &Name, worker: &Name) -> Self {
        let workers = self.pools.get(pool).map_or(&[][..], |it| &it.workers);
        let workers = workers.iter().filter(|it| it.id != *worker).cloned().collect();
        let room = PoolRoom { workers, unmet: Vec::new() };
        Self { pools: [(pool.clone(), room)].into_iter().collect() }
    }

    pub(super) fn pool(&self, pool: &Name) -> Option<&PoolRoom> {
        self.pools.get(pool)
    }

    /// Returns why there is no room for a task of the step, if that is known from an earlier search.
    pub(super) fn unmet(&self, spec: &JobSpec, step: &Step) -> Option<WaitReason> {
        let unmet = &self.pools.get(&spec.route.pool)?.unmet;
        unmet.iter().find(|it| it.covers(spec, step)).map(|it| it.reason)
    }

    /// Notes that no worker has room for a task of the step.
    pub(super) fn note_unmet(&mut self, spec: &JobSpec, step: &Step, reason: WaitReason) {
        let need = UnmetNeed::of(spec, step, reason);
        let unmet = &mut self.pools.entry(spec.route.pool.clone()).or_default().unmet;
        unmet.retain(|it| !need.covers_need(it));
        unmet.push(need);
    }

    /// Returns how many tasks of the step there is room for on workers with its label.
    pub(super) fn places(
        &self,
        spec: &JobSpec,
        step: &Step,
        has_label: impl Fn(&Name) -> bool,
    ) -> u64 {
        let most = step.per_worker.map_or(u64::MAX, u64::from);
        let workers = self.pools.get(&spec.route.pool).map_or(&[][..], |it| &it.workers);
        let workers = workers.iter().filter(|it| it.takes(spec) && has_label(&it.id));
        let places = workers.map(|it| it.free.times(step.room()).min(most));
        places.fold(0, u64::saturating_add)
    }

    pub(super) fn take(&mut self, pool: &Name, position: usize, room: Resources) {
        self.change(pool, position, |free| free.minus(room));
    }

    pub(super) fn give_back(&mut self, pool: &Name, position: usize, room: Resources) {
        self.change(pool, position, |free| free.plus(room));
    }

    fn change(&mut self, pool: &Name, position: usize, to: impl Fn(Resources) -> Resources) {
        let worker = self.pools.get_mut(pool).and_then(|it| it.workers.get_mut(position));
        worker.into_iter().for_each(|it| it.free = to(it.free));
    }

    /// Returns the pools whose workers are too full for some task that they could hold.
    pub(super) fn full_pools(self) -> FastSet<Name> {
        let is_full = |it: &PoolRoom| it.unmet.iter().any(|it| it.reason == WaitReason::Room);
        self.pools.into_iter().filter(|it| is_full(&it.1)).map(|it| it.0).collect()
    }
}
