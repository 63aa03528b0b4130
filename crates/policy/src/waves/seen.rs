//! Since when this runner has seen each host in its state.

use fuchsiamill_model::{Configuration, FastMap, HostName, HostState, Moment, Version};

use super::evidence::Seen;

/// Since when each host that is out is in its state. A runner that takes over starts anew, which only
/// makes it wait longer.
#[derive(Clone, Debug, Default)]
pub struct SeenStates {
    hosts: FastMap<HostName, (HostState, Seen)>,
}

impl SeenStates {
    /// Takes note of the states of hosts and of the version that is accepted.
    pub fn note<'a>(
        &mut self,
        config: &Configuration,
        hosts: impl Iterator<Item = &'a HostName>,
        accepted: Version,
        now: Moment,
    ) {
        let mut next = FastMap::default();
        for name in hosts {
            let Some(host) = config.hosts.get(name) else { continue };
            if matches!(host.state, HostState::Serving | HostState::SetAside | HostState::Absent) {
                continue;
            }
            let fresh = Seen { at: now, version: config.version, accepted_at: None };
            let mut seen = match self.hosts.get(name) {
                Some((state, seen)) if *state == host.state => *seen,
                _ => fresh,
            };
            if seen.accepted_at.is_none() && accepted >= seen.version {
                seen.accepted_at = Some(now);
            }
            next.insert(name.clone(), (host.state, seen));
        }
        self.hosts = next;
    }

    /// Since when a host is in its state.
    pub fn of(&self, host: &HostName) -> Option<Seen> {
        self.hosts.get(host).map(|(_, seen)| *seen)
    }
}
