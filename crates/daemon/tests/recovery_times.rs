//! How soon work starts again after the coordinator, or every entry host, is lost. Each test prints what it measured.

mod common;

use std::time::{Duration, Instant};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
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
    wait_start(fleet, &id, begin)
}

fn wait_start(fleet: &Fleet, id: &str, begin: Instant) -> Duration {
    wait_until("its task starts", || {
        fleet.site.world().runs.iter().any(|it| it.task.starts_with(id))
    });
    begin.elapsed()
}

fn judge(what: &str, mut times: Vec<Duration>, bound: Duration) {
    times.sort();
    let (middle, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{what}: {} times, middle {middle:.2?}, longest {longest:.2?}", times.len());
    assert!(longest <= bound, "{what} took {longest:?} of {bound:?}");
}

#[test]
fn killed_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    let lose = |_| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].kill();
        let took = first_start(&fleet, Instant::now());
        fleet.entries[leader].restart();
        fleet.wait_ready();
        took
    };
    judge("coordinator killed", (0..ROUNDS).map(lose).collect(), START_TIME);
    fleet.check();
}

#[test]
fn stopped_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    let lose = |_| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].signal("TERM");
        let took = first_start(&fleet, Instant::now());
        fleet.entries[leader].replace(false);
        fleet.wait_ready();
        took
    };
    judge("coordinator stopped", (0..ROUNDS).map(lose).collect(), START_TIME);
    fleet.check();
}

#[test]
fn frozen_coordinator_is_replaced() {
    let fleet = Fleet::start(3, 4);
    let lose = |round: usize| {
        let leader = fleet.wait_coordinator();
        fleet.entries[leader].signal("STOP");
        let begin = Instant::now();
        let id = format!("{:016x}", 0xf0 + round);
        let other = &fleet.entries[(leader + 1) % 3];
        assert!(other.post(&id, &job(100, &[2])).is_some_and(|it| it.status.is_success()));
        let took = wait_start(&fleet, &id, begin);
        fleet.entries[leader].signal("CONT");
        fleet.wait_ready();
        took
    };
    judge("coordinator frozen", (0..ROUNDS).map(lose).collect(), START_TIME);
    fleet.check();
}

#[test]
fn all_killed_serve_again() {
    let fleet = Fleet::start(3, 4);
    let lose = |_| {
        fleet.accept(&job(300, &[2, 2]), PATIENCE).expect("accepted");
        fleet.entries.iter().for_each(|it| it.kill());
        let begin = Instant::now();
        fleet.entries.iter().for_each(|it| it.restart());
        first_start(&fleet, begin)
    };
    judge("all killed", (0..ROUNDS).map(lose).collect(), RECOVERY_TIME);
    fleet.check();
}

#[test]
fn store_is_used_again_after_an_outage() {
    let fleet = Fleet::start(3, 4);
    let lose = |round: usize| {
        let fault = [StoreFault::Down, StoreFault::Silent][round % 2];
        fleet.site.world().rows.fault = fault;
        std::thread::sleep(Duration::from_millis(1_500));
        fleet.site.world().rows.fault = StoreFault::None;
        first_start(&fleet, Instant::now())
    };
    judge("store away for 1.5 s", (0..ROUNDS).map(lose).collect(), START_TIME);
    fleet.check();
}

#[test]
fn cut_off_coordinator_goes_another_way() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(&job(100, &[1]), PATIENCE).expect("accepted");
    // Rows of the other entry hosts are read some seconds after their start.
    std::thread::sleep(Duration::from_secs(9));
    let lose = |_| {
        let leader = fleet.wait_coordinator();
        fleet.store_fault(leader, RouteFault::Cut);
        let took = first_start(&fleet, Instant::now());
        fleet.store_fault(leader, RouteFault::None);
        took
    };
    judge("coordinator cut from the store", (0..ROUNDS).map(lose).collect(), START_TIME);
    fleet.check();
}
