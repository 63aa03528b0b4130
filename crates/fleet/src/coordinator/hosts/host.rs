//! A host and its order.

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::{HostInfo, HostState, Name, Timing};

/// A host and the order that it has, if any.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host's last entry in the host list. The state is `Down` while the host is missing from the list.
    pub seen: HostInfo,
    /// The order that is not known to be completed, if any.
    pub duty: Option<PendingDuty>,
    /// When its state, pool or worker last changed.
    pub up_since: Moment,
    /// The worker that was listed on it before, if it has another one or none now.
    pub former_worker: Option<Name>,
    /// Since when the host has been down or missing from the list; `None` otherwise.
    pub away_since: Option<Moment>,
}

/// An order to a host that is not known to be completed.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingDuty {
    /// What the host is ordered to do.
    pub duty: Duty,
    /// When the order was first given.
    pub begun: Moment,
    /// When the order was last given.
    pub since: Moment,
    /// When the order was confirmed; `None` before that.
    pub confirmed: Option<Moment>,
    /// Whether the order was released to be sent at least once.
    pub is_sent: bool,
    /// Calls with this order that are not answered yet; each of them may still be carried out.
    pub calls: u32,
}

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Move to another pool.
    Move {
        /// The target pool.
        pool: Name,
    },
    /// Undergo maintenance.
    Maintain {
        /// The number of the wave that requests it.
        wave: u64,
    },
}

/// The reply to an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReply {
    /// The order is carried out.
    Done,
    /// The order is not carried out.
    Refused,
    /// The order may be carried out.
    Unknown,
}

/// A host that is away this long is considered lost: crashed hosts are restarted sooner.
pub(super) const LOST_MS: Millisecond = 15_000;

/// How much longer than it takes an order may be under way until its host is no longer counted on. Orders are repeated after 1.5 s,
/// and the list of hosts is up to a second old.
const DUTY_LATE_MS: Millisecond = 3_000;

impl Host {
    pub(super) fn new(seen: &HostInfo, now: Moment) -> Self {
        Self {
            seen: seen.clone(),
            duty: None,
            up_since: now,
            former_worker: None,
            away_since: None,
        }
    }

    pub(super) fn update(&mut self, seen: HostInfo, now: Moment) {
        let is_same = seen.state == self.seen.state
            && seen.pool == self.seen.pool
            && seen.worker == self.seen.worker;
        if !is_same {
            self.up_since = now;
        }
        if seen.worker != self.seen.worker {
            let former = self.seen.worker.take().or(self.former_worker.take());
            self.former_worker = former.filter(|it| seen.worker.as_ref() != Some(it));
        }
        match seen.state {
            HostState::Down => {
                self.away_since.get_or_insert(now);
            }
            _ => self.away_since = None,
        }
        self.seen = seen;
    }

    /// Returns whether it has an order that should have been carried out by now.
    pub(in crate::coordinator) fn is_late(&self, now: Moment, timing: &Timing) -> bool {
        let Some(pending) = &self.duty else { return false };
        let takes = match pending.duty {
            Duty::Move { .. } => timing.move_ms,
            Duty::Maintain { .. } => timing.maintenance_ms,
        };
        now.since(pending.begun) > takes + DUTY_LATE_MS
    }

    /// Returns whether the host has been away for so long that it is considered lost.
    pub(super) fn is_lost(&self, now: Moment) -> bool {
        self.away_since.is_some_and(|since| now.since(since) >= LOST_MS)
    }
}
