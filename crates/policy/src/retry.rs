//! Whether and when a request is sent again.
//!
//! Idempotent work is sent again only where a budget, earned by fresh requests, allows it, with
//! jitter and never past the caller's deadline. Non-idempotent work is sent again only when no
//! byte of it can have left.

use fuchsiamill_model::{Millisecond, Moment, RunState};

const MILLI: u64 = 1_000;
const MAX_PAUSE: Millisecond = 1_000;

/// Whether a request may run twice without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// It may not.
    NonIdempotent,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte left: the connection was refused or could not be opened.
    NotSent,
    /// The backend server said that it did not run it.
    SaidNotRun,
    /// It was sent and no whole answer came; it may have run.
    MaybeRan,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time.
    RetryAfter(Millisecond),
    /// Tell the caller, with what is known of all tries.
    GiveUp(RunState),
}

/// Bounds of retries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Retries for each thousand fresh requests over a longer time.
    pub per_mille: u32,
    /// Retries allowed at once after a quiet time.
    pub burst: u32,
    /// Tries of one request, the first included.
    pub max_attempts: u32,
    /// The longest pause before the first retry; it doubles with each further one.
    pub max_first_delay: Millisecond,
    /// The least time that must be left before the deadline when a try begins.
    pub min_time_left: Millisecond,
}

/// The retries that all requests of one process may still make.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    millitokens: u64,
}

impl Budget {
    /// A full budget.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, millitokens: u64::from(bounds.burst) * MILLI }
    }

    /// A fresh request earns a part of a retry.
    pub fn earn(&mut self) {
        let full = u64::from(self.bounds.burst) * MILLI;
        self.millitokens = (self.millitokens + u64::from(self.bounds.per_mille)).min(full);
    }

    fn spend(&mut self) -> Spent {
        if self.millitokens < MILLI {
            return Spent::Empty;
        }
        self.millitokens -= MILLI;
        Spent::Yes
    }
}

enum Spent {
    Yes,
    Empty,
}

/// The tries of one request.
#[derive(Debug)]
pub struct RetryState {
    idempotency: Idempotency,
    deadline: Moment,
    failed: u32,
    run: RunState,
}

impl RetryState {
    /// A request that was not tried yet.
    pub fn new(idempotency: Idempotency, deadline: Moment) -> Self {
        Self { idempotency, deadline, failed: 0, run: RunState::NotRun }
    }

    /// Whether any try may have run.
    pub fn run(&self) -> RunState {
        self.run
    }

    /// Decides after a failed try.
    pub fn record_failure(
        &mut self,
        now: Moment,
        failure: Failure,
        budget: &mut Budget,
        rng: &mut fastrand::Rng,
    ) -> RetryDecision {
        self.failed += 1;
        if failure == Failure::MaybeRan {
            self.run = RunState::Unknown;
        }
        if !self.may_repeat(failure) || self.failed >= budget.bounds.max_attempts {
            return RetryDecision::GiveUp(self.run);
        }
        let pause = jittered(budget.bounds.max_first_delay, self.failed, rng);
        if now + pause + budget.bounds.min_time_left > self.deadline {
            return RetryDecision::GiveUp(self.run);
        }
        match budget.spend() {
            Spent::Yes => RetryDecision::RetryAfter(pause),
            Spent::Empty => RetryDecision::GiveUp(self.run),
        }
    }

    fn may_repeat(&self, failure: Failure) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => failure == Failure::NotSent,
        }
    }
}

/// Full jitter: anywhere from nothing to an exponentially growing pause.
fn jittered(first: Millisecond, failed: u32, rng: &mut fastrand::Rng) -> Millisecond {
    let doublings = (failed - 1).min(16);
    rng.u64(0..=(first << doublings).min(MAX_PAUSE))
}
