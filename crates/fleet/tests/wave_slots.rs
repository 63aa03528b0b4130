//! Which hosts of a wave get its slots, and for how long.

mod common;

use common::{
    cores,
    pools::{PoolFleet, job_in, lasting, with_pools},
    step, stops,
};
use fuchsiamill_fleet::{HostState, Name, Step, TaskId};
use fuchsiamill_model::units::Millisecond;

/// The fixed time for which a drained host keeps its slot without losing a task.
const PATIENCE_MS: Millisecond = 3_000;

/// The fixed time for which a host that gave its slot back takes none from another one.
const GIVEN_BACK_MS: Millisecond = 10_000;

/// Time in which hosts would go back and forth.
const LONG_MS: Millisecond = 40_000;

/// A stop, the maintenance of a host and the rounds of both.
const HOST_MS: Millisecond = 300 + 2_500 + 700;

/// A task that fills a host, of which so many may be away.
fn full(max_unavailable: u32) -> Step {
    Step { max_unavailable: Some(max_unavailable), ..lasting(1, 8) }
}

/// Returns a pool with a lasting task on each host.
fn full_fleet(hosts: usize, max_unavailable: u32) -> PoolFleet {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &vec!["web"; hosts]);
    for number in 0..hosts {
        fleet.accept(&format!("job-{number}"), job_in("web", vec![full(max_unavailable)]));
        fleet.play(300);
    }
    fleet.play(3_000);
    assert!(fleet.hosts.iter().all(|it| it.running.len() == 1));
    fleet
}

/// Returns idle hosts that stay in their pool.
fn idle_fleet(hosts: usize) -> PoolFleet {
    let mut config = with_pools(&["web"]);
    config.pools.retain(|_, it| !it.spare);
    PoolFleet::new(config, &vec!["web"; hosts])
}

fn job_on(fleet: &PoolFleet, number: usize) -> Name {
    fleet.hosts[number].running.keys().next().unwrap().job.clone()
}

fn drained(fleet: &PoolFleet) -> Vec<String> {
    let workers = fleet.bench.coordinator.workers().values();
    let drained = workers.filter(|it| it.reserved && !it.live.is_empty());
    let mut drained: Vec<String> = drained.map(|it| it.seen.id.to_string()).collect();
    drained.sort();
    drained
}

/// Plays some time; returns how often other hosts than before were drained.
fn changes(fleet: &mut PoolFleet, ms: Millisecond, cap: usize) -> usize {
    let mut changes = 0;
    let mut before = drained(fleet);
    for _ in 0..ms / 100 {
        fleet.play(100);
        let now = drained(fleet);
        let is_down = |it: &&common::pools::PoolHost| it.state == HostState::Maintenance;
        let down = fleet.hosts.iter().filter(is_down).count();
        assert!(now.len() + down <= cap, "{now:?} are drained, {down} are down");
        changes += usize::from(!now.is_empty() && now != before);
        if !now.is_empty() {
            before = now;
        }
    }
    changes
}

/// No host can be emptied when the wave begins, and a later one can be.
#[test]
fn host_that_cannot_be_emptied_gives_its_slot_back() {
    let mut fleet = full_fleet(4, 0);
    fleet.maintain(0..4, 1);
    fleet.play(2 * PATIENCE_MS);
    assert_eq!(drained(&fleet), ["w0-1"]);
    let job = job_on(&fleet, 2);
    fleet.bench.coordinator.cancel(&job, fleet.bench.now);
    fleet.accept("movable", job_in("web", vec![full(1)]));
    fleet.play(PATIENCE_MS);
    let job = job_on(&fleet, 3);
    fleet.bench.coordinator.cancel(&job, fleet.bench.now);
    changes(&mut fleet, 3 * HOST_MS, 1);
    assert_eq!(fleet.maintained(), 2);
}

/// A wave of hosts that cannot be emptied drains the same ones for as long as that is so.
#[test]
fn hosts_that_cannot_be_emptied_do_not_take_turns() {
    let mut fleet = full_fleet(5, 0);
    fleet.bench.orders.clear();
    fleet.longest_idle = (0, None);
    fleet.maintain(0..5, 2);
    fleet.play(200);
    assert_eq!(changes(&mut fleet, LONG_MS, 2), 0);
    assert!(stops(&fleet.bench.orders).is_empty());
    assert_eq!(fleet.maintained(), 0);
}

/// A host is emptied one task after the other in more than the patience, while another one could be emptied at once.
#[test]
fn host_that_loses_tasks_one_by_one_keeps_its_slot() {
    let mut fleet = idle_fleet(3);
    let apart = Step { max_unavailable: Some(1), ..lasting(8, 1) };
    fleet.accept("apart", job_in("web", vec![apart]));
    fleet.play(1_000);
    let at_once = Step { max_unavailable: Some(8), ..lasting(8, 1) };
    fleet.accept("at-once", job_in("web", vec![at_once]));
    fleet.play(3_000);
    let tasks: Vec<usize> = fleet.hosts.iter().map(|it| it.running.len()).collect();
    assert_eq!(tasks, [8, 8, 0]);
    fleet.bench.orders.clear();
    fleet.longest_idle = (0, None);
    fleet.maintain(0..3, 1);
    let begun = fleet.bench.now;
    let mut drained_ms = 0;
    while !drained(&fleet).is_empty() || fleet.maintained() < 2 {
        changes(&mut fleet, 100, 1);
        let is_apart = |it: &TaskId| it.job == "apart";
        let is_left = fleet.hosts[0].running.keys().any(is_apart);
        let is_other = drained(&fleet).iter().any(|it| it.starts_with("w1"));
        assert!(!is_left || !is_other, "the slot went on");
        drained_ms += if drained(&fleet) == ["w0-1"] { 100 } else { 0 };
        assert!(fleet.bench.now.since(begun) < LONG_MS);
    }
    assert!(drained_ms > PATIENCE_MS, "{drained_ms} ms");
    changes(&mut fleet, 3 * HOST_MS, 1);
    assert_eq!(fleet.maintained(), 3);
    fleet.assert_runs(HOST_MS);
}

/// The short task on a drained host hangs, and no end of it is in sight.
#[test]
fn host_with_hanging_task_gives_its_slot_back() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 3]);
    let short = Step { per_worker: Some(1), ..step(3) };
    fleet.accept("short", job_in("web", vec![short]));
    fleet.play(100);
    fleet.maintain(0..3, 1);
    fleet.hang(0);
    for number in 0..300 {
        let short = Step { per_worker: Some(1), ..step(4) };
        fleet.accept(&format!("more-{number}"), job_in("web", vec![short]));
        fleet.play(100);
    }
    assert!(fleet.maintained() >= 2, "{} maintained", fleet.maintained());
}

/// On one host after the other the tasks turn out to hang: each could be emptied until then.
#[test]
fn slot_does_not_go_on_with_each_change() {
    let mut fleet = idle_fleet(10);
    for number in 0..10 {
        fleet.accept(
            &format!("job-{number}"),
            job_in("web", vec![Step { size: cores(8), estimate_ms: 1_000, ..step(1) }]),
        );
        fleet.play(300);
        (0..10).for_each(|it| fleet.hang(it));
    }
    fleet.maintain(0..10, 1);
    let ms = 2 * PATIENCE_MS;
    let mut changed = 0;
    for _ in 0..ms / 100 {
        (0..10).for_each(|it| fleet.hang(it));
        changed += changes(&mut fleet, 100, 1);
    }
    assert!(changed as u64 <= 1 + ms / PATIENCE_MS, "{changed} changes");
    assert_eq!(fleet.maintained(), 0);
}

/// Whichever of two hosts is drained, its task hangs, while that of the other one is replaced all the time, so that the other
/// one could be emptied.
#[test]
fn two_hosts_give_slots_to_each_other_seldom() {
    let mut fleet = idle_fleet(2);
    let send = |fleet: &mut PoolFleet, id: &str, size: u32| {
        fleet.accept(id, job_in("web", vec![Step { size: cores(size), ..step(1) }]));
    };
    send(&mut fleet, "first", 4);
    send(&mut fleet, "second", 5);
    fleet.play(200);
    assert!(fleet.hosts.iter().all(|it| it.running.len() == 1));
    fleet.maintain(0..2, 1);
    fleet.play(100);
    let mut changed = 0;
    let seconds = 60;
    for number in 0..seconds {
        let is_drained = |it: usize| drained(&fleet).contains(&format!("w{it}-1"));
        let other = (0..2).find(|it| !is_drained(*it)).unwrap();
        send(&mut fleet, &format!("job-{number}"), 2);
        for round in 0..10 {
            (0..2).for_each(|it| fleet.hang(it));
            if round == 3 {
                // All tasks on the other host end but the newest.
                let (now, accepted) = (fleet.bench.now, &fleet.accepted);
                let running = &mut fleet.hosts[other].running;
                let newest = running.keys().map(|it| accepted[&it.job]).max();
                let old = running.iter_mut().filter(|it| Some(accepted[&it.0.job]) != newest);
                old.for_each(|it| it.1.1 = Some(now));
            }
            changed += changes(&mut fleet, 100, 1);
        }
    }
    let most = 1 + seconds * 1_000 / GIVEN_BACK_MS;
    assert!(changed > 1, "no host gave its slot back");
    assert!(changed as u64 <= most, "{changed} changes, {most} at most");
    assert_eq!(fleet.maintained(), 0);
}

/// A host without tasks is maintained while another one is drained in vain, and the cap holds.
#[test]
fn empty_host_is_maintained_beside_one_that_cannot_be_emptied() {
    let mut fleet = full_fleet(3, 0);
    fleet.maintain(0..3, 1);
    fleet.play(500);
    let job = job_on(&fleet, 1);
    fleet.bench.coordinator.cancel(&job, fleet.bench.now);
    changes(&mut fleet, 2 * HOST_MS, 1);
    assert_eq!(fleet.maintained(), 1);
}

/// More hosts that cannot be emptied than are examined in one plan.
#[test]
fn host_that_can_be_emptied_is_found_behind_many() {
    let mut fleet = full_fleet(40, 0);
    fleet.maintain(0..40, 1);
    fleet.play(2 * PATIENCE_MS);
    let job = job_on(&fleet, 39);
    fleet.bench.coordinator.cancel(&job, fleet.bench.now);
    fleet.accept("movable", job_in("web", vec![full(1)]));
    changes(&mut fleet, 3 * HOST_MS, 1);
    assert_eq!(fleet.maintained(), 1);
}
