//! How often claims may write to the table.

use fuchsiamill_model::{Millisecond, Moment};

const SECOND: Millisecond = 1_000;
const FIRST_BACKOFF: Millisecond = 50;
const MAX_BACKOFF: Millisecond = 2_000;

/// A token bucket of writes with a backoff while the table does not answer.
#[derive(Debug)]
pub struct Pace {
    writes_per_second: u64,
    burst: u64,
    millitokens: u64,
    refilled: Moment,
    failures: u32,
    not_before: Moment,
}

impl Pace {
    /// A full bucket. Both numbers must be above zero.
    pub fn new(writes_per_second: u32, burst: u32) -> Self {
        Self {
            writes_per_second: writes_per_second.into(),
            burst: burst.into(),
            millitokens: u64::from(burst) * SECOND,
            refilled: Moment::default(),
            failures: 0,
            not_before: Moment::default(),
        }
    }

    /// When the next write may start: `now` or later.
    pub fn next_write(&mut self, now: Moment) -> Moment {
        self.refill(now);
        let missing = SECOND.saturating_sub(self.millitokens);
        let refilled = now + missing.div_ceil(self.writes_per_second);
        refilled.max(self.not_before)
    }

    /// A write starts; `next_write` has allowed it.
    pub fn spend(&mut self, now: Moment) {
        self.refill(now);
        self.millitokens = self.millitokens.saturating_sub(SECOND);
    }

    /// The table answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// The table did not answer: waits longer after each failure, with jitter.
    pub fn failed(&mut self, now: Moment, rng: &mut fastrand::Rng) {
        let backoff = (FIRST_BACKOFF << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures += 1;
        self.not_before = now + rng.u64(backoff / 2..=backoff);
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.refilled).saturating_mul(self.writes_per_second);
        self.millitokens = self.millitokens.saturating_add(earned).min(self.burst * SECOND);
        self.refilled = self.refilled.max(now);
    }
}
