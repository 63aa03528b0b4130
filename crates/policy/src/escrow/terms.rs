//! The time limits of loans and of grants.

use fuchsiamill_model::Millisecond;

const DRIFT_PERCENT: Millisecond = 2;

/// A wait on another host's clock: `span` with the margin for drift, in milliseconds.
pub fn with_drift(span: Millisecond) -> Millisecond {
    span + (span * DRIFT_PERCENT).div_ceil(100)
}

/// The time limits that every entry host of a site shares, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a borrower may start work on a loan, from the moment before it asked.
    pub loan: Millisecond,
    /// How long after it asked an entry host may still start granted work.
    pub start_by: Millisecond,
    /// The longest request deadline.
    pub deadline: Millisecond,
    /// The least time between two table writes of one holder.
    pub write_period: Millisecond,
    /// How long units stay unused before they are given back.
    pub idle: Millisecond,
}

impl Terms {
    /// How long units may still be in use after their holder gave its last grant or loan.
    pub fn outstanding(&self) -> Millisecond {
        with_drift(self.loan + self.start_by + self.deadline)
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self { loan: 5_000, start_by: 1_000, deadline: 30_000, write_period: 250, idle: 3_000 }
    }
}
