//! What callers are told while the store is silent, and what becomes of what they send meanwhile.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::fleet::{Fleet, Process, job};
use fuchsiamill_standin::fleet::StoreFault;

/// A store that answers nothing for this long is known to be silent.
const NOTICED: Duration = Duration::from_millis(2_500);

/// An answer that needs nothing of the store, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(300);

/// Tries of a caller, and how long it waits after a refusal.
const TRIES: usize = 4;

/// A refusal is known at once: the caller may try again, and nothing of it was stored.
#[test]
fn silent_store_refuses_at_once() {
    let fleet = Fleet::start(3, 2);
    fleet.accept(&job(50, &[1]), Duration::from_secs(20)).expect("accepted");
    fleet.site.world().rows.fault = StoreFault::Silent;
    thread::sleep(NOTICED);
    for (number, entry) in fleet.entries.iter().enumerate() {
        let begin = Instant::now();
        let answer = entry.post(&format!("00000000000000a{number}"), &job(50, &[1]));
        let (answer, took) = (answer.expect("an answer"), begin.elapsed());
        assert_eq!(answer.status.as_u16(), 503, "after {took:?}");
        assert!(took <= AT_ONCE, "{took:?}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    fleet.site.world().rows.fault = StoreFault::None;
    thread::sleep(Duration::from_secs(3));
    for number in 0..3 {
        assert_eq!(fleet.state(&format!("00000000000000a{number}")).as_deref(), Some("gone"));
    }
    fleet.check();
}

/// Callers that come within the last seconds of a silence are served after it, since their first tries were refused.
#[test]
fn callers_of_a_silence_are_served_after_it() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(&job(50, &[1]), Duration::from_secs(20)).expect("accepted");
    fleet.site.world().rows.fault = StoreFault::Silent;
    thread::sleep(NOTICED);
    let accepted = thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|it| {
                let entries = &fleet.entries;
                scope.spawn(move || post_with_retries(entries, it))
            })
            .collect();
        thread::sleep(Duration::from_millis(1_800));
        fleet.site.world().rows.fault = StoreFault::None;
        Vec::from_iter(callers.into_iter().filter_map(|it| it.join().expect("a caller ends")))
    });
    assert_eq!(accepted.len(), 12, "accepted: {accepted:?}");
    fleet.jobs.borrow_mut().extend(accepted);
    fleet.check();
}

/// Posts a job as callers do: again after a refusal that asks for it, not after an answer that leaves it open.
fn post_with_retries(entries: &[Process], number: usize) -> Option<String> {
    let id = format!("00000000000001{number:02}");
    for retry in 0..TRIES {
        let entry = &entries[(number + retry) % entries.len()];
        let answer = entry.post(&id, &job(50, &[2]))?;
        if answer.status.is_success() {
            return Some(id);
        }
        let after = answer.headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
        thread::sleep(Duration::from_secs(after));
    }
    None
}
