//! Workers that the host list shows to have ended.

use fuchsiamill_model::FastSet;

use crate::{Name, coordinator::Coordinator, worker::HostListing};

impl Coordinator {
    /// Ends workers that do not answer and that no host has any more, and returns them. A worker is one life of its host,
    /// so nothing of it goes on. Silence alone does not show that: the worker may be cut off and run on. A list that is
    /// not whole shows only the end of workers whose hosts are in it.
    pub(super) fn end_absent_workers(&mut self, listing: &HostListing) -> Vec<Name> {
        let on_hosts: FastSet<&Name> =
            listing.hosts.iter().filter_map(|it| it.worker.as_ref()).collect();
        let former: FastSet<&Name> =
            self.hosts.values().filter_map(|it| it.former_worker.as_ref()).collect();
        let shows_all = listing.is_whole && !listing.hosts.is_empty();
        let is_absent = |id: &Name| !on_hosts.contains(id) && (shows_all || former.contains(id));
        let workers = self.workers.iter();
        let ended: Vec<Name> = workers
            .filter(|(id, it)| it.is_silent_since(listing.asked) && is_absent(id))
            .map(|(id, _)| id.clone())
            .collect();
        let now = listing.asked.max(self.last_tick);
        let is_new = |id: &Name| {
            let born = self.workers[id].seen.born;
            self.worker_dead(id, born, now)
        };
        ended.into_iter().filter(is_new).collect()
    }
}
