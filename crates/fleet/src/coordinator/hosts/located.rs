//! Which workers the list of hosts shows, and which may be on a host that it does not show them on yet.

use fuchsiamill_model::FastSet;

use super::Host;
use crate::{
    Name,
    coordinator::{Coordinator, Worker},
};

impl Coordinator {
    /// Returns whether a new worker of a pool may be on a host with an unconfirmed order, because the worker known on
    /// that host has ended.
    pub(in crate::coordinator) fn may_be_ordered(&self, pool: &Name) -> bool {
        let is_ordered = |it: &Host| {
            it.seen.pool == *pool && it.duty.as_ref().is_some_and(|it| it.confirmed.is_none())
        };
        let ordered = self.hosts.iter().filter(|it| is_ordered(it.1));
        ordered.map(|it| self.worker_on(it.0)).any(|it| it.is_none_or(may_be_over))
    }

    /// Returns whether a worker that no host is listed with may have taken the place of this one on its host.
    pub(super) fn may_be_replaced(&self, worker: &Worker) -> bool {
        may_be_over(worker) && self.has_unlocated_workers
    }

    /// Notes whether some worker is on no listed host.
    pub(super) fn update_unlocated(&mut self) {
        let located: FastSet<&Name> =
            self.hosts.values().filter_map(|it| it.seen.worker.as_ref()).collect();
        let mut listed = self.workers.iter().filter(|it| !it.1.unlisted);
        self.has_unlocated_workers = listed.any(|it| !located.contains(it.0));
    }
}

/// Returns whether a worker may have ended.
fn may_be_over(worker: &Worker) -> bool {
    !worker.answered || worker.unlisted || worker.silent_since.is_some()
}
