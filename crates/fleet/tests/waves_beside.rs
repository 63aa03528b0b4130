//! Waves beside each other whose hosts have tasks of one long-running step.

mod common;

use common::{
    cores,
    pools::{PoolFleet, PoolHost, job_in, lasting, with_pools},
};
use fuchsiamill_fleet::{Config, Step};

/// Returns a configuration whose hosts stay in their pool.
fn one_pool() -> Config {
    let mut config = with_pools(&["web"]);
    config.pools.retain(|_, it| !it.spare);
    config
}

/// A step may miss two tasks, and each wave may maintain one host at a time.
#[test]
fn hosts_without_a_slot_hold_up_no_other_wave() {
    let mut fleet = PoolFleet::new(one_pool(), &["web"; 20]);
    let step = Step { per_worker: Some(1), max_unavailable: Some(2), ..lasting(20, 2) };
    fleet.accept("apart", job_in("web", vec![step]));
    fleet.play(3_000);
    fleet.maintain(0..10, 1);
    fleet.maintain(10..20, 1);
    fleet.play(30_000);
    assert_eq!(fleet.maintained(), 20);
}

/// The host of the first wave has two tasks, of which the step may miss one, and there is no place for them elsewhere.
#[test]
fn host_that_cannot_be_emptied_holds_up_no_other_wave() {
    let mut hosts: Vec<PoolHost> = (0..3).map(|_| PoolHost::new("web")).collect();
    (1..3).for_each(|it| hosts[it].capacity = cores(3));
    let mut fleet = PoolFleet::of_hosts(one_pool(), hosts);
    let step = Step { max_unavailable: Some(1), ..lasting(4, 3) };
    fleet.accept("large", job_in("web", vec![step]));
    fleet.play(4_000);
    assert_eq!(fleet.hosts[0].running.len(), 2);
    fleet.maintain(0..1, 1);
    fleet.maintain(1..3, 1);
    fleet.play(60_000);
    assert_eq!(fleet.maintained(), 2);
}
