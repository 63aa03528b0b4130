//! Records since when a runner has seen each host in its current state.

use fuchsiamill_model::{Configuration, FastMap, HostName, HostState, Moment, Version};

use super::evidence::Seen;

/// When a runner first saw the current state of each host that is out. A runner that takes over a plan
/// starts without these records, which only makes it wait longer.
#[derive(Clone, Debug, Default)]
pub struct SeenStates {
    hosts: FastMap<HostName, (HostState, Seen)>,
}

impl SeenStates {
    /// Records the current states of `hosts` and whether the versions they were seen in are accepted.
    pub fn update<'a>(
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

    /// Returns when the host's current state was first seen, if the host is out.
    pub fn of(&self, host: &HostName) -> Option<Seen> {
        self.hosts.get(host).map(|(_, seen)| *seen)
    }
}
