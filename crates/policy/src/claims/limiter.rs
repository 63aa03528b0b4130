//! Rate limit and backoff for the table writes of claims.

use fuchsiamill_model::{Millisecond, Moment};

const SECOND: Millisecond = 1_000;
const FIRST_BACKOFF: Millisecond = 50;
const MAX_BACKOFF: Millisecond = 2_000;

/// A token bucket for writes, with an exponential backoff while the table does not answer.
///
/// It counts thousandths of a token, so that a refill after any number of milliseconds is exact.
#[derive(Debug)]
pub struct WriteLimiter {
    writes_per_second: u64,
    burst: u64,
    millitokens: u64,
    refilled_at: Moment,
    failures: u32,
    not_before: Moment,
}

impl WriteLimiter {
    /// Creates a full bucket. Both numbers must be above zero.
    pub fn new(writes_per_second: u32, burst: u32) -> Self {
        Self {
            writes_per_second: writes_per_second.into(),
            burst: burst.into(),
            millitokens: u64::from(burst) * SECOND,
            refilled_at: Moment::default(),
            failures: 0,
            not_before: Moment::default(),
        }
    }

    /// Returns when the next write may start: `now` or later.
    pub fn next_write(&mut self, now: Moment) -> Moment {
        self.refill(now);
        let missing = SECOND.saturating_sub(self.millitokens);
        let refilled = now + missing.div_ceil(self.writes_per_second);
        refilled.max(self.not_before)
    }

    /// Takes a token for a write that `next_write` has allowed.
    pub fn spend(&mut self, now: Moment) {
        self.refill(now);
        self.millitokens = self.millitokens.saturating_sub(SECOND);
    }

    /// Resets the backoff after an answer of the table.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Delays the next write after a failure; the delay doubles with each failure and has jitter.
    pub fn failed(&mut self, now: Moment, rng: &mut fastrand::Rng) {
        let backoff = (FIRST_BACKOFF << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures += 1;
        self.not_before = now + rng.u64(backoff / 2..=backoff);
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.refilled_at).saturating_mul(self.writes_per_second);
        self.millitokens = self.millitokens.saturating_add(earned).min(self.burst * SECOND);
        self.refilled_at = self.refilled_at.max(now);
    }
}
