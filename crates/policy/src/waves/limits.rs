//! Time limits of work on one host.

use fuchsiamill_model::Millisecond;

/// Time limits of work on one host, and when a wave stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// From the acceptance of a draining until no grant of before can start any more, in milliseconds.
    pub settle: Millisecond,
    /// How long a draining host may leave probes unanswered, in milliseconds.
    pub unreachable: Millisecond,
    /// The longest restart, in milliseconds.
    pub reboot: Millisecond,
    /// The longest time until the checks pass, in milliseconds.
    pub check: Millisecond,
    /// The hosts that a plan may lose to failures; with one more it stops.
    pub max_failures: u32,
}
