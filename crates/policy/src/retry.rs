//! Decides whether and when a request is retried.
//!
//! Every retry is paid from a budget that new requests fill, is delayed with jitter, and never starts
//! past the caller's deadline. Idempotent work may be retried after any failure; non-idempotent work
//! only if no byte of it can have been sent.

use fuchsiamill_model::{Millisecond, Moment, RunState};

/// The cost of one retry, so that a part of a retry can be earned per request.
const MILLITOKENS_PER_RETRY: u64 = 1_000;
/// The upper bound of every delay.
const MAX_DELAY: Millisecond = 1_000;

/// Whether a request may run twice without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run twice.
    Idempotent,
    /// The request must not run twice.
    NonIdempotent,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent: the connection was refused or could not be opened.
    NotSent,
    /// The backend server answered that it did not run the request.
    SaidNotRun,
    /// The request was sent and no complete answer came; it may have run.
    MaybeRan,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this time, in milliseconds.
    RetryAfter(Millisecond),
    /// Report the failure to the caller, with whether any attempt may have run.
    GiveUp(RunState),
}

/// Limits of retries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Retries for each thousand new requests, in the long run.
    pub per_mille: u32,
    /// The capacity of the budget: retries allowed at once after a quiet period.
    pub burst: u32,
    /// Attempts of one request, including the first.
    pub max_attempts: u32,
    /// The longest delay before the first retry, in milliseconds; it doubles with each further retry.
    pub max_first_delay: Millisecond,
    /// The minimum time left before the deadline when an attempt begins, in milliseconds.
    pub min_time_left: Millisecond,
}

/// The retries that all requests of one process may still make.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    millitokens: u64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, millitokens: u64::from(bounds.burst) * MILLITOKENS_PER_RETRY }
    }

    /// Adds the part of a retry that one new request earns, up to the capacity.
    pub fn earn(&mut self) {
        let full = u64::from(self.bounds.burst) * MILLITOKENS_PER_RETRY;
        self.millitokens = (self.millitokens + u64::from(self.bounds.per_mille)).min(full);
    }

    fn spend(&mut self) -> TokenResult {
        if self.millitokens < MILLITOKENS_PER_RETRY {
            return TokenResult::Exhausted;
        }
        self.millitokens -= MILLITOKENS_PER_RETRY;
        TokenResult::Taken
    }
}

enum TokenResult {
    Taken,
    Exhausted,
}

/// The failed attempts of one request and what is known of them.
#[derive(Debug)]
pub struct RetryState {
    idempotency: Idempotency,
    deadline: Moment,
    failures: u32,
    run: RunState,
}

impl RetryState {
    /// Creates the state of a request that was not attempted yet.
    pub fn new(idempotency: Idempotency, deadline: Moment) -> Self {
        Self { idempotency, deadline, failures: 0, run: RunState::NotRun }
    }

    /// Returns whether any attempt may have run.
    pub fn run(&self) -> RunState {
        self.run
    }

    /// Records a failed attempt and decides what to do next.
    pub fn record_failure(
        &mut self,
        now: Moment,
        failure: Failure,
        budget: &mut Budget,
        rng: &mut fastrand::Rng,
    ) -> RetryDecision {
        self.failures += 1;
        if failure == Failure::MaybeRan {
            self.run = RunState::Unknown;
        }
        if !self.may_repeat(failure) || self.failures >= budget.bounds.max_attempts {
            return RetryDecision::GiveUp(self.run);
        }
        let delay = jittered_delay(budget.bounds.max_first_delay, self.failures, rng);
        if now + delay + budget.bounds.min_time_left > self.deadline {
            return RetryDecision::GiveUp(self.run);
        }
        match budget.spend() {
            TokenResult::Taken => RetryDecision::RetryAfter(delay),
            TokenResult::Exhausted => RetryDecision::GiveUp(self.run),
        }
    }

    fn may_repeat(&self, failure: Failure) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => failure == Failure::NotSent,
        }
    }
}

/// Returns a delay with full jitter: from 0 to a bound that doubles with each failure, up to [`MAX_DELAY`].
fn jittered_delay(first: Millisecond, failures: u32, rng: &mut fastrand::Rng) -> Millisecond {
    let doublings = (failures - 1).min(16);
    rng.u64(0..=(first << doublings).min(MAX_DELAY))
}
