//! A coordinator that stood still or was cut off doesn't take its lease for granted.

use fuchsiamill_fleet::Tenure;
use fuchsiamill_model::units::{Millisecond, Moment};

/// The time without a write after which another process takes the lease.
const SILENCE_MS: Millisecond = 600;

/// When the last confirmed transaction was begun.
const BEGUN: Moment = Moment(1_000_000);

fn after(ms: Millisecond) -> Tenure {
    Tenure::at(Some(BEGUN), SILENCE_MS, BEGUN + ms)
}

#[test]
fn lease_is_known_to_be_held_between_renewals() {
    assert_eq!(after(0), Tenure::Held);
    assert_eq!(after(SILENCE_MS / 2), Tenure::Held);
    assert_eq!(after(SILENCE_MS * 4 / 5), Tenure::Held);
}

/// The clock of the other process may be fast.
#[test]
fn lease_is_not_known_to_be_held_once_another_process_may_take_it() {
    for ms in [SILENCE_MS - SILENCE_MS / 50, SILENCE_MS, 2 * SILENCE_MS, 10 * SILENCE_MS] {
        assert_eq!(after(ms), Tenure::Unknown, "after {ms} ms");
    }
}

#[test]
fn lease_is_not_known_to_be_held_before_the_first_confirmation() {
    assert_eq!(Tenure::at(None, SILENCE_MS, BEGUN), Tenure::Unknown);
}
