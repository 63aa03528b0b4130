//! Hosts whose workers take no new tasks: those that are ordered to do something, or will be once they are free.

use fuchsiamill_model::FastSet;

use crate::{Name, coordinator::Coordinator};

impl Coordinator {
    /// Lets the worker on a host take tasks again, or take none, by what the host is wanted for now.
    pub(in crate::coordinator) fn update_reserved(&mut self, name: &Name) {
        let Some(host) = self.hosts.get(name) else { return };
        let is_awaited = self.emptied.contains_key(name)
            || self.waves.iter().any(|it| it.draining.contains(name));
        let is_wanted = match &host.duty {
            _ if is_awaited => true,
            // Its worker ends; another one that is born there meanwhile does not end with it.
            Some(it) if it.confirmed.is_some() => return,
            duty => duty.is_some(),
        };
        let worker = host.seen.worker.as_ref().and_then(|it| self.workers.get_mut(it));
        let Some(at) = worker else { return };
        self.needs_placing |= at.reserved && !is_wanted;
        at.reserved = is_wanted;
    }

    /// Sets which hosts of a wave finish their tasks.
    pub(super) fn set_draining(&mut self, wave: usize, hosts: FastSet<Name>) {
        let before = std::mem::replace(&mut self.waves[wave].draining, hosts.clone());
        hosts.union(&before).for_each(|it| self.update_reserved(it));
    }

    /// Takes the wave with this number out; answers the hosts that finish their tasks for it.
    pub(super) fn take_replaced(&mut self, number: u64) -> FastSet<Name> {
        let at = self.waves.iter().position(|it| it.wave.number == number);
        at.map_or_else(FastSet::default, |it| self.waves.remove(it).draining)
    }
}
