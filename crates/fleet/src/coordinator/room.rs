//! The search for room during one placement.
//!
//! While tasks are placed, room only shrinks. A need that no worker had room for is therefore not searched for again in the
//! same placement, and neither is a larger one. This bounds the cost of steps that find no room without passing over those
//! that would.

use fuchsiamill_model::{FastMap, FastSet, Resources, units::Moment};

use super::{Worker, waits::WaitReason};
use crate::{Name, Step};

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
pub(super) struct FreeWorker {
    pub(super) id: Name,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// What it had left of its processor time when the placement began, in millicores.
    pub(super) free_at_first: u32,
}

struct UnmetNeed {
    room: Resources,
    label: Option<Name>,
    reason: WaitReason,
}

impl UnmetNeed {
    /// Returns whether a step needs at least as much, so that there is no room for it either.
    fn covers(&self, room: Resources, label: Option<&Name>) -> bool {
        room.fits(self.room) && (self.label.is_none() || self.label.as_ref() == label)
    }
}

/// A worker that was found for a task, by its position in the pool.
pub(super) struct Found {
    pub(super) position: usize,
    pub(super) id: Name,
}

impl RoomSearch {
    pub(super) fn new(workers: &FastMap<Name, Worker>, now: Moment) -> Self {
        let mut pools: FastMap<Name, PoolRoom> = FastMap::default();
        for worker in workers.values().filter(|it| it.takes_tasks(now)) {
            let free = worker.free();
            let free = FreeWorker {
                id: worker.seen.id.clone(),
                capacity: worker.seen.capacity,
                free,
                free_at_first: free.millicores,
            };
            pools.entry(worker.seen.pool.clone()).or_default().workers.push(free);
        }
        for pool in pools.values_mut() {
            pool.workers.sort_unstable_by_key(|it| std::cmp::Reverse(it.free_at_first));
        }
        Self { pools }
    }

    pub(super) fn pool(&self, pool: &Name) -> Option<&PoolRoom> {
        self.pools.get(pool)
    }

    /// Returns why there is no room for a task of the step, if that is known from an earlier search.
    pub(super) fn unmet(&self, pool: &Name, step: &Step) -> Option<WaitReason> {
        let unmet = &self.pools.get(pool)?.unmet;
        let (room, label) = (step.room(), step.label.as_ref());
        unmet.iter().find(|it| it.covers(room, label)).map(|it| it.reason)
    }

    /// Notes that no worker has room for a task of the step.
    pub(super) fn note_unmet(&mut self, pool: &Name, step: &Step, reason: WaitReason) {
        let need = UnmetNeed { room: step.room(), label: step.label.clone(), reason };
        let unmet = &mut self.pools.entry(pool.clone()).or_default().unmet;
        unmet.retain(|it| !need.covers(it.room, it.label.as_ref()));
        unmet.push(need);
    }

    /// Returns how many tasks of the step there is room for on workers with its label.
    pub(super) fn places(
        &self,
        pool: &Name,
        step: &Step,
        has_label: impl Fn(&Name) -> bool,
    ) -> u64 {
        let most = step.per_worker.map_or(u64::MAX, u64::from);
        let workers = self.pools.get(pool).map_or(&[][..], |it| &it.workers);
        let workers = workers.iter().filter(|it| has_label(&it.id));
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
