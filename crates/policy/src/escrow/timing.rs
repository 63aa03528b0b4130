//! Time limits of loans and grants.

use fuchsiamill_model::Millisecond;

/// The time limits of the escrow, in milliseconds. All entry hosts of a site use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EscrowTiming {
    /// How long a borrower may start work on a loan, counted from its request.
    pub loan: Millisecond,
    /// How long after its request an entry host may still start the granted work.
    pub start_by: Millisecond,
    /// The longest deadline that a request may have.
    pub deadline: Millisecond,
    /// The minimum time between two table writes of one holder; also between two reads, except after a
    /// conflict.
    pub write_interval: Millisecond,
    /// How long held units stay unused before the holder gives them back to the row.
    pub idle: Millisecond,
    /// How long borrowed units stay unused before the borrower returns them.
    pub idle_loan: Millisecond,
    /// How long a process may still assume that it has majority standing after it lost it.
    pub standing: Millisecond,
    /// The margin for clock drift, in percent, on periods that another host measures.
    pub drift_percent: u32,
}

impl EscrowTiming {
    /// Returns how long to wait until `span` has passed on another host's clock: `span` plus the margin for clock drift.
    pub fn with_drift(&self, span: Millisecond) -> Millisecond {
        span + (span * Millisecond::from(self.drift_percent)).div_ceil(100)
    }

    /// Returns how long units may still be in use after their holder gave its last grant or loan.
    pub fn outstanding(&self) -> Millisecond {
        self.with_drift(self.loan + self.start_by + self.deadline)
    }

    /// Returns how long after its process was seen to be gone a holding may be reclaimed.
    pub fn reclaim_after(&self) -> Millisecond {
        self.with_drift(self.standing + self.loan + self.start_by + self.deadline)
    }
}

impl Default for EscrowTiming {
    fn default() -> Self {
        Self {
            loan: 5_000,
            start_by: 1_000,
            deadline: 30_000,
            write_interval: 250,
            idle: 3_000,
            idle_loan: 300,
            standing: 2_000,
            drift_percent: 2,
        }
    }
}
