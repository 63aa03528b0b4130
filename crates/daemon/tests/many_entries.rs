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

/// Takes of all entry hosts are under way before the first one is made.
const SLOW_CHANGE: Duration = Duration::from_millis(400);

/// Every entry host has looked at the lease again within this time.
const LOOKED_AGAIN: Duration = Duration::from_millis(2_500);

/// An idle entry host has nothing to wait for; it may take 4 s when it has.
const STOP_TIME: Duration = Duration::from_secs(1);

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

/// A take that was not answered and that somebody else's overtook is over: it delays no stop.
#[test]
fn overtaken_take_delays_no_stop() {
    let fleet = Fleet::start_on(3, 2, |world| {
        world.rows.change_time = SLOW_CHANGE;
        world.rows.fault = StoreFault::LoseAnswers(100);
    });
    let leader = fleet.wait_coordinator();
    fleet.site.world().rows.fault = StoreFault::None;
    fleet.site.world().rows.change_time = Duration::ZERO;
    std::thread::sleep(LOOKED_AGAIN);
    for entry in (1..3).map(|it| &fleet.entries[(leader + it) % 3]) {
        let begin = Instant::now();
        entry.signal("TERM");
        entry.wait_end();
        let took = begin.elapsed();
        assert!(took <= STOP_TIME, "an idle entry host stopped within {took:?}");
    }
}
