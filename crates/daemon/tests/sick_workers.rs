//! Workers that tell that they are sick, truly or not.

mod common;

use std::time::Duration;

use common::fleet::{Fleet, job};
use fuchsiamill_standin::fleet::WorkerFault;

const PATIENCE: Duration = Duration::from_secs(20);

/// A worker is asked each second: then it is known to be sick.
const KNOWN: Duration = Duration::from_millis(1_500);

/// Idle hosts have left the pool within this time.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Lets the first `count` workers of the pool have a fault, and waits until that is known.
fn strike(fleet: &Fleet, count: usize, fault: WorkerFault) {
    std::thread::sleep(SETTLED);
    let mut world = fleet.site.world();
    let hosts = world.hosts_up("web");
    for host in &hosts[..count.min(hosts.len())] {
        world.worker_mut(*host).expect("it is up").fault = fault;
    }
    drop(world);
    std::thread::sleep(KNOWN);
}

#[test]
fn sick_worker_fails_nothing() {
    let fleet = Fleet::start(1, 3);
    strike(&fleet, 1, WorkerFault::Sick);
    for _ in 0..6 {
        fleet.accept(&job(100, &[4]), PATIENCE).expect("accepted");
    }
    fleet.check();
    let world = fleet.site.world();
    let failed =
        world.runs.iter().filter(|it| it.ended.as_ref().is_some_and(|it| it.1 == "failed"));
    assert_eq!(failed.count(), 0);
}

#[test]
fn falsely_sick_pool_is_used() {
    let fleet = Fleet::start(1, 3);
    strike(&fleet, 3, WorkerFault::SickFalsely);
    fleet.accept(&job(100, &[4]), PATIENCE).expect("accepted");
    fleet.check();
}
