//! Reserved hosts, whose workers take no new tasks: hosts that have an order, or get one as soon as they are free.

use fuchsiamill_model::FastSet;

use crate::{Name, coordinator::Coordinator};

impl Coordinator {
    /// Reserves or releases the worker on a host, according to the host's order and to what the host is drained for.
    pub(in crate::coordinator) fn update_reserved(&mut self, name: &Name) {
        let Some(host) = self.hosts.get(name) else { return };
        let is_draining = self.draining_to.contains_key(name)
            || self.waves.iter().any(|it| it.draining.contains(name));
        let is_reserved = match &host.duty {
            _ if is_draining => true,
            // The order ends the current worker. A worker that starts on the host later is not ended by it, so the flag
            // stays.
            Some(it) if it.confirmed.is_some() => return,
            duty => duty.is_some(),
        };
        let worker = host.seen.worker.as_ref().and_then(|it| self.workers.get_mut(it));
        let Some(worker) = worker else { return };
        self.needs_placing |= worker.reserved && !is_reserved;
        worker.reserved = is_reserved;
    }

    /// Sets which hosts finish their tasks for a wave.
    pub(super) fn set_draining(&mut self, wave: usize, hosts: FastSet<Name>) {
        let before = std::mem::replace(&mut self.waves[wave].draining, hosts.clone());
        hosts.union(&before).for_each(|it| self.update_reserved(it));
    }

    /// Removes the wave with this number, if there is one; returns the hosts that were draining for it.
    pub(super) fn take_replaced(&mut self, number: u64) -> FastSet<Name> {
        let index = self.waves.iter().position(|it| it.wave.number == number);
        index.map_or_else(FastSet::default, |it| self.waves.remove(it).draining)
    }
}
