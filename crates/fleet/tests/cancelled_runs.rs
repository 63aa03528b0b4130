//! Runs of ended jobs are stopped, even if orders to stop them are lost.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, config, job, starts, step, stops, task, worker};
use fuchsiamill_fleet::{
    Cancellation, JobRecord, JobScope, Name, Stage, TaskRecord, Timing, WorkerInfo, WorkerReport,
    coordinator::Takeover,
};

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

/// More cancellations than are dropped at once.
const MANY: usize = 100;

/// The most that are dropped at once.
const MOST: usize = 40;

fn retention_ms() -> u64 {
    Timing::default().retention_ms
}

fn cancel_of_j() -> Cancellation {
    Cancellation { job: "j".into(), scope: JobScope::All }
}

/// The stages that the next change stores.
fn stored(bench: &mut Bench) -> Vec<(Name, Stage)> {
    let records = bench.coordinator.next_commit().unwrap_or_default().records;
    bench.coordinator.committed(bench.now);
    records.into_iter().map(|(id, record)| (id, record.stage)).collect()
}

#[test]
fn job_that_comes_after_its_cancellation_starts_nothing() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.wait(retention_ms() - 1);
    bench.accept("j", job(vec![step(2)]));
    assert_eq!(stored(&mut bench), [("j".into(), Stage::Cancelled)]);
    assert!(bench.run().is_empty());
    assert_eq!((bench.coordinator.open_jobs(), bench.coordinator.early_cancels()), (0, 0));
}

/// The table tells a job before its cancellation, the feed in the order in which they were stored.
#[test]
fn job_whose_cancellation_is_read_in_a_takeover_starts_nothing() {
    for is_cancel_first in [false, true] {
        for has_run in [false, true] {
            let takeover = Takeover { renewals_end: START, at: START };
            let mut bench = Bench::after(config(), takeover);
            bench.coordinator.worker_listed(worker("w1"), bench.now);
            let on = Some(("w1".into(), 7));
            let tasks = vec![TaskRecord { run: 4, on, ..TaskRecord::default() }];
            let record = JobRecord { stage: Stage::Running, tasks, ..JobRecord::default() };
            let record = Some(&record).filter(|_| has_run);
            if is_cancel_first {
                bench.coordinator.cancel(&"j".into(), bench.now);
            }
            let spec = Arc::new(job(vec![step(2)]));
            bench.coordinator.accept("j".into(), spec, record, bench.now, WALL);
            if !is_cancel_first {
                bench.coordinator.cancel(&"j".into(), bench.now);
            }
            let running = [(task("j", 0, 0), 4)];
            let running = if has_run { &running[..] } else { &[] };
            bench.report("w1", running, &[]);
            let orders = bench.step();
            assert_eq!(stops(&orders), running, "{is_cancel_first} {has_run}");
            assert!(starts(&orders).is_empty(), "{is_cancel_first} {has_run}");
            assert_eq!(bench.coordinator.early_cancels(), 0);
        }
    }
}

#[test]
fn cancellations_without_jobs_are_forgotten_in_time() {
    let mut bench = Bench::new();
    (0..MANY).for_each(|it| bench.coordinator.cancel(&format!("{it}").into(), bench.now));
    bench.wait(retention_ms() - 1);
    assert!(bench.coordinator.take_expired_cancels(bench.now, MOST).is_empty());
    bench.coordinator.cancel(&"0".into(), bench.now);
    bench.wait(1);
    let mut left = MANY;
    while left > 0 {
        let taken = bench.coordinator.take_expired_cancels(bench.now, MOST);
        assert_eq!(taken.len(), left.min(MOST));
        bench.coordinator.cancels_deleted(&taken);
        left -= taken.len();
        assert_eq!(bench.coordinator.early_cancels(), left);
    }
}

/// The store refuses to drop the row where the job is there, or does not answer.
#[test]
fn cancellation_whose_row_is_not_deleted_holds() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.wait(retention_ms());
    assert_eq!(bench.coordinator.take_expired_cancels(bench.now, MOST), [cancel_of_j()]);
    assert!(bench.coordinator.take_expired_cancels(bench.now, MOST).is_empty());
    bench.wait(retention_ms());
    assert_eq!(bench.coordinator.take_expired_cancels(bench.now, MOST), [cancel_of_j()]);
    bench.accept("j", job(vec![step(1)]));
    bench.report("w1", &[], &[]);
    assert!(bench.run().is_empty());
    assert_eq!(bench.coordinator.early_cancels(), 0);
}

#[test]
fn cancellation_made_anew_while_its_row_is_deleted_holds() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.wait(retention_ms());
    let taken = bench.coordinator.take_expired_cancels(bench.now, MOST);
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.coordinator.cancels_deleted(&taken);
    assert_eq!(bench.coordinator.early_cancels(), 1);
    bench.accept("j", job(vec![step(1)]));
    bench.report("w1", &[], &[]);
    assert!(bench.run().is_empty());
}

/// Its row is stored after those of its job were dropped, and nobody else would drop it.
#[test]
fn cancellation_beside_the_deletion_of_its_job_is_forgotten_in_time() {
    let mut bench = Bench::new();
    bench.accept("j", job(vec![step(1)]));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.step();
    bench.coordinator.cancel(&"j".into(), bench.now);
    assert_eq!(bench.coordinator.early_cancels(), 0);
    bench.wait(retention_ms());
    assert_eq!(bench.coordinator.take_expired(bench.now, MOST), ["j"]);
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.coordinator.rows_deleted(&["j".into()]);
    bench.wait(retention_ms());
    assert_eq!(bench.coordinator.take_expired_cancels(bench.now, MOST), [cancel_of_j()]);
}

#[test]
fn cancellation_of_a_job_that_is_over_is_not_kept() {
    let mut bench = Bench::new();
    bench.coordinator.cancel(&"j".into(), bench.now);
    let record = JobRecord { stage: Stage::Completed, ..JobRecord::default() };
    let spec = Arc::new(job(vec![step(1)]));
    bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
    assert_eq!(bench.coordinator.early_cancels(), 0);
}

/// The start of a cancelled job is carried out late, by the next life of its worker, which has nothing else to do.
#[test]
fn next_life_is_polled_while_starts_may_be_late() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(starts(&bench.step()).len(), 1);
    assert!(bench.coordinator.worker_dead(&"w1".into(), 7, bench.now));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    let report = |asked| WorkerReport {
        asked,
        born: 8,
        ended: Vec::new(),
        running: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report(bench.now), bench.now);
    assert!(bench.coordinator.has_runs("w1"));
    bench.wait(12_000);
    bench.step();
    assert!(!bench.coordinator.has_runs("w1"));
}

#[test]
fn unlisted_worker_with_an_unknown_run_is_polled() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    assert!(!bench.coordinator.has_runs("w1"));
    bench.report("w1", &[(task("gone", 0, 0), 1)], &[]);
    assert_eq!(stops(&bench.step()), [(task("gone", 0, 0), 1)]);
    bench.coordinator.worker_unlisted(&"w1".into());
    assert!(bench.coordinator.workers().contains_key("w1"));
    assert!(bench.coordinator.has_runs("w1"));
    bench.report("w1", &[], &[]);
    assert!(!bench.coordinator.has_runs("w1"));
}
