//! The time limits of the membership.

use fuchsiamill_model::Millisecond;

const PERCENT: u64 = 100;

/// The time limits of the membership; the same on every entry host of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The standing time: how long evidence of the newest configuration is valid.
    pub standing: Millisecond,
    /// The suspicion time: how long a host may be silent before the others leave it out of the view.
    pub suspect: Millisecond,
    /// The maximum drift between two clocks, in percent of the time that passes.
    pub drift_percent: u32,
}

impl Timing {
    /// Returns the time after which the standing time has passed on every other host's clock too.
    pub fn standing_with_drift(&self) -> Millisecond {
        self.with_drift(self.standing)
    }

    /// Adds to a span a margin for the drift of two clocks, and one millisecond for rounding.
    pub fn with_drift(&self, span: Millisecond) -> Millisecond {
        span + (2 * span * u64::from(self.drift_percent)).div_ceil(PERCENT) + 1
    }
}
