//! Steps that need approval by the advice service get their tickets, for all kinds of tasks and also without other
//! events.

mod common;

use common::{Bench, cores, job, starts, step, worker};
use fuchsiamill_fleet::{
    JobSpec, Name, Order, Step, WorkerInfo, WorkerReport,
    coordinator::{Permit, StepKey},
    job::RouteSettings,
};

fn advised(step: Step) -> Bench {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    let spec = job(vec![step]);
    let route = RouteSettings { advised: true, ..spec.route.clone() };
    bench.accept("j", JobSpec { route, ..spec });
    bench
}

fn asked(orders: &[Order]) -> Vec<Vec<Name>> {
    let workers = |it: &Order| match it {
        Order::Advise { workers, .. } => Some(workers.clone()),
        _ => None,
    };
    orders.iter().filter_map(workers).collect()
}

fn answer(bench: &mut Bench, is_answered: bool) {
    let step = StepKey { job: "j".into(), occurrence: 0, step: 0 };
    let permit = Permit { ticket: "t".into(), until: bench.now + 60_000 };
    let permits = vec![("w1".into(), permit)];
    bench.coordinator.advice_answered(&step, &["w1".into()], is_answered.then_some(permits));
}

#[test]
fn answered_question_starts_its_step() {
    let mut bench = advised(step(2));
    assert_eq!(asked(&bench.step()), [["w1"]]);
    answer(&mut bench, true);
    assert_eq!(bench.run().len(), 2);
}

/// The reservation of a gang is released before the advice service is asked about its step.
#[test]
fn gang_is_asked_for() {
    let mut bench = advised(Step { gang: true, ..step(2) });
    assert_eq!(asked(&bench.step()), [["w1"]]);
    answer(&mut bench, true);
    assert_eq!(bench.run().len(), 2);
}

/// Its first members have found permitted workers, the others have not.
#[test]
fn gang_that_is_permitted_for_a_part_is_asked_for_again() {
    let mut bench = advised(Step { gang: true, size: cores(8), ..step(2) });
    bench.add(worker("w2"));
    assert_eq!(asked(&bench.step()), [["w1", "w2"]]);
    let key = StepKey { job: "j".into(), occurrence: 0, step: 0 };
    let permit = Permit { ticket: "t".into(), until: bench.now + 60_000 };
    let workers = ["w1".into(), "w2".into()];
    bench.coordinator.advice_answered(&key, &workers, Some(vec![("w1".into(), permit)]));
    bench.add(worker("w3"));
    assert_eq!(asked(&bench.step()), [["w3"]]);
}

/// No other event triggers placement.
#[test]
fn failed_question_is_asked_again_when_it_is_quiet() {
    let mut bench = advised(step(1));
    assert_eq!(asked(&bench.step()), [["w1"]]);
    answer(&mut bench, false);
    let again = (0..10).any(|_| {
        bench.wait(1_000);
        bench.report("w1", &[], &[]);
        !asked(&bench.step()).is_empty()
    });
    assert!(again, "not asked again within ten seconds");
}

/// A ticket is valid for one incarnation of a worker only.
#[test]
fn ticket_of_a_past_life_is_not_used() {
    let mut bench = advised(step(1));
    assert_eq!(asked(&bench.step()), [["w1"]]);
    answer(&mut bench, true);
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    let (asked_at, empty) = (bench.now, Vec::new());
    let report = WorkerReport {
        asked: asked_at,
        born: 8,
        ended: empty,
        running: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    let orders = bench.step();
    assert!(starts(&orders).is_empty(), "{orders:?}");
    assert_eq!(asked(&orders), [["w1"]]);
}
