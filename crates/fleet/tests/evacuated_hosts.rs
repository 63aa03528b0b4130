//! Long-running tasks that leave their hosts for maintenance.

mod common;

use common::{
    cores,
    pools::{PoolFleet, busy, job_in, lasting, with_pools},
    step, stops,
};
use fuchsiamill_fleet::{Order, Step, coordinator::Permit, worker::Wave};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

/// The users' rule: a task that lasts runs again within 6 s, and 3 s more.
const LOST_MS: Millisecond = 9_000;

/// A stop, the maintenance of a host and a start, each with a round.
const AWAY_BOUND_MS: Millisecond = 300 + 2_000 + 700;

fn spread(max_unavailable: u32) -> Step {
    let max_unavailable = Some(max_unavailable);
    let long = Step { per_worker: Some(2), long_running: true, max_unavailable, ..step(8) };
    Step { size: cores(2), ..long }
}

/// Plays a wave over all hosts of a full pool.
fn maintained_fleet(steps: &[Step]) -> PoolFleet {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 4]);
    for (number, step) in steps.iter().enumerate() {
        fleet.accept(&format!("long-{number}"), job_in("web", vec![step.clone()]));
    }

    fleet.play(3_000);
    fleet.longest_idle = (0, None);
    fleet.maintain(0..4, 2);
    fleet.play(20_000);
    fleet
}

/// Hosts whose tasks may all be stopped at once are maintained without a place elsewhere.
#[test]
fn wave_over_full_hosts_is_completed_without_further_hosts() {
    let fleet = maintained_fleet(&[spread(2), spread(2)]);
    fleet.assert_runs(AWAY_BOUND_MS);
    assert_eq!(fleet.maintained(), 4);
}

/// Some tasks of each host were stopped and the others might not be, so that no host became empty and none took what had been
/// stopped.
#[test]
fn wave_over_full_hosts_stops_no_long_running_task_for_nothing() {
    let mut fleet = maintained_fleet(&[spread(2), spread(1)]);
    fleet.assert_runs(AWAY_BOUND_MS);
    assert_eq!(fleet.maintained(), 0);
    fleet.bench.coordinator.cancel(&"long-1".into(), fleet.bench.now);
    fleet.play(20_000);
    fleet.assert_runs(AWAY_BOUND_MS);
    assert_eq!(fleet.maintained(), 4);
}

/// A wave over hosts of a pool that is busy with short tasks.
#[test]
fn wave_goes_on_in_busy_pool() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 6]);
    let spread = Step { per_worker: Some(2), max_unavailable: Some(1), ..lasting(6, 2) };
    fleet.accept("long", job_in("web", vec![spread]));
    fleet.play(2_000);
    busy(&mut fleet, "web", "a", 20, 5);
    fleet.maintain(0..6, 1);
    fleet.longest_idle = (0, None);
    busy(&mut fleet, "web", "b", 300, 5);
    let idle = fleet.longest_idle.0;
    assert!(fleet.maintained() >= 6, "{} of 6 maintained, longest away {idle}", fleet.maintained());
}

/// Evacuation with permits: the only worker with room is refused.
#[test]
fn advised_task_is_not_stopped_where_no_worker_is_permitted() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 2]);
    let mut spec = job_in("web", vec![Step { max_unavailable: Some(1), ..lasting(1, 2) }]);
    spec.route.advised = true;
    fleet.accept("long", spec);
    // Keeps the host from being emptied.
    let answer = |fleet: &mut PoolFleet, allowed: &str| {
        fleet.play(100);
        let now = fleet.bench.now;
        for order in std::mem::take(&mut fleet.bench.orders) {
            if let Order::Advise { step, workers } = order {
                let permit = Permit { ticket: "t".into(), until: Moment(now.0 + 5_000) };
                let permits = workers.iter().filter(|it| it.as_str() == allowed);
                let permits = permits.map(|it| (it.clone(), permit.clone())).collect();
                fleet.bench.coordinator.advice_answered(&step, &workers, Some(permits));
            }
        }
    };
    (0..20).for_each(|_| answer(&mut fleet, "w0-1"));
    assert!(!fleet.hosts[0].running.is_empty());
    let stay = Step { max_unavailable: Some(0), ..lasting(2, 6) };
    fleet.accept("stay", job_in("web", vec![stay]));
    (0..20).for_each(|_| answer(&mut fleet, "w0-1"));
    fleet.longest_idle = (0, None);
    fleet.maintain(0..1, 1);
    (0..200).for_each(|_| answer(&mut fleet, "w0-1"));
    fleet.assert_runs(LOST_MS);
}

/// Tasks are stopped to empty a host on which a short task runs on for long.
#[test]
fn host_with_long_short_task_stops_no_lasting_task_again_and_again() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 4]);
    let spread = Step { per_worker: Some(2), max_unavailable: Some(2), ..lasting(8, 3) };
    fleet.accept("long", job_in("web", vec![spread]));
    fleet.play(2_000);
    let batch = Step { estimate_ms: 15_000, ..step(8) };
    fleet.accept("batch", job_in("web", vec![batch]));
    fleet.play(2_000);
    fleet.bench.orders.clear();
    fleet.longest_idle = (0, None);
    fleet.maintain(0..4, 1);
    fleet.play(12_000);
    let stopped = stops(&fleet.bench.orders).len();
    let idle = fleet.longest_idle.0;
    assert!(stopped <= 2, "{stopped} stops, longest away {idle} ms, {} hosts", fleet.maintained());
}

/// A place that a stopped task of another step will take is counted again in the next plan.
#[test]
fn two_steps_are_not_stopped_for_one_place() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 3]);
    let mut add = |id: &str, size: u32, most: u32| {
        let step = Step { max_unavailable: Some(most), ..lasting(1, size) };
        fleet.accept(id, job_in("web", vec![step]));
        fleet.play(300);
    };
    add("a", 6, 1);
    add("b", 6, 1);
    add("c", 6, 1);
    add("x", 2, 0);
    add("y", 2, 0);
    add("z", 2, 0);
    fleet.play(1_000);
    fleet.bench.coordinator.cancel(&"c".into(), fleet.bench.now);
    fleet.play(1_000);
    let with_c = |it: &usize| fleet.hosts[*it].running.len() == 2;
    let hosts: Vec<usize> = (0..3).filter(with_c).collect();
    assert_eq!(hosts.len(), 2);
    fleet.bench.orders.clear();
    let hosts = hosts.iter().map(|it| format!("h{it}").into()).collect();
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: 2 };
    let now = fleet.bench.now;
    fleet.bench.coordinator.waves_requested(&[wave], &FastMap::default(), now);
    fleet.longest_idle = (0, None);
    fleet.play(10_000);
    let stopped = stops(&fleet.bench.orders).len();
    assert_eq!(stopped, 1, "stops for one place, longest away {:?}", fleet.longest_idle);
}

/// A host whose tasks cannot be stopped takes the only slot of a wave.
#[test]
fn wave_drains_hosts_that_can_be_emptied() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 3]);
    let pair = Step { max_unavailable: Some(1), ..lasting(2, 4) };
    fleet.accept("pair", job_in("web", vec![pair]));
    fleet.play(1_500);
    for number in 0..4 {
        let one = Step { max_unavailable: Some(1), ..lasting(1, 4) };
        fleet.accept(&format!("one-{number}"), job_in("web", vec![one]));
    }
    fleet.play(1_500);
    fleet.maintain(0..3, 1);
    fleet.play(25_000);
    assert!(fleet.maintained() >= 2, "{} maintained", fleet.maintained());
}
