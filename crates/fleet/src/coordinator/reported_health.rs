//! Health that workers report of themselves, a hint that the results of their tasks may contradict.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Coordinator, Order, Worker};
use crate::Name;

/// The time between two health checks of a worker. An unhealthy worker fails a task of usual length in that time.
const HEALTH_CHECK_MS: Millisecond = 1_000;

/// How long a worker that reports that it is unhealthy takes no new tasks: until the next answer, with some delay.
const AVOID_UNHEALTHY_MS: Millisecond = 1_600;

/// A task that is done this long after its worker reported that it is unhealthy shows that the worker is healthy.
const CONTRADICTION_MS: Millisecond = 500;

/// How long the reports of a worker are ignored after a task contradicted them.
const DISTRUST_MS: Millisecond = 10_000;

/// If more of a pool's workers than this report that they are unhealthy, in per cent, no such report counts: tasks have
/// to run somewhere.
const MAX_UNHEALTHY_PERCENT: usize = 50;

/// The health that a worker reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedHealth {
    asked: Moment,
    /// Since when the worker has reported that it is unhealthy.
    unhealthy_since: Option<Moment>,
    distrusted_until: Moment,
}

impl ReportedHealth {
    /// Notes that a task was done, which may contradict the worker's reports.
    pub fn task_done(&mut self, now: Moment) {
        if self.unhealthy_since.is_some_and(|it| now.since(it) >= CONTRADICTION_MS) {
            self.unhealthy_since = None;
            self.distrusted_until = now + DISTRUST_MS;
        }
    }
}

impl Coordinator {
    /// Orders health checks of the workers that take tasks, or could.
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
        for (id, worker) in &mut self.workers {
            let is_due = now.since(worker.health.asked) >= HEALTH_CHECK_MS;
            if !is_due || !worker.answered || worker.unlisted || worker.silent_since.is_some() {
                continue;
            }
            if let Some(path) = paths.get(&worker.seen.pool) {
                worker.health.asked = now;
                self.ready_orders
                    .push(Order::AskHealth { worker: id.clone(), path: (*path).clone() });
            }
        }
    }

    /// Records the health that the worker incarnation `born` reported. Returns whether the worker is considered
    /// unhealthy.
    pub fn worker_health_reported(
        &mut self,
        id: &Name,
        born: u64,
        is_healthy: bool,
        now: Moment,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id).filter(|it| it.seen.born == born) else {
            return false;
        };
        if is_healthy {
            worker.health.unhealthy_since = None;
            return false;
        }
        if now < worker.health.distrusted_until {
            return false;
        }
        worker.health.unhealthy_since.get_or_insert(now);
        let pool = worker.seen.pool.clone();
        let is_trusted = !self.are_many_unhealthy(&pool);
        if is_trusted {
            self.avoid(id, now + AVOID_UNHEALTHY_MS);
        }
        is_trusted
    }

    fn are_many_unhealthy(&self, pool: &Name) -> bool {
        let of_pool = || self.workers.values().filter(|it| it.seen.pool == *pool && it.answered);
        let is_unhealthy = |it: &&Worker| it.health.unhealthy_since.is_some();
        of_pool().filter(is_unhealthy).count() * 100 > of_pool().count() * MAX_UNHEALTHY_PERCENT
    }
}
