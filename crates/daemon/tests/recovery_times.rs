//! How soon work starts again after the coordinator, or every entry host, is lost. Each test prints what it measured.

mod common;

use std::time::{Duration, Instant};

use common::fleet::{Fleet, job};
use fuchsiamill_standin::{admin::RouteFault, fleet::StoreFault};

/// Urgent work starts within this time, also while the coordinator is replaced.
const START_TIME: Duration = Duration::from_millis(2_700);

/// Work is served again within this time after all processes were lost.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Longer than any answer: the test judges by the times above.
const PATIENCE: Duration = Duration::from_secs(20);

/// Losses of each kind.
const ROUNDS: usize = 6;

/// Posts a job and gives the time from `begin` until its first task starts.
fn first_start(fleet: &Fleet, begin: Instant) -> Duration {
    let id = fleet.accept(&job(100, &[2]), PATIENCE).expect("accepted");
    fleet.wait_start(&id);
    begin.elapsed()
}

/// Measures losses of one kind; `lose` is told the round.
fn measure(fleet: &Fleet, what: &str, bound: Duration, lose: impl Fn(usize) -> Duration) {
    let mut times: Vec<Duration> = (0..ROUNDS).map(lose).collect();
    fleet.check();
    times.sort();
    let (middle, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{what}: {} times, middle {middle:.2?}, longest {longest:.2?}", times.len());
    assert!(longest <= bound, "{what} took {longest:?} of {bound:?}");
}

#[test]
fn killed_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    measure(&fleet, "coordinator killed", START_TIME, |_| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].kill();
        let took = first_start(&fleet, Instant::now());
        fleet.entries[leader].restart();
        fleet.wait_ready();
        took
    });
}

#[test]
fn stopped_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    measure(&fleet, "coordinator stopped", START_TIME, |_| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].signal("TERM");
        let took = first_start(&fleet, Instant::now());
        fleet.entries[leader].replace(false);
        fleet.wait_ready();
        took
    });
}

#[test]
fn frozen_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    measure(&fleet, "coordinator frozen", START_TIME, |round| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].signal("STOP");
        let begin = Instant::now();
        let id = format!("{:016x}", 0xf0 + round);
        let other = &fleet.entries[(leader + 1) % 3];
        assert!(other.post(&id, &job(100, &[2])).is_some_and(|it| it.status.is_success()));
        fleet.wait_start(&id);
        let took = begin.elapsed();
        fleet.entries[leader].signal("CONT");
        fleet.wait_ready();
        took
    });
}

#[test]
fn all_killed_serve_again() {
    let fleet = Fleet::start(3, 4);
    measure(&fleet, "all killed", RECOVERY_TIME, |_| {
        fleet.accept(&job(300, &[2, 2]), PATIENCE).expect("accepted");
        fleet.entries.iter().for_each(|it| it.kill());
        let begin = Instant::now();
        fleet.entries.iter().for_each(|it| it.restart());
        first_start(&fleet, begin)
    });
}

#[test]
fn store_is_used_again_after_an_outage() {
    let fleet = Fleet::start(3, 4);
    measure(&fleet, "store away for 1.5 s", START_TIME, |round| {
        let fault = [StoreFault::Down, StoreFault::Silent][round % 2];
        fleet.site.world().rows.fault = fault;
        std::thread::sleep(Duration::from_millis(1_500));
        fleet.site.world().rows.fault = StoreFault::None;
        first_start(&fleet, Instant::now())
    });
}

#[test]
fn cut_off_coordinator_goes_another_way() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(&job(100, &[1]), PATIENCE).expect("accepted");
    fleet.wait_known();
    measure(&fleet, "coordinator cut from the store", START_TIME, |_| {
        let leader = fleet.wait_coordinator();
        fleet.store_fault(leader, RouteFault::Cut);
        let took = first_start(&fleet, Instant::now());
        fleet.store_fault(leader, RouteFault::None);
        took
    });
}
