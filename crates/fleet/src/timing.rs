//! Time limits on which the processes of a site have to agree.

use fuchsiamill_model::units::Millisecond;

/// Time limits and durations of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Lease of the runs on a worker: a run ends if it is not renewed for this long.
    pub lease_ms: Millisecond,
    /// The longest lease that a worker grants, whatever an order names.
    pub longest_lease_ms: Millisecond,
    /// Time that a host takes to change its pool.
    pub move_ms: Millisecond,
    /// Time that the maintenance of a host takes.
    pub maintenance_ms: Millisecond,
    /// Longest time for which orders to hosts from the former holder of the coordinator lease have to be expected.
    pub holder_change_ms: Millisecond,
    /// Longest time from the answer to a cancellation to the last start of a task of its job.
    pub cancel_ms: Millisecond,
    /// Time after its last confirmed write for which a former coordinator may go on renewing the leases of runs.
    pub renewal_ms: Millisecond,
    /// Time for which the record of a finished job is kept.
    pub retention_ms: Millisecond,
    /// Longest delay with which an order to a host may be carried out if its answer was lost.
    pub late_order_ms: Millisecond,
    /// Run time of a task far from its data, as a percentage of its run time near the data.
    pub far_percent: u64,
    /// Whether pools are sized by whole tasks on whole hosts, and long-running tasks are kept together.
    pub demand_pools: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            longest_lease_ms: 10_000,
            move_ms: 1_500,
            maintenance_ms: 2_000,
            holder_change_ms: 3_000,
            cancel_ms: 3_000,
            renewal_ms: 12_000,
            retention_ms: 180_000,
            late_order_ms: 0,
            far_percent: 150,
            demand_pools: false,
        }
    }
}

/// Clock drift added to every wait that another machine's clock measures, as a divisor: 1/50 is 2 %.
const DRIFT_DIVISOR: Millisecond = 50;

/// Slack for the rounding of times to whole milliseconds and for one scheduling delay.
const WAIT_SLACK_MS: Millisecond = 50;

/// Returns a duration after which `ms` have certainly passed on another machine's clock that runs 2 % slow.
pub fn with_drift(ms: Millisecond) -> Millisecond {
    ms + ms / DRIFT_DIVISOR + WAIT_SLACK_MS
}

/// Returns how much another machine's clock, which may run 2 % slow, has certainly counted while `ms` passed.
pub fn elapsed_at_least(ms: Millisecond) -> Millisecond {
    ms - ms.div_ceil(DRIFT_DIVISOR)
}

/// Returns how much has certainly passed here or elsewhere while the other clock, which may differ by 2 %, counted `ms`.
pub fn without_drift(ms: Millisecond) -> Millisecond {
    (2 * ms).saturating_sub(with_drift(ms))
}
