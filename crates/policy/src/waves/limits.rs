//! Limits of a plan's work on hosts.

use fuchsiamill_model::Millisecond;

/// Time limits for each host, and the number of failures that stops a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after a host's draining is accepted until no earlier grant can start any more, in milliseconds.
    pub settle: Millisecond,
    /// How long a draining host may leave probes unanswered before it counts as failed, in milliseconds.
    pub unreachable: Millisecond,
    /// Upper limit for a restart, in milliseconds.
    pub reboot: Millisecond,
    /// Upper limit for the time until a host passes its health check, in milliseconds.
    pub check: Millisecond,
    /// How many hosts of a plan may fail; one more cancels the plan.
    pub max_failures: u32,
}
