//! Answers to orders: lost answers, refusals, and ends that are reported late.

mod common;

use common::{Bench, acknowledged, job, run_info, starts, step, stops, task, worker};
use fuchsiamill_fleet::{
    Ending, Order, Stage, WorkerInfo, WorkerReport, WorkerState,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::Millisecond;

/// A run whose start is not answered and which is not listed is stopped after this time.
const LATE_ORDER_MS: Millisecond = 2_000;

fn one_task() -> (Bench, u32) {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    bench.accept("j", job(vec![step(1)]));
    let started = starts(&bench.step());
    assert_eq!(started.len(), 1);
    (bench, started[0].1)
}

#[test]
fn start_is_recorded_first() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    bench.decide();
    assert!(starts(&bench.coordinator.take_orders()).is_empty());
    let commit = bench.coordinator.next_commit().unwrap();
    assert_eq!(commit.records[0].1.tasks[0].on.as_ref().unwrap().0, "w1");
    assert!(starts(&bench.coordinator.take_orders()).is_empty());
    bench.coordinator.committed(bench.now);
    assert_eq!(starts(&bench.coordinator.take_orders()).len(), 1);
}

#[test]
fn end_is_recorded_first() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Running, bench.now);
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Done)]);
    assert_eq!(acknowledged(&bench.coordinator.take_orders()), None);
    let commit = bench.coordinator.next_commit().unwrap();
    assert_eq!(commit.records[0].1.stage, Stage::Completed);
    assert_eq!(acknowledged(&bench.coordinator.take_orders()), None);
    bench.coordinator.committed(bench.now);
    assert_eq!(acknowledged(&bench.coordinator.take_orders()), Some(1));
}

/// The first order was executed and its answer lost; the second is refused, since the run has ended. The end comes
/// with a later report: nothing may start before it.
#[test]
fn refused_repeat_waits_for_the_end() {
    let (mut bench, run) = one_task();
    let answer = StartReply::Refused(Refusal::Old).after(StartReply::Unknown);
    bench.coordinator.start_answered(&task("j", 0, 0), run, answer, bench.now);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(50);
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Done)]);
    assert!(starts(&bench.step()).is_empty());
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

#[test]
fn refusal_of_a_repeat_says_nothing_of_the_first() {
    for second in [
        StartReply::NotSent,
        StartReply::Unknown,
        StartReply::Refused(Refusal::Room),
        StartReply::Refused(Refusal::Late),
        StartReply::Refused(Refusal::Unhealthy),
    ] {
        assert_eq!(second.clone().after(StartReply::Unknown), StartReply::Unknown);
        assert_eq!(second.clone().after(StartReply::NotSent), second);
    }
    assert_eq!(StartReply::Running.after(StartReply::Unknown), StartReply::Running);
}

#[test]
fn unanswered_start_is_stopped_before_another() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    assert!(starts(&bench.step()).is_empty());
    // The worker reports no run, but the order may still be in flight; the same one may follow it.
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert_eq!(starts(&orders), [(task("j", 0, 0), run, "w1".into())]);
    assert!(stops(&orders).is_empty());
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.wait(LATE_ORDER_MS / 2);
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert!(stops(&orders).is_empty() && starts(&orders).is_empty(), "{orders:?}");
    bench.wait(LATE_ORDER_MS / 2);
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(task("j", 0, 0), run)]);
    assert!(starts(&orders).is_empty());
    bench.report("w1", &[], &[]);
    assert!(starts(&bench.step()).is_empty());
    bench.coordinator.stop_answered(&task("j", 0, 0), run, bench.now);
    bench.report("w1", &[], &[]);
    let again = starts(&bench.step());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, run + 1);
}

/// The report may have overtaken the order: a stop would end a run that is wanted.
#[test]
fn report_that_overtakes_a_start_does_not_end_its_run() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.step();
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert!(stops(&orders).is_empty(), "{orders:?}");
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert!(stops(&orders).is_empty(), "{orders:?}");
    for _ in 0..3 {
        bench.wait(LATE_ORDER_MS);
        bench.report("w1", &[(task("j", 0, 0), run)], &[]);
        let orders = bench.step();
        assert!(stops(&orders).is_empty() && starts(&orders).is_empty(), "{orders:?}");
    }
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Done)]);
    bench.step();
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

/// Only the answer was lost or late: the run is wanted, and its step may not miss it.
#[test]
fn run_whose_start_was_unanswered_is_looked_for_and_kept() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    let orders = bench.step();
    assert!(orders.contains(&Order::Look { worker: "w1".into() }), "{orders:?}");
    assert!(stops(&orders).is_empty() && starts(&orders).is_empty(), "{orders:?}");
    for _ in 0..3 {
        bench.report("w1", &[(task("j", 0, 0), run)], &[]);
        let orders = bench.step();
        assert!(stops(&orders).is_empty() && starts(&orders).is_empty(), "{orders:?}");
    }
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Done)]);
    bench.step();
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

/// The worker may have the run by the first order, whatever becomes of the second.
#[test]
fn refusal_of_a_start_that_was_sent_again_frees_no_room() {
    for second in [
        StartReply::NotSent,
        StartReply::Unknown,
        StartReply::Refused(Refusal::Room),
        StartReply::Refused(Refusal::Late),
        StartReply::Refused(Refusal::Unhealthy),
    ] {
        let (mut bench, run) = one_task();
        bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
        bench.report("w1", &[], &[]);
        assert_eq!(starts(&bench.step()).len(), 1);
        bench.coordinator.start_answered(&task("j", 0, 0), run, second.clone(), bench.now);
        bench.report("w1", &[], &[]);
        let orders = bench.step();
        assert!(starts(&orders).is_empty(), "after {second:?}: {orders:?}");
        bench.report("w1", &[(task("j", 0, 0), run)], &[]);
        let orders = bench.step();
        assert!(stops(&orders).is_empty() && starts(&orders).is_empty(), "{orders:?}");
    }
}

#[test]
fn unanswered_start_is_not_sent_again_to_a_draining_worker() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.step();
    let draining = WorkerInfo { state: WorkerState::Draining, ..worker("w1") };
    bench.coordinator.worker_listed(draining, bench.now);
    bench.report("w1", &[], &[]);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(task("j", 0, 0), run)]);
    assert!(starts(&orders).is_empty(), "{orders:?}");
}

#[test]
fn unanswered_start_of_a_cancelled_job_is_stopped_at_once() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.step();
    bench.coordinator.cancel(&"j".into(), bench.now);
    assert_eq!(stops(&bench.step()), [(task("j", 0, 0), run)]);
}

/// The order may still arrive, at the new life of the worker.
#[test]
fn unanswered_start_is_stopped_on_the_next_incarnation() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.step();
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(task("j", 0, 0), run)]);
    let report = WorkerReport {
        asked: bench.now,
        born: 8,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    assert!(starts(&bench.step()).is_empty());
}

#[test]
fn unanswered_start_is_void_after_its_lease() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    bench.step();
    bench.wait(6_000);
    bench.report("w1", &[], &[]);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(300);
    bench.report("w1", &[], &[]);
    assert_eq!(starts(&bench.step()).len(), 1);
}

#[test]
fn late_start_is_found_running() {
    let (mut bench, run) = one_task();
    bench.report("w1", &[(task("j", 0, 0), run)], &[]);
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Unknown, bench.now);
    assert!(stops(&bench.step()).is_empty());
}

#[test]
fn unknown_run_is_stopped() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    let report = WorkerReport {
        asked: bench.now,
        born: 7,
        running: vec![run_info(&task("other", 0, 0), 3, 10)],
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    assert_eq!(stops(&bench.step()), [(task("other", 0, 0), 3)]);
}

#[test]
fn ended_number_counts_once() {
    let (mut bench, run) = one_task();
    bench.coordinator.start_answered(&task("j", 0, 0), run, StartReply::Running, bench.now);
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Failed)]);
    let failed = bench.run();
    assert_eq!(failed.len(), 1);
    bench.ends -= 1;
    bench.report("w1", &[], &[(task("j", 0, 0), run, Ending::Failed)]);
    let job = bench.coordinator.job("j").unwrap();
    assert_eq!(job.task(&task("j", 0, 0)).unwrap().failures, 1);
}

#[test]
fn too_many_failures_end_the_job() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    for attempt in 1..=3 {
        let started = bench.run();
        assert_eq!(started.len(), 1, "attempt {attempt}");
        let (id, run, on) = started[0].clone();
        bench.report(&on, &[], &[(id, run, Ending::Failed)]);
    }
    assert!(bench.run().is_empty());
    assert_eq!(bench.coordinator.open_jobs(), 0);
}
