//! Retries stay within their budget and deadline, and never repeat non-idempotent work that may have run.

use fuchsiamill_model::{Moment, RunState};
use fuchsiamill_policy::retry::{Bounds, Budget, Failure, Idempotency, RetryDecision, RetryState};
use quickcheck::{Gen, QuickCheck, Testable};

const BOUNDS: Bounds =
    Bounds { per_mille: 100, burst: 10, max_attempts: 3, max_first_delay: 50, min_time_left: 20 };

fn check<T: Testable>(property: T) {
    let seed = 0x4e7;
    println!("generator seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(64, seed)).tests(300).quickcheck(property);
}

fn failure(number: u8) -> Failure {
    match number % 3 {
        0 => Failure::NotSent,
        1 => Failure::SaidNotRun,
        _ => Failure::MaybeRan,
    }
}

/// Returns the number of sends when every attempt of `requests` requests fails.
fn sends_during_outage(requests: u64, bounds: Bounds) -> u64 {
    let mut budget = Budget::new(bounds);
    let mut rng = fastrand::Rng::with_seed(requests);
    let mut sends = 0;
    for at in 0..requests {
        budget.earn();
        let mut state = RetryState::new(Idempotency::Idempotent, Moment(at + 10_000));
        sends += 1;
        while let RetryDecision::RetryAfter(_) =
            state.record_failure(Moment(at), Failure::SaidNotRun, &mut budget, &mut rng)
        {
            sends += 1;
        }
    }
    sends
}

#[test]
fn retries_do_not_amplify_an_outage() {
    fn property(requests: u16, per_mille: u8, burst: u8) -> bool {
        let bounds = Bounds { per_mille: per_mille.into(), burst: burst.into(), ..BOUNDS };
        let requests = u64::from(requests);
        let most = requests + requests * u64::from(per_mille) / 1_000 + u64::from(burst);
        sends_during_outage(requests, bounds) <= most
    }
    check(property as fn(u16, u8, u8) -> bool);
}

#[test]
fn budget_allows_the_configured_rate_of_retries() {
    let sends = sends_during_outage(10_000, BOUNDS);
    assert!(sends > 10_900, "{sends} sends for 10000 requests: the budget allows too few");
}

#[test]
fn no_attempt_begins_near_or_past_the_deadline() {
    fn property(seed: u64, left: u16, failures: Vec<u8>) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(Bounds { max_attempts: 100, burst: 1_000, ..BOUNDS });
        let deadline = Moment(u64::from(left));
        let mut state = RetryState::new(Idempotency::Idempotent, deadline);
        let mut now = Moment(0);
        for it in failures {
            match state.record_failure(now, failure(it), &mut budget, &mut rng) {
                RetryDecision::RetryAfter(delay) => now = now + delay,
                RetryDecision::GiveUp(_) => return true,
            }
            if now + BOUNDS.min_time_left > deadline {
                return false;
            }
        }
        true
    }
    check(property as fn(u64, u16, Vec<u8>) -> bool);
}

#[test]
fn non_idempotent_work_is_retried_only_if_no_byte_was_sent() {
    fn property(seed: u64, failures: Vec<u8>) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(Bounds { max_attempts: 100, burst: 1_000, ..BOUNDS });
        let mut state = RetryState::new(Idempotency::NonIdempotent, Moment(1_000_000));
        failures.into_iter().map(failure).all(|it| {
            let next = state.record_failure(Moment(0), it, &mut budget, &mut rng);
            it == Failure::NotSent || matches!(next, RetryDecision::GiveUp(_))
        })
    }
    check(property as fn(u64, Vec<u8>) -> bool);
}

#[test]
fn attempt_that_may_have_run_is_remembered() {
    fn property(seed: u64, failures: Vec<u8>) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(BOUNDS);
        let mut state = RetryState::new(Idempotency::Idempotent, Moment(1_000_000));
        let mut maybe_ran = RunState::NotRun;
        for it in failures.into_iter().map(failure) {
            if it == Failure::MaybeRan {
                maybe_ran = RunState::Unknown;
            }
            let next = state.record_failure(Moment(0), it, &mut budget, &mut rng);
            if let RetryDecision::GiveUp(run) = next {
                return run == maybe_ran;
            }
        }
        true
    }
    check(property as fn(u64, Vec<u8>) -> bool);
}
