//! The time from the answer to a cancellation to the last start of a task of its job.
//!
//! A cancellation that is not known yet would be missed. So the age of the copy of the jobs, by which a start is decided,
//! the permission of the entry host that sends it and the time limit of its call share one budget.

use fuchsiamill_model::units::Millisecond;

use crate::lateness::MAX_TIME_LIMIT_MS;

/// Left for the way of the last start to its worker.
const WAY_MS: Millisecond = 200;

/// No start is sent by an older copy of the jobs, however much time is left. A feed without faults keeps the copy within a
/// second.
const MAX_COPY_AGE_MS: Millisecond = 1_800;

/// The time that the platform allows between the answer to a cancellation and the last start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartBudget {
    ms: Millisecond,
}

impl StartBudget {
    /// A budget for starts that begin at most `cancel_ms` after the answer to a cancellation.
    pub fn new(cancel_ms: Millisecond) -> Self {
        Self { ms: cancel_ms.saturating_sub(WAY_MS) }
    }

    /// Returns whether a start may be sent by a copy of the jobs of this age: a call of the longest time limit still ends
    /// in time.
    pub fn allows(&self, age_ms: Millisecond) -> bool {
        age_ms <= MAX_COPY_AGE_MS && self.left_ms(age_ms) >= MAX_TIME_LIMIT_MS
    }

    /// Returns how long calls may take that start tasks by a copy of the jobs of this age.
    pub fn left_ms(&self, age_ms: Millisecond) -> Millisecond {
        self.ms.saturating_sub(age_ms)
    }
}
