//! Many entry hosts that start at once beside a store that makes few changes a second.

mod common;

use std::time::{Duration, Instant};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_standin::fleet::{StoreFault, World};

/// Entry hosts: enough that a change by each keeps one part of the store busy for more than a second.
const ENTRIES: usize = 48;

/// How long a change keeps its part of the store busy.
const CHANGE_TIME: Duration = Duration::from_millis(30);

/// Work is served again within this time after all processes were started.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

#[test]
fn crowd_finds_its_coordinator() {
    let fleet = Fleet::start_on(ENTRIES, 4, |world| world.rows.change_time = CHANGE_TIME);
    for _ in 0..2 {
        let begin = Instant::now();
        let before = fleet.site.world().runs.len();
        fleet.accept(&job(100, &[2]), RECOVERY_TIME).expect("accepted");
        wait_until("its tasks start", || fleet.site.world().runs.len() > before);
        let took = begin.elapsed();
        assert!(took <= RECOVERY_TIME, "the first start took {took:?}");
        fleet.entries.iter().for_each(|it| it.replace(false));
    }
    fleet.check();
}

/// The lease was taken, and no answer told so: its holder goes on with it.
#[test]
fn lease_of_unanswered_take_is_used() {
    let silent_changes = |world: &mut World| world.rows.fault = StoreFault::LoseAnswers(100);
    let fleet = Fleet::start_on(2, 2, silent_changes);
    wait_until("somebody takes the lease", || fleet.coordinator().is_some());
    fleet.site.world().rows.fault = StoreFault::None;
    fleet.accept(&job(100, &[1]), RECOVERY_TIME).expect("accepted");
    fleet.check();
    let lease = fleet.site.world().rows.value("coordinator", "", "lease").expect("a lease");
    assert_eq!(lease["term"], 1);
}
