//! What workers tell of their own health: a hint that what they do may contradict.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Coordinator, Order, Worker};
use crate::Name;

/// The pause between two questions to a worker: a sick one fails a task of usual length meanwhile.
const ASK_MS: Millisecond = 1_000;

/// A worker that tells that it is sick takes no new tasks for so long: until the next answer, with some delay.
const SICK_MS: Millisecond = 1_600;

/// A task that is done so long after its worker told that it is sick shows that it is not.
const CONTRADICTION_MS: Millisecond = 500;

/// For how long a worker whose answers were contradicted is not believed.
const DISBELIEF_MS: Millisecond = 10_000;

/// Where more of a pool's workers, in per cent, tell that they are sick, none is believed: tasks have to run somewhere.
const MOST_SICK_PERCENT: usize = 50;

/// What a worker tells of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldHealth {
    asked: Moment,
    /// Since when it tells that it is sick.
    sick_since: Option<Moment>,
    disbelieved_until: Moment,
}

impl ToldHealth {
    /// Takes note of a task that was done: it may contradict what the worker told.
    pub fn task_done(&mut self, now: Moment) {
        if self.sick_since.is_some_and(|it| now.since(it) >= CONTRADICTION_MS) {
            self.sick_since = None;
            self.disbelieved_until = now + DISBELIEF_MS;
        }
    }
}

impl Coordinator {
    /// Asks workers that take tasks, or could, whether they are healthy.
    pub(super) fn ask_health(&mut self, now: Moment) {
        let paths: FastMap<&Name, &Name> = self
            .config
            .pools
            .values()
            .filter(|it| !it.spare)
            .filter_map(|it| Some((&it.name, it.health_probe.as_ref()?)))
            .collect();
        if paths.is_empty() {
            return;
        }
        for (id, at) in &mut self.workers {
            let is_due = now.since(at.health.asked) >= ASK_MS;
            if !is_due || !at.answered || at.gone || at.silent.is_some() {
                continue;
            }
            if let Some(path) = paths.get(&at.seen.pool) {
                at.health.asked = now;
                self.released.push(Order::AskHealth { worker: id.clone(), path: (*path).clone() });
            }
        }
    }

    /// A worker of the life `born` has told whether it is healthy; returns whether it is believed to be sick.
    pub fn worker_health_reported(
        &mut self,
        id: &Name,
        born: u64,
        is_healthy: bool,
        now: Moment,
    ) -> bool {
        let Some(at) = self.workers.get_mut(id).filter(|it| it.seen.born == born) else {
            return false;
        };
        if is_healthy {
            at.health.sick_since = None;
            return false;
        }
        if now < at.health.disbelieved_until {
            return false;
        }
        at.health.sick_since.get_or_insert(now);
        let pool = at.seen.pool.clone();
        let is_believed = !self.are_many_sick(&pool);
        if is_believed {
            self.avoid(id, now + SICK_MS);
        }
        is_believed
    }

    fn are_many_sick(&self, pool: &Name) -> bool {
        let of_pool = || self.workers.values().filter(|it| it.seen.pool == *pool && it.answered);
        let is_sick = |it: &&Worker| it.health.sick_since.is_some();
        of_pool().filter(is_sick).count() * 100 > of_pool().count() * MOST_SICK_PERCENT
    }
}
