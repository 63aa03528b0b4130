//! Ends of runs whose jobs' rows cannot be read.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, acknowledged, job, starts, step, task, worker};
use fuchsiamill_fleet::{
    Ending, JobRecord, JobSpec, Name, RunEnd, TaskRecord, WorkerReport, coordinator::Takeover,
};

/// The record that a former coordinator left of a run on `w1`.
fn record() -> JobRecord {
    let on = Some((Name::from("w1"), 7));
    let run = TaskRecord { run: 1, on, ..TaskRecord::default() };
    JobRecord { tasks: vec![run], ..JobRecord::default() }
}

/// A successor that cannot read the row of `j`, and knows `k`.
fn successor() -> Bench {
    let mut bench = Bench::after(common::config(), Takeover { renewals_end: START, at: START });
    bench.coordinator.job_unreadable(&"j".into());
    bench.coordinator.accept("k".into(), spec(), Some(&record()), bench.now, WALL);
    bench.add(worker("w1"));
    bench
}

fn spec() -> Arc<JobSpec> {
    Arc::new(job(vec![step(1)]))
}

fn report(bench: &mut Bench, jobs: &[&str]) {
    bench.wait(100);
    let ended = (1..).zip(jobs).map(|(number, id)| RunEnd {
        number,
        task: task(id, 0, 0),
        run: 1,
        ending: Ending::Done,
        checkpoint: Name::default(),
    });
    let ended: Vec<RunEnd> = ended.collect();
    let report =
        WorkerReport { asked: bench.now, born: 7, running: vec![], ended, has_more_ends: false };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
}

/// The end was acknowledged without a record, and a coordinator that read the row started the task again.
#[test]
fn end_is_not_acknowledged_while_its_job_cannot_be_read() {
    let mut bench = successor();
    report(&mut bench, &["k", "j"]);
    assert_eq!(acknowledged(&bench.step()), Some(1));
    bench.coordinator.accept("j".into(), spec(), Some(&record()), bench.now, WALL);
    report(&mut bench, &["k", "j"]);
    let orders = bench.step();
    assert_eq!(acknowledged(&orders), Some(2));
    assert!(starts(&orders).is_empty(), "a done task is started again");
}

/// The ends of a job that is gone were listed for ever.
#[test]
fn end_is_acknowledged_once_the_row_is_gone() {
    let mut bench = successor();
    report(&mut bench, &["j"]);
    assert_eq!(acknowledged(&bench.step()), None);
    bench.coordinator.job_row_removed(&"j".into());
    report(&mut bench, &["j"]);
    assert_eq!(acknowledged(&bench.step()), Some(1));
}

/// A worker lists a bounded number of ends: those that are held must not keep the others from being listed.
#[test]
fn many_held_ends_are_acknowledged() {
    let mut bench = successor();
    report(&mut bench, &["j"; 99]);
    assert_eq!(acknowledged(&bench.step()), None);
    report(&mut bench, &["j"; 100]);
    assert_eq!(acknowledged(&bench.step()), Some(100));
}
