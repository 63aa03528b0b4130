//! Workers with runs whose list entries lapse, and coordinators that take over from one that knew them.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, config, job, starts, step, task, worker};
use fuchsiamill_fleet::{
    JobRecord, Name, Order, Stage, TaskRecord,
    coordinator::{Takeover, UnlistedWorker},
};

/// Start time of the life that the bench's reports are of.
const BORN: u64 = 7;

/// Longer than a former coordinator may renew leases, and a lease.
const ALL_LEASES_MS: u64 = 18_300;

/// A coordinator that has taken over with a run on `w9`, whose entry has lapsed.
fn inherited() -> Bench {
    let mut bench = Bench::after(config(), Takeover { renewals_end: START + 12_000, at: START });
    bench.add(worker("w2"));
    let record = JobRecord {
        stage: Stage::Running,
        tasks: vec![TaskRecord {
            occurrence: 0,
            step: 0,
            index: 0,
            run: 4,
            failures: 0,
            done: false,
            on: Some(("w9".into(), BORN)),
            checkpoint: Name::default(),
        }],
        ..JobRecord::default()
    };
    let spec = Arc::new(job(vec![step(1)]));
    bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
    bench
}

fn stored(born: u64) -> UnlistedWorker {
    let seen = worker("w9");
    UnlistedWorker { id: seen.id, born, addr: seen.addr, pool: seen.pool, capacity: seen.capacity }
}

fn watches(orders: &[Order], id: &str) -> bool {
    orders.iter().any(|it| matches!(it, Order::Watch { worker } if worker.id == id))
}

#[test]
fn unlisted_worker_that_answers_loses_its_run_after_a_takeover() {
    let mut bench = inherited();
    bench.coordinator.worker_remembered(stored(BORN));
    assert!(watches(&bench.step(), "w9"), "it is not polled");
    bench.report("w9", &[(task("j", 0, 0), 4)], &[]);
    for _ in 0..20 {
        bench.wait(1_000);
        bench.report("w9", &[(task("j", 0, 0), 4)], &[]);
        assert!(starts(&bench.step()).is_empty());
    }
}

#[test]
fn unlisted_worker_that_does_not_answer_releases_its_run_too_soon() {
    let mut bench = inherited();
    bench.coordinator.worker_remembered(stored(BORN));
    bench.coordinator.worker_silent(&"w9".into(), bench.now);
    bench.wait(17_700);
    assert!(bench.run().is_empty());
    bench.wait(ALL_LEASES_MS - 17_700);
    assert_eq!(bench.run().len(), 1);
}

/// What answers at the address of a former life tells nothing of the life that has the run.
#[test]
fn address_of_a_former_life_ends_the_run_of_a_later_one() {
    let mut bench = inherited();
    bench.coordinator.worker_remembered(stored(BORN - 1));
    assert!(!watches(&bench.step(), "w9"), "the former address is polled");
    assert!(bench.run().is_empty());
}

#[test]
fn unlisted_worker_takes_new_tasks_after_a_takeover() {
    let mut bench = inherited();
    bench.coordinator.worker_remembered(stored(BORN));
    bench.report("w9", &[(task("j", 0, 0), 4)], &[]);
    bench.accept("k", job(vec![step(40)]));
    let started = bench.run();
    assert!(!started.is_empty() && started.iter().all(|it| it.2 == "w2"), "{started:?}");
}

#[test]
fn workers_that_leave_the_list_are_not_stored() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    bench.add(worker("w2"));
    assert_eq!(bench.coordinator.take_unlisted_workers(), None);
    // It has no runs, so that it is forgotten.
    bench.coordinator.worker_unlisted(&"w2".into());
    assert_eq!(bench.coordinator.take_unlisted_workers(), None);
    bench.coordinator.worker_unlisted(&"w1".into());
    let taken = bench.coordinator.take_unlisted_workers().expect("one has left the list");
    assert_eq!(taken, [UnlistedWorker { id: "w1".into(), ..stored(BORN) }]);
    bench.coordinator.worker_unlisted(&"w1".into());
    assert_eq!(bench.coordinator.take_unlisted_workers(), None, "stored again and again");
}
