//! Health checks of workers.

mod common;

use common::{Bench, config, job, step, task, worker};
use fuchsiamill_fleet::{Ending, Name, Order};

fn bench() -> Bench {
    let mut config = config();
    config.pools.get_mut("web").expect("the pool").health_probe = Some("/health".into());
    let mut bench = Bench::with(config);
    ["w1", "w2", "w3"].into_iter().for_each(|it| bench.add(worker(it)));
    bench
}

/// Returns the workers whose health is asked for in the next step.
fn asked(bench: &mut Bench) -> Vec<Name> {
    let asked = |it: Order| match it {
        Order::AskHealth { worker, path } => {
            assert_eq!(path, "/health");
            Some(worker)
        }
        _ => None,
    };
    let mut workers: Vec<Name> = bench.step().into_iter().filter_map(asked).collect();
    workers.sort();
    workers
}

fn report_health(bench: &mut Bench, worker: &str, is_healthy: bool) -> bool {
    bench.coordinator.worker_health_reported(&worker.into(), 7, is_healthy, bench.now)
}

/// Returns the worker on which the only task of a new job starts.
fn started_on(bench: &mut Bench, id: &str) -> Option<Name> {
    bench.accept(id, job(vec![step(1)]));
    bench.run().first().map(|it| it.2.clone())
}

#[test]
fn workers_are_asked_each_second() {
    let mut bench = bench();
    assert_eq!(asked(&mut bench), ["w1", "w2", "w3"]);
    bench.wait(900);
    assert!(asked(&mut bench).is_empty());
    bench.wait(100);
    assert_eq!(asked(&mut bench).len(), 3);
}

#[test]
fn nobody_is_asked_without_a_path() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    assert!(asked(&mut bench).is_empty());
}

#[test]
fn unhealthy_worker_gets_no_tasks_until_it_recovers() {
    let mut bench = bench();
    assert!(report_health(&mut bench, "w1", false));
    assert_eq!(started_on(&mut bench, "a").as_deref(), Some("w2"));
    bench.wait(1_000);
    assert!(report_health(&mut bench, "w1", false));
    bench.wait(1_000);
    assert_eq!(started_on(&mut bench, "b").as_deref(), Some("w2"));
    assert!(!report_health(&mut bench, "w1", true));
    bench.wait(1_000);
    assert!(bench.coordinator.workers()["w1"].takes_tasks(bench.now));
}

#[test]
fn completed_task_shows_that_a_worker_is_healthy() {
    let mut bench = bench();
    assert_eq!(started_on(&mut bench, "a").as_deref(), Some("w1"));
    assert!(report_health(&mut bench, "w1", false));
    bench.wait(700);
    bench.report("w1", &[], &[(task("a", 0, 0), 1, Ending::Done)]);
    assert!(!report_health(&mut bench, "w1", false), "the completed task contradicts it");
    bench.wait(1_600);
    assert!(bench.coordinator.workers()["w1"].takes_tasks(bench.now));
}

#[test]
fn end_of_an_earlier_task_shows_nothing() {
    let mut bench = bench();
    assert_eq!(started_on(&mut bench, "a").as_deref(), Some("w1"));
    assert!(report_health(&mut bench, "w1", false));
    bench.wait(100);
    bench.report("w1", &[], &[(task("a", 0, 0), 1, Ending::Done)]);
    assert!(report_health(&mut bench, "w1", false));
}

#[test]
fn pool_with_mostly_unhealthy_workers_is_used() {
    let mut bench = bench();
    assert!(report_health(&mut bench, "w1", false));
    assert!(!report_health(&mut bench, "w2", false));
    assert!(!report_health(&mut bench, "w3", false));
    assert!(started_on(&mut bench, "a").is_some());
}

#[test]
fn health_report_of_a_former_incarnation_is_ignored() {
    let mut bench = bench();
    assert!(!bench.coordinator.worker_health_reported(&"w1".into(), 6, false, bench.now));
    assert_eq!(started_on(&mut bench, "a").as_deref(), Some("w1"));
}
