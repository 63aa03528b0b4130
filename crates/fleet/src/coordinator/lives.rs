//! Lives of workers under one id, and those that the worker list no longer has.

use std::net::SocketAddr;

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};
use serde::{Deserialize, Serialize};

use super::{Coordinator, Order, Worker, worker::placeholder_for};
use crate::{Name, WorkerInfo};

/// A start may be carried out this much later: orders to hosts are expected to be as late.
const LATE_START_MS: Millisecond = 12_000;

/// The most unlisted workers that are stored, so that their row stays far below what the store takes.
const MAX_UNLISTED: usize = 100;

/// What the coordinator keeps of lives that are over or not listed.
#[derive(Debug, Default)]
pub(super) struct Lives {
    /// Workers whose next life may carry out starts that were meant for the former one, and until when.
    pub late_starts: FastMap<Name, Moment>,
    /// Whether a worker with runs has left the list since such workers were last taken to be stored.
    has_new_unlisted: bool,
}

/// A worker with runs that is no longer in the worker list. Its entry was all that told where it takes orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnlistedWorker {
    /// Id.
    pub id: Name,
    /// Start time of the life that has the runs, in Unix milliseconds.
    pub born: u64,
    /// Address at which it takes orders.
    pub addr: SocketAddr,
    /// Name of the pool.
    pub pool: Name,
    /// Total resources.
    pub capacity: Resources,
}

impl Coordinator {
    /// Notes that a worker is no longer in the worker list. One that has or reports runs stays known, so that they end.
    pub fn worker_unlisted(&mut self, id: &Name) {
        if let Some(worker) = self.workers.get_mut(id) {
            self.lives.has_new_unlisted |= !worker.unlisted && !worker.live.is_empty();
            worker.unlisted = true;
            if worker.live.is_empty() && !worker.reports_runs {
                self.forget_worker(id, self.last_tick);
            }
        }
    }

    /// Returns the workers with runs that are not in the worker list, or `None` if no further one has left it. Those with
    /// long-running tasks come first, if there are more than are stored.
    pub fn take_unlisted_workers(&mut self) -> Option<Vec<UnlistedWorker>> {
        if !std::mem::take(&mut self.lives.has_new_unlisted) {
            return None;
        }
        let is_kept = |it: &&Worker| it.unlisted && it.seen.born != 0 && !it.live.is_empty();
        let mut kept: Vec<&Worker> = self.workers.values().filter(is_kept).collect();
        kept.sort_by_key(|it| (it.long_running == 0, &it.seen.id));
        let unlisted = kept.into_iter().take(MAX_UNLISTED).map(|it| UnlistedWorker {
            id: it.seen.id.clone(),
            born: it.seen.born,
            addr: it.seen.addr,
            pool: it.seen.pool.clone(),
            capacity: it.seen.capacity,
        });
        Some(unlisted.collect())
    }

    /// Notes where a worker that is known from records of its runs only takes orders, as a former coordinator stored it.
    /// Ignored if the runs are of another life, whose end an answer from there would seem to show.
    pub fn worker_remembered(&mut self, stored: UnlistedWorker) {
        let UnlistedWorker { id, born, addr, pool, capacity } = stored;
        let is_same_life = self.live_on(&id).iter().all(|(_, live)| live.born == born);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.unlisted && worker.seen.born == 0 && is_same_life {
            worker.seen = WorkerInfo { born, addr, pool, capacity, ..placeholder_for(&id) };
            self.ready_orders.push(Order::Watch { worker: worker.seen.clone() });
        }
    }

    pub(super) fn forget_worker(&mut self, id: &Name, now: Moment) {
        self.workers.remove(id);
        self.forget_stray_runs(id);
        self.expect_late_starts(id, now);
    }

    /// Notes that the next life of a worker may carry out starts that were meant for the former one. Nothing else makes
    /// the coordinator poll it, if it has no runs.
    pub(super) fn expect_late_starts(&mut self, worker: &Name, now: Moment) {
        self.lives.late_starts.insert(worker.clone(), now + LATE_START_MS);
    }
}
