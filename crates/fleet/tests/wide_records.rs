//! The stored progress of jobs of many tasks.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{Bench, START, WALL, cores, every, job, run_info, step, task, worker};
use fuchsiamill_fleet::{
    Ending, JobRecord, JobSpec, Name, RecordKey, RunEnd, Step, TaskRecord, WorkerInfo,
    WorkerReport,
    coordinator::{StartReply, Takeover},
};
use fuchsiamill_model::{Resources, units::WallTime};

/// The bound of a row in the platform's store, in bytes.
const ROW_BYTES: usize = 65_536;

/// The bound of a transaction, whose values are in base64, with some room for all else.
const TX_BYTES: usize = 1_000_000 / 4 * 3 - 50_000;

const WIDE: u32 = 4_500;

type Rows = BTreeMap<Name, Vec<u8>>;

fn large_worker() -> WorkerInfo {
    WorkerInfo { capacity: cores(2_000), ..worker("w1") }
}

fn small_step(count: u32) -> Step {
    let size = Resources { millicores: 20, memory_mib: 1, accelerators: 0 };
    Step { size, checkpoints: true, ..step(count) }
}

/// Stores what the coordinator has to store, and checks the bounds of the store.
fn store(bench: &mut Bench, rows: &mut Rows) {
    while let Some(commit) = bench.coordinator.next_commit() {
        let stored = commit.records.iter();
        let stored: Vec<_> =
            stored.map(|(row, it)| (row.clone(), serde_json::to_vec(it).unwrap())).collect();
        let sum: usize = stored.iter().map(|it| it.1.len()).sum();
        assert!(sum <= TX_BYTES, "{sum} bytes in a transaction");
        for (row, value) in &stored {
            assert!(value.len() <= ROW_BYTES, "row {row} has {} bytes", value.len());
        }
        rows.extend(stored.clone());
        bench.coordinator.committed(bench.now);
        if stored.is_empty() {
            return;
        }
    }
}

/// Starts all tasks, and stores that.
fn start_all(bench: &mut Bench, rows: &mut Rows) {
    bench.decide();
    store(bench, rows);
    for (id, run, _) in common::starts(&bench.coordinator.take_orders()) {
        bench.coordinator.start_answered(&id, run, StartReply::Running, bench.now);
    }
}

fn end_tasks(bench: &mut Bench, indexes: std::ops::Range<u32>) {
    let ended = indexes.clone().map(|index| RunEnd {
        number: u64::from(index) + 1,
        task: task("j", 0, index),
        run: 1,
        ending: Ending::Done,
        checkpoint: Name::default(),
    });
    let running = (indexes.end..WIDE).map(|index| {
        let checkpoint = Name::from("00000bb87a21d94b");
        fuchsiamill_fleet::RunInfo { checkpoint, ..run_info(&task("j", 0, index), 1, 50) }
    });
    bench.wait(100);
    let report = WorkerReport {
        asked: bench.now,
        born: 7,
        running: running.collect(),
        ended: ended.collect(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
}

fn merged(rows: &Rows, spec: &JobSpec) -> JobRecord {
    let read = rows.iter().map(|(row, value)| {
        (RecordKey::from_row_name(row).part, serde_json::from_slice(value).unwrap())
    });
    JobRecord::merge(&read.collect::<Vec<_>>(), spec).expect("there are rows")
}

fn successor(spec: &JobSpec, record: &JobRecord) -> Bench {
    let mut next = Bench::after(common::config(), Takeover { renewals_end: START, at: START });
    next.coordinator.accept("j".into(), Arc::new(spec.clone()), Some(record), next.now, WALL);
    next
}

/// The progress of a wide job outgrew a row of the store, whose transaction was repeated for ever.
#[test]
fn progress_of_a_wide_job_fits_into_the_rows_of_the_store() {
    let mut bench = Bench::new();
    bench.add(large_worker());
    let mut rows = Rows::new();
    bench.accept("j", job(vec![small_step(WIDE)]));
    start_all(&mut bench, &mut rows);
    end_tasks(&mut bench, 0..1_000);
    store(&mut bench, &mut rows);
    let record = merged(&rows, &job(vec![small_step(WIDE)]));
    let tasks = record.all_tasks();
    assert_eq!(tasks.len(), WIDE as usize);
    assert_eq!(tasks.iter().filter(|it| it.done).count(), 1_000);
}

/// One end rewrote the progress of all tasks of its job.
#[test]
fn one_end_of_a_wide_job_rewrites_one_row() {
    let mut bench = Bench::new();
    bench.add(large_worker());
    bench.accept("j", job(vec![small_step(WIDE)]));
    start_all(&mut bench, &mut Rows::new());
    end_tasks(&mut bench, 0..0);
    store(&mut bench, &mut Rows::new());
    end_tasks(&mut bench, 0..1);
    let mut rows = Rows::new();
    store(&mut bench, &mut rows);
    assert_eq!(rows.len(), 1);
}

#[test]
fn next_coordinator_goes_on_with_a_wide_job() {
    let spec = job(vec![small_step(WIDE)]);
    let mut bench = Bench::new();
    bench.add(large_worker());
    let mut rows = Rows::new();
    bench.accept("j", spec.clone());
    start_all(&mut bench, &mut rows);
    end_tasks(&mut bench, 0..700);
    store(&mut bench, &mut rows);
    let mut next = successor(&spec, &merged(&rows, &spec));
    next.coordinator.worker_listed(large_worker(), next.now);
    end_tasks(&mut next, 700..700);
    assert!(next.run().is_empty(), "a task was started again");
    assert_eq!(next.coordinator.job("j").map(|it| it.live), Some(WIDE - 700));
}

/// Former versions stored all tasks in one row.
#[test]
fn wide_job_in_one_row_is_split_and_loses_nothing() {
    let spec = job(vec![small_step(600)]);
    let live =
        |index| TaskRecord { index, run: 3, on: Some(("w1".into(), 7)), ..TaskRecord::default() };
    let record = JobRecord { tasks: (0..600).map(live).collect(), ..JobRecord::default() };
    let value = serde_json::to_vec(&record).unwrap();
    let mut rows = Rows::from([("j".into(), value)]);
    let mut bench = successor(&spec, &merged(&rows, &spec));
    store(&mut bench, &mut rows);
    assert_eq!(rows.keys().collect::<Vec<_>>(), ["j", "j.1", "j.2"]);
    let mut tasks = merged(&rows, &spec).all_tasks();
    tasks.sort_by_key(|it| it.index);
    assert_eq!(tasks, record.tasks);
}

/// A row beyond the first that is stored before the first one is still that of all tasks.
#[test]
fn task_counts_once_while_a_wide_job_is_split() {
    let spec = job(vec![small_step(600)]);
    let done = |index| TaskRecord { index, run: 1, done: true, ..TaskRecord::default() };
    let whole = JobRecord { tasks: (0..600).map(done).collect(), ..JobRecord::default() };
    let last = JobRecord { tasks: (512..600).map(done).collect(), ..JobRecord::default() };
    let record = JobRecord::merge(&[(0, whole), (2, last)], &spec).unwrap();
    assert_eq!(record.all_tasks().len(), 600);
}

#[test]
fn all_rows_of_a_wide_job_are_deleted() {
    let mut bench = Bench::new();
    bench.add(large_worker());
    let mut rows = Rows::new();
    bench.accept("j", job(vec![small_step(600)]));
    start_all(&mut bench, &mut rows);
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.wait(7_000);
    bench.report("w1", &[], &[]);
    store(&mut bench, &mut rows);
    assert!(merged(&rows, &job(vec![small_step(600)])).has_no_tasks());
    bench.wait(200_000);
    let expired = bench.coordinator.take_expired(bench.now, 10);
    let deleted = bench.coordinator.rows_deleted(&expired);
    assert_eq!(deleted, ["j", "j.1", "j.2"]);
    assert!(rows.keys().all(|it| deleted.contains(it)));
}

/// Each occurrence of a scheduled job added to the same row.
#[test]
fn progress_of_many_occurrences_fits_into_the_rows_of_the_store() {
    const TIMES: u32 = 6_000;
    let spec = JobSpec { schedule: Some(every(TIMES, 10)), ..job(vec![small_step(1)]) };
    let done = |occurrence| TaskRecord { occurrence, run: 1, done: true, ..TaskRecord::default() };
    let record = JobRecord { tasks: (0..TIMES).map(done).collect(), ..JobRecord::default() };
    let mut bench = Bench::new();
    let wall = WallTime(WALL.0 + 100_000);
    bench.coordinator.accept("j".into(), Arc::new(spec.clone()), Some(&record), bench.now, wall);
    let mut rows = Rows::new();
    store(&mut bench, &mut rows);
    assert_eq!(merged(&rows, &spec).all_tasks().len(), TIMES as usize);
}
