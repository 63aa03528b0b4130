//! Workers that fail tasks, are slow, or stall tasks.

mod common;

use common::{Bench, job, run_info, step, stops, task, worker};
use fuchsiamill_fleet::{Ending, JobSpec, Step, WorkerReport};
use fuchsiamill_model::units::Moment;

fn progress(bench: &mut Bench, percent: u32) {
    let running = vec![run_info(&task("j", 0, 0), 1, percent)];
    let report = WorkerReport {
        asked: bench.now,
        born: 7,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
}

#[test]
fn stalled_task_is_moved() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    bench.run();
    bench.add(worker("w2"));
    for percent in [10, 20, 20] {
        progress(&mut bench, percent);
        assert!(stops(&bench.step()).is_empty());
        bench.wait(1_000);
    }
    progress(&mut bench, 20);
    assert_eq!(stops(&bench.step()), [(task("j", 0, 0), 1)]);
    bench.report("w1", &[], &[(task("j", 0, 0), 1, Ending::Stopped)]);
    assert_eq!(bench.run()[0].2, "w2");
}

#[test]
fn slow_task_is_not_stalled() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { estimate_ms: 200_000, ..step(1) }]));
    bench.run();
    for percent in [0, 0, 0, 0, 0] {
        progress(&mut bench, percent);
        assert!(stops(&bench.step()).is_empty());
        bench.wait(1_000);
    }
}

#[test]
fn long_running_task_is_never_stalled() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { long_running: true, ..step(1) }]));
    bench.run();
    for _ in 0..10 {
        progress(&mut bench, 50);
        assert!(stops(&bench.step()).is_empty());
        bench.wait(1_000);
    }
}

/// A task makes 1 % of progress in 4 s with an estimate of 1 s: it must not be restarted again and again.
#[test]
fn long_task_with_a_low_estimate_goes_on() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    let mut stopped = 0;
    let mut current: Option<(u32, Moment)> = None;
    for _ in 0..90 {
        bench.wait(1_000);
        if let Some(start) = bench.run().first() {
            current = Some((start.1, bench.now));
        }
        let Some((run, begun)) = current else { continue };
        let percent = (bench.now.since(begun) / 4_000) as u32;
        let running = vec![run_info(&task("j", 0, 0), run, percent)];
        let report = WorkerReport {
            asked: bench.now,
            born: 7,
            running,
            ended: Vec::new(),
            has_more_ends: false,
        };
        bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
        if !stops(&bench.step()).is_empty() {
            stopped += 1;
            bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Stopped)]);
            current = None;
        }
    }
    assert!(stopped <= 2, "stopped {stopped} times");
    let (_, begun) = current.expect("it runs");
    assert!(bench.now.since(begun) > 40_000, "it runs since {begun:?}");
}

#[test]
fn failing_worker_is_left_out_for_a_while() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    for id in ["a", "b", "c"] {
        bench.accept(id, job(vec![step(1)]));
        let started = bench.run();
        bench.report("w1", &[], &[(started[0].0.clone(), started[0].1, Ending::Failed)]);
    }
    assert!(bench.run().is_empty());
    bench.add(worker("w2"));
    assert!(bench.run().iter().all(|it| it.2 == "w2"));
    bench.wait(8_000);
    bench.accept("d", job(vec![step(14)]));
    assert!(bench.run().iter().any(|it| it.2 == "w1"));
}

/// A task that runs all the time may fail at any moment; three such failures in an hour left its worker out.
#[test]
fn worker_on_which_tasks_run_for_long_is_not_left_out_for_their_failures() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("a", job(vec![Step { long_running: true, ..step(1) }]));
    for _ in 0..6 {
        let started = bench.run();
        assert_eq!(started.len(), 1);
        let (task, run) = (started[0].0.clone(), started[0].1);
        bench.wait(60_000);
        bench.report("w1", &[], &[(task, run, Ending::Failed)]);
    }
}

#[test]
fn slow_worker_is_left_out_for_a_while() {
    let mut bench = Bench::new();
    for id in ["w1", "w2"] {
        bench.add(worker(id));
    }
    for round in 0..12 {
        bench.accept(&format!("j{round}"), job(vec![step(16)]));
        let started = bench.run();
        for slow in [false, true] {
            bench.wait(if slow { 4_000 } else { 1_000 });
            let on = if slow { "w2" } else { "w1" };
            let ended: Vec<_> = started
                .iter()
                .filter(|it| it.2 == on)
                .map(|it| (it.0.clone(), it.1, Ending::Done))
                .collect();
            bench.report(on, &[], &ended);
        }
        if started.iter().all(|it| it.2 == "w1") {
            return;
        }
    }
    panic!("the slow worker was never left out");
}

/// Faults that are not mended.
mod known_red {
    use super::*;

    /// One team's tasks that fail wherever they run made all workers of the pool avoided, for all teams.
    #[test]
    fn tasks_that_fail_everywhere_leave_workers_to_other_teams() {
        let mut bench = Bench::new();
        for id in ["w1", "w2", "w3", "w4"] {
            bench.add(worker(id));
        }
        for round in 0..12 {
            bench.accept(&format!("failing-{round}"), job(vec![step(4)]));
            for (task, run, on) in bench.run() {
                bench.report(&on, &[], &[(task, run, Ending::Failed)]);
            }
            bench.coordinator.cancel(&format!("failing-{round}").as_str().into(), bench.now);
            bench.wait(50);
        }
        let of_other = JobSpec { team: "other".into(), ..job(vec![step(1)]) };
        bench.accept("other", of_other);
        assert!(bench.run().iter().any(|it| it.0.job == "other"));
    }
}
