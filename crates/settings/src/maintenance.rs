//! Section `[maintenance]`: plans and waves.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

/// Plans and waves. All entry hosts of a site use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Maintenance {
    /// How long a plan can be confirmed.
    pub plan_valid_ms: Millisecond,
    /// How long a plan that is not being carried out is kept.
    pub plan_keep_ms: Millisecond,
    /// The time between two deletions of such plans, up to 20 each.
    pub purge_ms: Millisecond,
    /// The time between looks at a running plan.
    pub look_ms: Millisecond,
    /// How long the lease of a plan's runner lasts without renewal.
    pub lease_ms: Millisecond,
    /// How long a probe of a host may take.
    pub probe_ms: Millisecond,
    /// How long a draining host may leave probes unanswered before it is set aside.
    pub unreachable_ms: Millisecond,
    /// The longest restart before a host is set aside.
    pub restart_ms: Millisecond,
    /// The longest time until a host passes its checks before it is set aside.
    pub check_ms: Millisecond,
    /// The hosts that a plan may lose to failures before it stops.
    pub most_failures: u32,
    /// How long the host list must call a host leaving or gone before it counts as absent.
    pub absent_ms: Millisecond,
    /// How long the host list must call an absent host live before it serves again.
    pub back_ms: Millisecond,
    /// The most hosts of a pool that are taken out of service without a plan, in percent; 0 for none.
    pub absent_percent: u32,
    /// The time that draining a host is expected to take.
    pub expected_drain_ms: Millisecond,
    /// The time that a restart is expected to take.
    pub expected_restart_ms: Millisecond,
    /// The time that checks are expected to take.
    pub expected_check_ms: Millisecond,
}

impl TryFrom<Section<'_>> for Maintenance {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let maintenance = Self {
            plan_valid_ms: section.number("plan-valid-ms", 600_000, 1_000..=86_400_000)?,
            plan_keep_ms: section.number("plan-keep-ms", 604_800_000, 1_000..=31_536_000_000)?,
            purge_ms: section.number("purge-ms", 60_000, 10..=3_600_000)?,
            look_ms: section.number("look-ms", 500, 10..=60_000)?,
            lease_ms: section.number("lease-ms", 5_000, 100..=600_000)?,
            probe_ms: section.number("probe-ms", 1_000, 10..=60_000)?,
            unreachable_ms: section.number("unreachable-ms", 60_000, 100..=3_600_000)?,
            restart_ms: section.number("restart-ms", 600_000, 100..=86_400_000)?,
            check_ms: section.number("check-ms", 60_000, 100..=3_600_000)?,
            most_failures: section.number("most-failures", 2, 0..=10_000)?,
            absent_ms: section.number("absent-ms", 15_000, 100..=3_600_000)?,
            back_ms: section.number("back-ms", 30_000, 100..=3_600_000)?,
            absent_percent: section.number("absent-percent", 30, 0..=100)?,
            expected_drain_ms: section.number("expected-drain-ms", 30_000, 0..=3_600_000)?,
            expected_restart_ms: section.number("expected-restart-ms", 180_000, 0..=3_600_000)?,
            expected_check_ms: section.number("expected-check-ms", 10_000, 0..=3_600_000)?,
        };
        section.finish()?;
        Ok(maintenance)
    }
}
