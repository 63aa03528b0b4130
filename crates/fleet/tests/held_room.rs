//! Long-running tasks that wait for room get it where short tasks follow one another or hosts are drained.

mod common;

use common::{
    cores,
    pools::{PoolFleet, job_in, with_pools},
    step,
};
use fuchsiamill_fleet::Step;
use fuchsiamill_model::units::Millisecond;

/// Wait for room until it is held, the longest short task and a start, each with a round.
const HELD_BOUND_MS: Millisecond = 1_000 + 1_500 + 500;

/// A short task counts as hanging once it has run for longer than expected by this.
const OVERDUE_MS: Millisecond = 2_000;

fn lasting(count: u32, size: u32) -> Step {
    Step { long_running: true, size: cores(size), ..step(count) }
}

/// Sends tasks that end one by one, and more of them than the hosts can run.
fn send_short(fleet: &mut PoolFleet, numbers: std::ops::Range<u64>) {
    for number in numbers {
        let estimate_ms = 700 + (number * 37) % 800;
        let spec = job_in("web", vec![Step { estimate_ms, ..step(1) }]);
        fleet.accept(&format!("short-{number:03}"), spec);
        if number % 3 == 0 {
            fleet.play(100);
        }
    }
}

/// Tasks end one by one, and another one takes each core that becomes free.
#[test]
fn short_tasks_do_not_keep_a_large_long_running_task_waiting() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 2]);
    send_short(&mut fleet, 0..100);
    fleet.accept("long", job_in("web", vec![lasting(2, 6)]));
    send_short(&mut fleet, 100..400);
    let (idle, task) = &fleet.longest_idle;
    assert!(*idle <= HELD_BOUND_MS, "{task:?} does not run for {idle} ms");
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
    let (idle, task) = &fleet.longest_idle;
    assert!(*idle <= HELD_BOUND_MS + 2_000, "{task:?} does not run for {idle} ms");
}

/// The worker whose tasks hang went on holding the room, and never had it.
#[test]
fn hanging_tasks_hold_no_room_for_a_long_running_one() {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 2]);
    send_short(&mut fleet, 0..100);
    fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
    send_short(&mut fleet, 100..136);
    let workers = fleet.bench.coordinator.workers();
    let held = workers.values().find(|it| it.held_for.is_some()).expect("room is held");
    let number = held.seen.id[1..2].parse().unwrap();
    fleet.hang(number);
    send_short(&mut fleet, 136..400);
    let (idle, task) = &fleet.longest_idle;
    assert!(*idle <= HELD_BOUND_MS + OVERDUE_MS, "{task:?} does not run for {idle} ms");
}
