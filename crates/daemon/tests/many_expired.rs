//! Jobs that are over are dropped after a while, whatever their number.

mod common;

use std::{thread, time::Duration};

use common::fleet::{Fleet, job};

const PATIENCE: Duration = Duration::from_secs(20);

/// `status-s` of one second, the minute that is added to it, and some more.
const KEPT: Duration = Duration::from_secs(69);

/// More than fit into one change of the store.
const JOBS: usize = 150;

/// A coordinator counts from its takeover for all jobs that are over by then: their rows are due at once.
#[test]
fn jobs_that_expire_together_block_all_changes() {
    let fleet = Fleet::start_with(2, 4, "status-s = 1\n", |_| {});
    for _ in 0..JOBS {
        fleet.accept(&job(20, &[1]), PATIENCE).expect("accepted");
    }
    fleet.check();
    let leader = fleet.wait_coordinator();
    fleet.entries[leader].replace(false);
    fleet.wait_ready();
    thread::sleep(KEPT);
    let id = fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
    fleet.wait_state(&id, "completed");
}
