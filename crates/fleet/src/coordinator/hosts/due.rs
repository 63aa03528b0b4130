//! Hosts that are still to be maintained for a wave. Long-running tasks go to other hosts first, since they would be stopped
//! again.

use fuchsiamill_model::FastSet;

use crate::{Name, coordinator::Coordinator};

/// The hosts that are due, and the workers on them, as of the last plan.
#[derive(Debug, Default)]
pub(in crate::coordinator) struct DueHosts {
    hosts: FastSet<Name>,
    workers: FastSet<Name>,
}

impl DueHosts {
    pub(in crate::coordinator) fn has_host(&self, host: &Name) -> bool {
        self.hosts.contains(host)
    }

    pub(in crate::coordinator) fn has_worker(&self, worker: &Name) -> bool {
        self.workers.contains(worker)
    }
}

impl Coordinator {
    /// Notes which hosts are due.
    pub(super) fn update_due(&mut self) {
        let open = self.waves.iter().filter(|it| !it.is_completed);
        let due = open.flat_map(|it| it.left());
        let hosts: FastSet<Name> = due.cloned().collect();
        let workers =
            hosts.iter().filter_map(|it| self.hosts.get(it)?.seen.worker.clone()).collect();
        self.due = DueHosts { hosts, workers };
    }
}
