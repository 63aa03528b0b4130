//! Whether this host may serve: whether its evidence of the newest configuration is recent enough.

use fuchsiamill_model::{Moment, Version};

use super::Membership;

/// Whether a host may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The host may serve.
    Serving,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host has heard of a newer configuration than it has applied.
    Behind,
    /// The host's evidence of the newest configuration is older than the standing time.
    Stale,
}

impl Standing {
    /// Returns why the host may not serve; `None` when it may.
    pub fn refusal(self) -> Option<&'static str> {
        match self {
            Standing::Serving => None,
            Standing::NoConfiguration => Some("This entry host knows no configuration yet."),
            Standing::Behind => {
                Some("This entry host has not applied the newest configuration yet.")
            }
            Standing::Stale => Some("This entry host cannot be sure of the newest configuration."),
        }
    }
}

impl Membership {
    /// Returns whether this host may serve at `now`.
    pub fn standing(&self, now: Moment) -> Standing {
        if self.version == Version::default() {
            return Standing::NoConfiguration;
        }
        if self.version < self.heard_version {
            return Standing::Behind;
        }
        if self.is_fresh(now, self.table_read) || self.has_majority(now) {
            Standing::Serving
        } else {
            Standing::Stale
        }
    }

    /// Returns whether a majority of the hosts on record supports this host at `now`, itself included if it counts.
    pub(super) fn has_majority(&self, now: Moment) -> bool {
        let own = usize::from(self.record.contains(&self.me) && self.mode(now).counts());
        let supports = |peer: &super::Peer| self.is_fresh(now, peer.support);
        let others = self
            .record
            .iter()
            .filter_map(|name| self.peers.get(name))
            .filter(|it| supports(it))
            .count();
        own + others >= self.majority()
    }

    fn is_fresh(&self, now: Moment, evidence: Option<Moment>) -> bool {
        evidence.is_some_and(|at| now.since(at) < self.timing.standing)
    }
}
