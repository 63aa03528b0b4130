//! The time limits of the membership.

use fuchsiamill_model::Millisecond;

const PERCENT: u64 = 100;

/// The time limits of the membership; the same on every entry host of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long evidence of the newest configuration is good for.
    pub standing: Millisecond,
    /// How long a host may be silent before the others leave it out of the view.
    pub suspect: Millisecond,
    /// How far two clocks may drift apart, in percent of the time that passes.
    pub drift_percent: u32,
}

impl Timing {
    /// How long to wait until the standing time has passed on any other host's clock.
    pub fn standing_with_drift(&self) -> Millisecond {
        self.with_drift(self.standing)
    }

    /// A span with the drift margin, both clocks drifting, and one millisecond for rounding.
    pub fn with_drift(&self, span: Millisecond) -> Millisecond {
        span + (2 * span * u64::from(self.drift_percent)).div_ceil(PERCENT) + 1
    }
}
