//! Runs of ended jobs are stopped, even if orders to stop them are lost.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, config, job, step, stops, task, worker};
use fuchsiamill_fleet::{JobRecord, Stage, TaskRecord, coordinator::Takeover};

/// A former coordinator recorded the final stage while its stop was unanswered.
#[test]
fn inherited_run_of_a_finished_job_is_stopped() {
    for stage in [Stage::Cancelled, Stage::Failed, Stage::Completed] {
        let takeover = Takeover { renewals_end: START, at: START };
        let mut bench = Bench::after(config(), takeover);
        bench.coordinator.worker_listed(worker("w1"), bench.now);
        let on = Some(("w1".into(), 7));
        let tasks = vec![TaskRecord { run: 4, on, ..TaskRecord::default() }];
        let record = JobRecord { stage, tasks, ..JobRecord::default() };
        let spec = Arc::new(job(vec![step(1)]));
        bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
        bench.report("w1", &[(task("j", 0, 0), 4)], &[]);
        assert_eq!(stops(&bench.step()), [(task("j", 0, 0), 4)], "{stage:?}");
    }
}

#[test]
fn lost_stop_is_ordered_again() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    bench.run();
    bench.coordinator.cancel(&"j".into(), bench.now);
    assert_eq!(stops(&bench.step()), [(task("j", 0, 0), 1)]);
    let mut again = Vec::new();
    for _ in 0..3 {
        bench.wait(1_000);
        bench.report("w1", &[(task("j", 0, 0), 1)], &[]);
        again.extend(stops(&bench.step()));
    }
    assert_eq!(again, [(task("j", 0, 0), 1)]);
}

/// Workers without runs are not polled, and a stop may be lost: a worker with an unknown run has to count as busy.
#[test]
fn worker_with_an_unknown_run_is_polled() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    assert!(!bench.coordinator.has_runs("w1"));
    bench.report("w1", &[(task("gone", 0, 0), 1)], &[]);
    assert_eq!(stops(&bench.step()), [(task("gone", 0, 0), 1)]);
    assert!(bench.coordinator.has_runs("w1"));
    bench.report("w1", &[], &[]);
    assert!(!bench.coordinator.has_runs("w1"));
}
