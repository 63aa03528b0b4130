//! How often and for how long waves stop long-running tasks.

mod common;

use common::{
    cores,
    pools::{PoolFleet, job_in, lasting, with_pools},
    stops,
};
use fuchsiamill_fleet::Step;
use fuchsiamill_model::units::Millisecond;

/// A stop, the maintenance of a host and a start, each with a round.
const AWAY_BOUND_MS: Millisecond = 300 + 2_000 + 700;

/// Returns hosts that stay in their pool.
fn pool_of(hosts: usize) -> PoolFleet {
    let mut config = with_pools(&["web"]);
    config.pools.retain(|_, it| !it.spare);
    PoolFleet::new(config, &vec!["web"; hosts])
}

/// Returns a step of tasks of which each needs a host of its own.
fn apart(count: u32, max_unavailable: u32) -> Step {
    let max_unavailable = Some(max_unavailable);
    Step { per_worker: Some(1), max_unavailable, size: cores(2), ..lasting(count, 2) }
}

/// The hosts that come back from one wave go to tasks that the next one has stopped since.
#[test]
fn task_that_waits_longest_gets_the_next_host() {
    let mut fleet = pool_of(26);
    fleet.accept("apart", job_in("web", vec![apart(26, 5)]));
    fleet.play(3_000);
    fleet.longest_idle = (0, None);
    for _ in 0..4 {
        fleet.maintain(0..26, 26);
        fleet.play(4_000);
    }
    fleet.play(60_000);
    assert_eq!(fleet.maintained(), 4 * 26);
    fleet.assert_runs(AWAY_BOUND_MS);
}

/// A task is placed where it leaves the least room, on hosts that the wave drains next.
#[test]
fn stopped_task_goes_to_a_host_that_is_not_due() {
    let mut fleet = pool_of(12);
    (1..6).for_each(|it| fleet.label(it, "disk"));
    fleet.accept("moved", job_in("web", vec![lasting(1, 2)]));
    fleet.play(1_000);
    assert_eq!(fleet.hosts[0].running.len(), 1);
    let large = Step { size: cores(5), label: Some("disk".into()), ..apart(5, 1) };
    fleet.accept("large", job_in("web", vec![large]));
    fleet.play(3_000);
    fleet.maintain(0..6, 1);
    fleet.play(60_000);
    assert_eq!(fleet.maintained(), 6);
    let runs = fleet.runs.iter().find(|it| it.0.job == "moved").unwrap();
    assert_eq!(*runs.1, 2, "runs of one task in one wave");
}

/// A wave may maintain the whole of a pool at once, and a step may miss a few of its tasks.
#[test]
fn wave_leaves_hosts_that_it_cannot_empty_yet_in_their_pool() {
    let mut fleet = pool_of(26);
    fleet.accept("apart", job_in("web", vec![apart(26, 5)]));
    fleet.play(3_000);
    fleet.maintain(0..26, 26);
    for _ in 0..200 {
        fleet.play(100);
        let workers = fleet.bench.coordinator.workers().values();
        let drained = workers.filter(|it| it.reserved && it.has_long_running()).count();
        assert!(drained <= 10, "{drained} hosts are drained, and 5 may be emptied at a time");
    }
    assert_eq!(fleet.maintained(), 26);
}

/// A task lost its host for good and waits for one while a wave stops others of its step, which need hosts as well.
#[test]
fn wave_stops_no_task_without_a_place_while_another_waits_for_long() {
    let mut fleet = pool_of(6);
    fleet.accept("apart", job_in("web", vec![apart(6, 2)]));
    fleet.play(3_000);
    fleet.lose(0);
    while fleet.longest_idle.0 < 3_500 {
        fleet.play(100);
    }
    fleet.bench.orders.clear();
    fleet.maintain(1..6, 5);
    fleet.play(1_500);
    assert!(stops(&fleet.bench.orders).is_empty(), "{:?}", stops(&fleet.bench.orders));
    fleet.play(60_000);
    assert_eq!(fleet.maintained(), 5);
}
