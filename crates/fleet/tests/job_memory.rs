//! The memory that a job takes in the coordinator.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{Bench, START, WALL, cores, job, step, task, worker};
use fuchsiamill_fleet::{
    DoneRange, Ending, JobRecord, JobSpec, Schedule, Step, TaskId, TaskRecord, WorkerInfo,
    coordinator::Takeover,
};
use fuchsiamill_model::{Resources, units::WallTime};

const STEPS: u16 = 130;
const WIDE: u32 = 10_000;

/// Room for the tasks that run at a time.
const ROOM: u32 = 300;

/// Bytes for each task that runs, and for all else of a job.
const TASK_BYTES: usize = 1_600;
const JOB_BYTES: usize = 400_000;

/// Bytes for each occurrence that is done, beside room for growth.
const OCCURRENCE_BYTES: usize = 48;

fn small_step(count: u32) -> Step {
    let size = Resources { millicores: 1_000, memory_mib: 1, accelerators: 0 };
    Step { size, ..step(count) }
}

fn chain(steps: u16, count: u32) -> JobSpec {
    let after = |it: u16| it.checked_sub(1).into_iter().collect();
    job((0..steps).map(|it| Step { after: after(it), ..small_step(count) }).collect())
}

fn scheduled(times: u32) -> JobSpec {
    let schedule = Some(Schedule { times, first: WallTime(1), interval_ms: 1 });
    JobSpec { schedule, ..job(vec![small_step(1)]) }
}

fn bench() -> Bench {
    let mut bench = Bench::new();
    bench.add(large_worker());
    bench
}

fn large_worker() -> WorkerInfo {
    WorkerInfo { capacity: cores(ROOM), ..worker("w1") }
}

/// Runs what can be started, and ends it.
fn play_round(bench: &mut Bench) -> Vec<TaskId> {
    let started = bench.run();
    let ended: Vec<_> = started.into_iter().map(|(id, run, _)| (id, run, Ending::Done)).collect();
    bench.wait(50);
    bench.report("w1", &[], &ended);
    ended.into_iter().map(|it| it.0).collect()
}

fn state_bytes(bench: &Bench) -> usize {
    bench.coordinator.job("j").expect("an open job").state_bytes()
}

/// Each coordinator in turn exceeded its memory with a chain of steps of which one can run.
#[test]
fn steps_that_may_not_run_yet_take_no_memory_for_their_tasks() {
    let mut bench = bench();
    bench.accept("j", chain(STEPS, WIDE));
    assert!(state_bytes(&bench) < JOB_BYTES, "{} bytes", state_bytes(&bench));
    for _ in 0..5 {
        assert_eq!(play_round(&mut bench).len(), ROOM as usize);
        let bytes = state_bytes(&bench);
        assert!(bytes < JOB_BYTES + ROOM as usize * TASK_BYTES, "{bytes} bytes");
    }
}

/// Memory of done steps was kept until the end of their job.
#[test]
fn done_steps_take_no_memory_for_their_tasks() {
    let mut bench = bench();
    bench.accept("j", chain(40, ROOM));
    for round in 0..40 {
        let bytes = state_bytes(&bench);
        assert!(bytes < 40_000, "{bytes} bytes after {round} steps");
        let ran: BTreeSet<u16> = play_round(&mut bench).iter().map(|it| it.step).collect();
        assert_eq!(ran, BTreeSet::from([round]));
    }
    bench.step();
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

/// Half-done steps that may all run took memory for all of their tasks.
#[test]
fn parallel_steps_take_memory_for_what_runs() {
    let mut bench = bench();
    bench.accept("j", job((0..STEPS).map(|_| small_step(WIDE)).collect()));
    for _ in 0..5 {
        play_round(&mut bench);
    }
    let bytes = state_bytes(&bench);
    assert!(bytes < JOB_BYTES + ROOM as usize * TASK_BYTES, "{bytes} bytes");
}

/// A takeover made one entry for each done task.
#[test]
fn takeover_keeps_done_tasks_as_ranges() {
    let spec = chain(STEPS, WIDE);
    let done = |step| DoneRange { occurrence: 0, step, first: 0, count: WIDE };
    let row = JobRecord { done: (0..100).map(done).collect(), ..JobRecord::default() };
    let text = serde_json::to_string(&row).unwrap();
    let read: JobRecord = serde_json::from_str(&text).unwrap();
    let record = JobRecord::merge(&[(0, read)], &spec).unwrap();
    assert_eq!((record.tasks.len(), record.done.len()), (0, 100));
    let mut next = Bench::after(common::config(), Takeover { renewals_end: START, at: START });
    next.coordinator.accept("j".into(), Arc::new(spec), Some(&record), next.now, WALL);
    assert!(state_bytes(&next) < JOB_BYTES, "{} bytes", state_bytes(&next));
    next.add(large_worker());
    let started = play_round(&mut next);
    assert!(started.len() == ROOM as usize && started.iter().all(|it| it.step == 100));
}

/// A done task with a run that goes on is in a range as well; it was neither to start again nor to be lost.
#[test]
fn takeover_keeps_superseded_run_within_a_range() {
    let spec = job(vec![small_step(9)]);
    let text = r#"{"s":"running","w":[["w1",7]],"d":[[0,0,0,9]],"x":[[0,0,4,2,0]]}"#;
    let record: JobRecord = serde_json::from_str(text).unwrap();
    let on = Some(("w1".into(), 7));
    let superseded = TaskRecord { index: 4, run: 2, done: true, on, ..TaskRecord::default() };
    assert_eq!(record.tasks, [superseded]);
    let mut next = Bench::after(common::config(), Takeover { renewals_end: START, at: START });
    next.coordinator.accept("j".into(), Arc::new(spec), Some(&record), next.now, WALL);
    let live = next.coordinator.job("j").unwrap().live_tasks();
    assert_eq!(live.iter().map(|it| it.0.clone()).collect::<Vec<_>>(), [task("j", 0, 4)]);
    next.coordinator.worker_listed(large_worker(), next.now);
    assert!(next.run().is_empty());
}

/// A coordinator made the state of all occurrences that were due, a million of a body of 138 bytes.
#[test]
fn occurrences_that_are_due_are_opened_as_earlier_ones_are_done() {
    let mut bench = bench();
    bench.accept("j", scheduled(100_000));
    assert!(state_bytes(&bench) < JOB_BYTES, "{} bytes", state_bytes(&bench));
    bench.accept("k", scheduled(3_000));
    let bound = JOB_BYTES + ROOM as usize * TASK_BYTES + 100_000 * OCCURRENCE_BYTES;
    let mut ran = BTreeSet::new();
    while let Some(job) = bench.coordinator.job("j").or(bench.coordinator.job("k")) {
        let bytes = job.state_bytes();
        assert!(bytes < bound, "{bytes} bytes");
        for id in play_round(&mut bench).into_iter().filter(|it| it.job == "k") {
            assert!(ran.insert(id.occurrence), "occurrence {} ran twice", id.occurrence);
        }
    }
    assert_eq!(ran, (0..3_000).collect());
}

/// Occurrences that are done kept the state of their steps, and were read back with it.
#[test]
fn done_occurrences_take_no_steps_after_a_takeover() {
    let done = |occurrence| DoneRange { occurrence, step: 0, first: 0, count: 1 };
    let record = JobRecord { done: (0..50_000).map(done).collect(), ..JobRecord::default() };
    let mut next = bench();
    let spec = Arc::new(scheduled(100_000));
    next.coordinator.accept("j".into(), spec, Some(&record), next.now, WALL);
    let bytes = state_bytes(&next);
    assert!(bytes < JOB_BYTES + 50_000 * OCCURRENCE_BYTES, "{bytes} bytes");
    let started: BTreeSet<u32> = play_round(&mut next).iter().map(|it| it.occurrence).collect();
    assert_eq!(started, (50_000..50_000 + ROOM).collect());
}

/// A report of a done task whose step was released changes nothing.
#[test]
fn late_reports_of_released_tasks_change_nothing() {
    let mut bench = bench();
    bench.accept("j", JobSpec { schedule: scheduled(2).schedule, ..chain(2, 2) });
    let first = play_round(&mut bench);
    play_round(&mut bench);
    bench.accept("k", job(vec![small_step(1)]));
    bench.run();
    let late: Vec<_> = first.iter().map(|it| (it.clone(), 1, Ending::Done)).collect();
    bench.report("w1", &[(task("k", 0, 0), 1)], &late);
    let failed: Vec<_> = first.iter().map(|it| (it.clone(), 1, Ending::Failed)).collect();
    bench.report("w1", &[(task("k", 0, 0), 1), (first[0].clone(), 1)], &failed);
    assert!(bench.run().is_empty(), "a done task started again");
}
