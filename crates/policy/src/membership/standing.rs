//! Whether this host may serve: whether its evidence of the newest configuration is fresh enough.

use fuchsiamill_model::{Moment, Version};

use super::Membership;

/// Whether a host may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Serving,
    /// It knows no configuration yet.
    NoConfiguration,
    /// It has heard of a newer configuration than it has applied.
    Behind,
    /// Its evidence is older than the standing time.
    Stale,
}

impl Standing {
    /// Why it may not serve, if so.
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
    /// Whether this host may serve at `now`.
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

    /// Whether a majority of the record, this host included when it counts, supports it at `now`.
    pub(super) fn has_majority(&self, now: Moment) -> bool {
        let me = usize::from(self.record.contains(&self.me) && self.mode(now).counts());
        let supporting = |peer: &super::Peer| self.is_fresh(now, peer.support);
        let others = self
            .record
            .iter()
            .filter_map(|name| self.peers.get(name))
            .filter(|it| supporting(it))
            .count();
        me + others >= self.majority()
    }

    fn is_fresh(&self, now: Moment, evidence: Option<Moment>) -> bool {
        evidence.is_some_and(|at| now.since(at) < self.timing.standing)
    }
}
