//! Workers that the host list shows to have ended.

use fuchsiamill_model::FastSet;

use crate::{Name, coordinator::Coordinator, worker::HostListing};

impl Coordinator {
    /// Ends workers that do not answer and that no host has any more, and returns them. A worker is one life of its host,
    /// so nothing of it goes on. Silence alone does not show that: the worker may be cut off and run on.
    ///
    /// A host that is listed without its former worker shows the end of that one. A worker whose host is not known, or is not
    /// listed, has ended once two whole lists in a row lack it: a list is read in pages, between which a host may be missed.
    pub(super) fn end_absent_workers(&mut self, listing: &HostListing) -> Vec<Name> {
        let hosts = listing.hosts.iter();
        let on_hosts: FastSet<&Name> = hosts.filter_map(|it| it.worker.as_ref()).collect();
        let former: FastSet<&Name> =
            self.hosts.values().filter_map(|it| it.former_worker.as_ref()).collect();
        let shows_all = listing.is_whole && !listing.hosts.is_empty();
        let mut ended = Vec::new();
        for (id, worker) in &mut self.workers {
            let is_absent = !on_hosts.contains(id) && worker.is_silent_since(listing.asked);
            let was_absent = worker.absent;
            worker.absent = is_absent && (shows_all || was_absent);
            if is_absent && (former.contains(id) || shows_all && was_absent) {
                ended.push(id.clone());
            }
        }
        let now = listing.asked.max(self.last_tick);
        let is_new = |id: &Name| {
            let born = self.workers[id].seen.born;
            self.worker_dead(id, born, now)
        };
        ended.into_iter().filter(is_new).collect()
    }
}
