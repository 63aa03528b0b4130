//! Order of steps, limits, placement constraints, gangs, schedules and cancellation.

mod common;

use std::sync::Arc;

use common::{Bench, WALL, config, cores, every, job, step, stops, task, worker};
use fuchsiamill_fleet::{
    Ending, Stage, Step,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::WallTime;

#[test]
fn step_waits_for_its_predecessors() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(2), Step { after: vec![0], ..step(1) }]));
    let first = bench.run();
    assert_eq!(first.len(), 2);
    bench.report("w1", &[(first[1].0.clone(), 1)], &[(first[0].0.clone(), 1, Ending::Done)]);
    assert!(bench.run().is_empty());
    bench.report("w1", &[], &[(first[1].0.clone(), 1, Ending::Done)]);
    let second = bench.run();
    assert_eq!(second[0].0, task("j", 1, 0));
    bench.report("w1", &[], &[(second[0].0.clone(), 1, Ending::Done)]);
    bench.run();
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

#[test]
fn stopped_runs_count_until_they_end() {
    let mut config = config();
    config.teams.get_mut("north").unwrap().limit = cores(2);
    let mut bench = Bench::with(config);
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(3)]));
    bench.accept("k", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 2);
    bench.coordinator.cancel(&"j".into(), bench.now);
    let orders = bench.step();
    assert_eq!(stops(&orders).len(), 2);
    assert!(bench.run().is_empty());
    bench.report("w1", &[], &[(task("j", 0, 0), 1, Ending::Stopped)]);
    assert_eq!(bench.run()[0].0, task("k", 0, 0));
}

#[test]
fn worker_is_never_overcommitted() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(20)]));
    assert_eq!(bench.run().len(), 8);
}

#[test]
fn tasks_are_spread_by_the_limit_per_worker() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    bench.accept("j", job(vec![Step { per_worker: Some(1), ..step(3) }]));
    let started = bench.run();
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].2, started[1].2);
}

#[test]
fn label_is_required() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { label: Some("kind-b".into()), ..step(1) }]));
    assert!(bench.run().is_empty());
    let mut other = worker("w2");
    other.labels.push("kind-b".into());
    bench.add(other);
    assert_eq!(bench.run()[0].2, "w2");
}

#[test]
fn gang_starts_whole_or_not() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { gang: true, ..step(10) }]));
    assert!(bench.run().is_empty());
    assert_eq!(bench.coordinator.job("j").unwrap().live, 0);
    bench.add(worker("w2"));
    let started = bench.run();
    assert_eq!(started.len(), 10);
    assert!(started.iter().all(|it| it.1 == started[0].1));
    let (id, run, on) = started[0].clone();
    bench.report(&on, &[], &[(id, run, Ending::Done)]);
    bench.run();
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

/// Placement of a gang is retried when something changes, not continuously.
#[test]
fn gang_without_room_is_not_retried_at_once() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { gang: true, ..step(10) }]));
    bench.run();
    bench.step();
    assert!(!bench.coordinator.has_work());
}

#[test]
fn occurrence_waits_for_its_time() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept(
        "j",
        fuchsiamill_fleet::JobSpec { schedule: Some(every(2, 500)), ..job(vec![step(1)]) },
    );
    assert!(bench.run().is_empty());
    bench.coordinator.tick(bench.now, WallTime(WALL.0 + 1_000));
    assert_eq!(bench.run()[0].0, task("j", 0, 0));
    bench.coordinator.tick(bench.now, WallTime(WALL.0 + 1_500));
    assert_eq!(bench.run()[0].0.occurrence, 1);
    bench.coordinator.tick(bench.now, WallTime(WALL.0 + 9_000));
    assert!(bench.run().is_empty());
}

#[test]
fn cancelled_job_starts_nothing() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.accept("j", job(vec![step(1)]));
    assert!(bench.run().is_empty());
    assert_eq!(bench.coordinator.open_jobs(), 0);
}

#[test]
fn start_of_a_cancelled_job_is_withdrawn() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    bench.decide();
    bench.coordinator.next_commit().unwrap();
    bench.coordinator.cancel(&"j".into(), bench.now);
    bench.coordinator.committed(bench.now);
    assert!(bench.run().is_empty());
}

#[test]
fn waiting_counts_jobs_that_did_not_begin() {
    let mut bench = Bench::new();
    bench.accept("j", job(vec![step(1)]));
    bench.accept("k", job(vec![step(1)]));
    assert_eq!(bench.coordinator.waiting().get("q"), Some(&2));
    bench.add(worker("w1"));
    bench.run();
    assert_eq!(bench.coordinator.waiting().get("q"), None);
    assert_eq!(bench.coordinator.job("j").unwrap().stage, Stage::Running);
}

/// A job whose first start was lost or refused is still waiting.
#[test]
fn waiting_counts_jobs_whose_start_is_not_confirmed() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    for id in ["lost", "refused", "taken"] {
        bench.accept(id, job(vec![step(1)]));
    }
    bench.step();
    assert_eq!(bench.coordinator.waiting().get("q"), Some(&3));
    let mut answer = |id, it| bench.coordinator.start_answered(&task(id, 0, 0), 1, it, bench.now);
    answer("lost", StartReply::Unknown);
    answer("refused", StartReply::Refused(Refusal::Room));
    answer("taken", StartReply::Running);
    assert_eq!(bench.coordinator.waiting().get("q"), Some(&2));
    bench.report("w1", &[(task("lost", 0, 0), 1)], &[(task("taken", 0, 0), 1, Ending::Failed)]);
    assert_eq!(bench.coordinator.waiting().get("q"), Some(&1), "only the refused one");
}

#[test]
fn known_job_is_not_accepted_twice() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    let started = bench.run();
    bench.accept("j", job(vec![step(1)]));
    assert!(bench.run().is_empty());
    bench.report("w1", &[], &[(started[0].0.clone(), 1, Ending::Done)]);
    bench.run();
    bench.coordinator.accept("j".into(), Arc::new(job(vec![step(1)])), None, bench.now, WALL);
    assert!(bench.run().is_empty());
}

#[test]
fn finished_job_expires_once() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    let started = bench.run();
    bench.report("w1", &[], &[(started[0].0.clone(), 1, Ending::Done)]);
    bench.run();
    bench.wait(179_000);
    assert!(bench.coordinator.take_expired(bench.now, 10).is_empty());
    bench.wait(2_000);
    assert_eq!(bench.coordinator.take_expired(bench.now, 10), ["j"]);
    assert!(bench.coordinator.take_expired(bench.now, 10).is_empty());
}

/// A full read of the table of jobs still returns rows that are about to be deleted.
#[test]
fn expiring_job_does_not_start_again() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    bench.report("w1", &[], &[(task("j", 0, 0), 1, Ending::Done)]);
    bench.step();
    bench.wait(200_000);
    assert_eq!(bench.coordinator.take_expired(bench.now, 40), ["j"]);
    bench.accept("j", job(vec![step(1)]));
    bench.report("w1", &[], &[]);
    assert!(bench.run().is_empty());
    bench.coordinator.rows_not_deleted(&["j".into()]);
    assert_eq!(bench.coordinator.take_expired(bench.now, 40), ["j"]);
}
