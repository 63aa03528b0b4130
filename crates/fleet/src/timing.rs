//! Bounds that a site agrees on, in one place.

use fuchsiamill_model::units::Millisecond;

/// Time limits of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long what runs on a worker may go on without a renewal.
    pub lease_ms: Millisecond,
    /// How long a host takes to change its pool.
    pub move_ms: Millisecond,
    /// How long maintenance of a host takes.
    pub maintenance_ms: Millisecond,
    /// How long ago another holder of the lease may have given orders to a host.
    pub holder_change_ms: Millisecond,
    /// How long a former coordinator may go on renewing leases after its last confirmed write.
    pub renewal_ms: Millisecond,
    /// How long a job that is over is kept.
    pub retention_ms: Millisecond,
    /// How long after it was given an order to a host may be carried out, where its answer was lost.
    pub late_order_ms: Millisecond,
    /// How long a task takes far from its data, in per cent of what it takes near it.
    pub far_percent: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            move_ms: 1_500,
            maintenance_ms: 2_000,
            holder_change_ms: 3_000,
            renewal_ms: 12_000,
            retention_ms: 180_000,
            late_order_ms: 0,
            far_percent: 150,
        }
    }
}

/// Added to every wait on another machine's clock, as a divisor: 1/50 is 2 %.
const DRIFT_DIVISOR: Millisecond = 50;

/// Covers the rounding of times to whole milliseconds and one scheduling delay.
const WAIT_SLACK_MS: Millisecond = 50;

/// A time after which a span of `ms` has surely passed on a clock that runs 2 % slow.
pub fn with_drift(ms: Millisecond) -> Millisecond {
    ms + ms / DRIFT_DIVISOR + WAIT_SLACK_MS
}
