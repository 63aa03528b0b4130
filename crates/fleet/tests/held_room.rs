//! Long-running tasks that wait for room get it where short tasks follow one another or hosts are drained.

mod common;

use common::pools::{PoolFleet, busy, job_in, lasting, with_pools};
use fuchsiamill_fleet::{HostState, Name, Step, worker::Wave};
use fuchsiamill_model::{FastMap, units::Millisecond};

/// Wait for room until it is held, the longest short task and a start, each with a round.
const HELD_BOUND_MS: Millisecond = 1_000 + 1_500 + 500;

/// A short task counts as hanging once it has run for longer than expected by this.
const OVERDUE_MS: Millisecond = 2_000;

/// The users' rule: a task that lasts runs again within 6 s, and 3 s more.
const LOST_MS: Millisecond = 9_000;

/// Tasks end one by one, and another one takes each core that becomes free.
#[test]
fn short_tasks_do_not_keep_a_large_long_running_task_waiting() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 2]);
    busy(&mut fleet, "web", "s0", 33, 3);
    fleet.accept("long", job_in("web", vec![lasting(2, 6)]));
    busy(&mut fleet, "web", "s100", 100, 3);
    fleet.assert_runs(HELD_BOUND_MS);
}

/// Hosts that wait for their maintenance keep one long-running task each, which may not be stopped while others are lost.
#[test]
fn lost_long_running_tasks_start_on_hosts_that_wait_for_maintenance() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 4]);
    let spread = Step { per_worker: Some(2), max_unavailable: Some(1), ..lasting(6, 2) };
    fleet.accept("long", job_in("web", vec![spread]));
    fleet.play(2_000);
    fleet.maintain(0..3, 3);
    fleet.play(500);
    fleet.lose(3);
    fleet.longest_idle = (0, None);
    fleet.play(20_000);
    fleet.assert_runs(HELD_BOUND_MS + 2_000);
}

/// The worker whose tasks hang went on holding the room, and never had it.
#[test]
fn hanging_tasks_hold_no_room_for_a_long_running_one() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 2]);
    busy(&mut fleet, "web", "s0", 33, 3);
    fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
    busy(&mut fleet, "web", "s100", 12, 3);
    let workers = fleet.bench.coordinator.workers();
    let held = workers.values().find(|it| it.held_for.is_some()).expect("room is held");
    let number = held.seen.id[1..2].parse().unwrap();
    fleet.hang(number);
    busy(&mut fleet, "web", "s136", 88, 3);
    fleet.assert_runs(HELD_BOUND_MS + OVERDUE_MS);
}

/// Room is held on a worker without the label.
#[test]
fn labelled_wait_holds_room_on_labelled_worker() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 3]);
    fleet.label(2, "gpu");
    busy(&mut fleet, "web", "a", 20, 3);
    fleet.accept("long", job_in("web", vec![Step { label: Some("gpu".into()), ..lasting(1, 6) }]));
    busy(&mut fleet, "web", "b", 150, 3);
    fleet.assert_runs(LOST_MS);
}

/// Workers without the label are held for ever, for a task that no host has room for.
#[test]
fn labelled_wait_keeps_no_other_worker_from_short_tasks() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 3]);
    fleet.label(2, "gpu");
    let gpu = |count| Step { label: Some("gpu".into()), ..lasting(count, 6) };
    fleet.accept("long", job_in("web", vec![gpu(3)]));
    fleet.play(3_000);
    busy(&mut fleet, "web", "s", 100, 1);
    fleet.play(3_000);
    assert!(fleet.done("s") >= 90, "{} of 100 short jobs are done", fleet.done("s"));
}

/// A pool takes all spare hosts for a task that waits for a label that none of them has.
#[test]
fn labelled_wait_takes_no_spare_hosts_without_label() {
    let mut pools = ["spare"; 30];
    pools[..3].fill("web");
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &pools);
    fleet.label(2, "gpu");
    let gpu = |count| Step { label: Some("gpu".into()), ..lasting(count, 6) };
    fleet.accept("long", job_in("web", vec![gpu(3)]));
    fleet.play(15_000);
    assert!(fleet.hosts_in("web") <= 8, "{} hosts in the pool", fleet.hosts_in("web"));
}

/// The only hosts with a label that are left are drained; one of them has room, and a task that may not be stopped.
fn drained_with_label(label: Option<&str>) -> usize {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 5]);
    match label {
        Some(label) => (0..3).for_each(|it| fleet.label(it, label)),
        None => (3..5).for_each(|it| fleet.lose(it)),
    }
    let spread = Step {
        label: label.map(Name::from),
        per_worker: Some(2),
        max_unavailable: Some(1),
        ..lasting(5, 2)
    };
    fleet.accept("long", job_in("web", vec![spread]));
    fleet.play(3_000);
    let lost = (0..3).find(|it| fleet.hosts[*it].running.len() == 2).unwrap();
    let left: Vec<usize> = (0..3).filter(|it| *it != lost).collect();
    let hosts = left.iter().map(|it| format!("h{it}").into()).collect();
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: 2 };
    fleet.lose(lost);
    let now = fleet.bench.now;
    fleet.bench.coordinator.waves_requested(&[wave], &FastMap::default(), now);
    fleet.play(15_000);
    fleet.hosts.iter().map(|it| it.running.len()).sum()
}

#[test]
fn unlabelled_task_starts_on_drained_host() {
    assert_eq!(drained_with_label(None), 4);
}

#[test]
fn labelled_task_starts_on_drained_host() {
    assert_eq!(drained_with_label(Some("gpu")), 4, "tasks of 5 run, there is room for 4");
}

/// A host on its way that never comes keeps the room from being held.
#[test]
fn host_that_never_comes_keeps_no_task_waiting() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web", "web", "spare"]);
    fleet.hosts[2].is_deaf = true;
    busy(&mut fleet, "web", "a", 20, 3);
    fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
    busy(&mut fleet, "web", "b", 200, 3);
    fleet.assert_runs(LOST_MS);
}

/// A host that is lost for good on its way keeps the room from being held, until it is taken for lost.
#[test]
fn host_lost_on_its_way_keeps_no_task_waiting() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web", "web", "spare"]);
    let mut is_lost = false;
    for round in 0..200 {
        busy(&mut fleet, "web", &format!("a{round}"), 1, 3);
        if !is_lost && fleet.hosts[2].state == HostState::Moving {
            fleet.lose(2);
            is_lost = true;
            fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
        }
    }
    assert!(is_lost);
    fleet.assert_runs(LOST_MS);
}

/// Room is held for a gang that is wider than its pool.
#[test]
fn gang_wider_than_pool_holds_no_room() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 4]);
    let gang = Step { gang: true, ..lasting(8, 6) };
    fleet.accept("gang", job_in("web", vec![gang]));
    fleet.play(3_000);
    busy(&mut fleet, "web", "s", 100, 1);
    fleet.play(3_000);
    assert!(fleet.done("s") >= 90, "{} of 100 short jobs are done", fleet.done("s"));
}

/// Without spare hosts no room is held.
#[test]
fn room_is_held_without_spare_pool() {
    let mut config = with_pools(&["web"]);
    config.pools.remove("spare");
    let mut fleet = PoolFleet::new(config, &["web", "web"]);
    busy(&mut fleet, "web", "a", 20, 3);
    fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
    busy(&mut fleet, "web", "b", 200, 3);
    fleet.assert_runs(LOST_MS);
}
