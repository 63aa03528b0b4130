//! Starts keep up with what is posted while the store takes long to answer.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::fleet::{Fleet, Process, job};
use fuchsiamill_standin::fleet::StoreFault;

/// How long one transaction takes.
const TRANSACTION_MS: u64 = 140;

const POSTING_TIME: Duration = Duration::from_secs(4);

/// Callers that post one job after another; each post takes at least one transaction.
const CALLERS: usize = 12;

/// Tasks of a job.
const TASKS: u32 = 12;

/// A start follows its post by a few transactions.
const START_TIME: Duration = Duration::from_secs(1);

/// The part of the posted tasks that has to have started by then.
const MIN_STARTED: f64 = 0.8;

/// Posts jobs until the time is over; returns how many were accepted.
fn post_jobs(entry: &Process) -> usize {
    let until = Instant::now() + POSTING_TIME;
    let mut accepted = 0;
    while Instant::now() < until {
        let id = format!("{:016x}", fastrand::u64(..));
        let answer = entry.post(&id, &job(50, &[TASKS]));
        accepted += usize::from(answer.is_some_and(|it| it.status.is_success()));
    }
    accepted
}

/// Returns the part of the posted tasks that has started.
fn started(fault: StoreFault) -> f64 {
    let fleet = Fleet::start(3, 16);
    fleet.accept(&job(50, &[TASKS]), POSTING_TIME).expect("accepted");
    fleet.site.world().rows.fault = fault;
    let entries = &fleet.entries;
    let accepted: usize = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|it| scope.spawn(move || post_jobs(&entries[it % entries.len()])))
            .collect();
        callers.into_iter().map(|it| it.join().expect("a caller")).sum()
    });
    thread::sleep(START_TIME);
    let started = fleet.site.world().runs.len();
    started as f64 / (accepted as f64 * f64::from(TASKS))
}

/// Tests that fail because of a known fault, see KNOWN-RED.txt.
mod known_red {
    use super::*;

    /// The starts that are placed for one transaction were as few as may be under way at once.
    #[test]
    fn slow_store_does_not_hold_starts_back() {
        let started = started(StoreFault::Slow(TRANSACTION_MS));
        assert!(started >= MIN_STARTED, "{started:.2} of the posted tasks have started");
    }
}
