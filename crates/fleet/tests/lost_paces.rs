//! The speed of best-effort tasks, if orders to set it are lost or were given by a former coordinator.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, config, job, step, task, worker};
use fuchsiamill_fleet::{JobRecord, Order, Stage, Step, TaskRecord, coordinator::Takeover};

/// Returns a step of a task that is not long-running, for which workers report the progress and not the speed.
fn best_effort() -> Step {
    Step { best_effort: true, ..step(1) }
}

fn paces(orders: &[Order]) -> Vec<u32> {
    let percent = |it: &Order| match it {
        Order::Pace { percent, .. } => Some(*percent),
        _ => None,
    };
    orders.iter().filter_map(percent).collect()
}

fn report(bench: &mut Bench, run: u32) -> Vec<u32> {
    bench.report("w1", &[(task("j", 0, 0), run)], &[]);
    paces(&bench.step())
}

#[test]
fn inherited_task_is_set_to_full_speed() {
    let takeover = Takeover { renewals_end: START, at: START };
    let mut bench = Bench::after(config(), takeover);
    bench.coordinator.worker_listed(worker("w1"), bench.now);
    let on = Some(("w1".into(), 7));
    let tasks = vec![TaskRecord { run: 4, on, ..TaskRecord::default() }];
    let record = JobRecord { stage: Stage::Running, tasks, ..JobRecord::default() };
    let spec = Arc::new(job(vec![best_effort()]));
    bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
    assert_eq!(report(&mut bench, 4), [100]);
    assert_eq!(report(&mut bench, 4), [0; 0]);
}

#[test]
fn unanswered_pace_is_ordered_again() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![best_effort()]));
    bench.run();
    assert_eq!(report(&mut bench, 1), [0; 0]);
    bench.coordinator.pace_failed(&task("j", 0, 0), 1);
    assert_eq!(report(&mut bench, 1), [100]);
    assert_eq!(report(&mut bench, 1), [0; 0]);
}
