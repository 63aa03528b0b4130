//! The time limits of loans and of grants.

use fuchsiamill_model::Millisecond;

/// The time limits that every entry host of a site shares, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EscrowTiming {
    /// How long a borrower may start work on a loan, from the moment before it asked.
    pub loan: Millisecond,
    /// How long after it asked an entry host may still start granted work.
    pub start_by: Millisecond,
    /// The longest request deadline.
    pub deadline: Millisecond,
    /// The least time between two table writes of one holder.
    pub write_interval: Millisecond,
    /// How long units of the table stay unused before they are given back.
    pub idle: Millisecond,
    /// How long units on loan stay unused before they are given back.
    pub idle_loan: Millisecond,
    /// How long a process may think that it has standing after it lost it.
    pub standing: Millisecond,
    /// The margin on waits by another host's clock, in percent.
    pub drift_percent: u32,
}

impl EscrowTiming {
    /// A wait on another host's clock: `span` with the margin for drift, in milliseconds.
    pub fn with_drift(&self, span: Millisecond) -> Millisecond {
        span + (span * Millisecond::from(self.drift_percent)).div_ceil(100)
    }

    /// How long units may still be in use after their holder gave its last grant or loan.
    pub fn outstanding(&self) -> Millisecond {
        self.with_drift(self.loan + self.start_by + self.deadline)
    }

    /// How long after its process was seen to be gone a holding is reclaimed.
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
