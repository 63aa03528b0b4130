//! The checkpoints from which the members of a gang start.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{Bench, START, WALL, config, job, run_info, step, task, worker};
use fuchsiamill_fleet::{
    Ending, JobRecord, JobSpec, Name, Order, RunEnd, RunInfo, Stage, Step, TaskRecord, WorkerInfo,
    WorkerReport,
    coordinator::{StartReply, Takeover},
};

const MEMBERS: u32 = 12;

fn gang() -> JobSpec {
    job(vec![Step { gang: true, checkpoints: true, ..step(MEMBERS) }])
}

fn report(bench: &mut Bench, id: &str, running: Vec<RunInfo>, ended: Vec<RunEnd>) {
    bench.wait(1);
    let report = WorkerReport { asked: bench.now, born: 7, running, ended, has_more_ends: false };
    bench.coordinator.worker_reported(&id.into(), report, bench.now);
}

/// The members on a worker, by their starts.
fn members_on(orders: &[Order], on: &str) -> Vec<u32> {
    let member = |it: &Order| match it {
        Order::Start { task, worker, .. } if worker == on => Some(task.index),
        _ => None,
    };
    orders.iter().filter_map(member).collect()
}

fn checkpoints(orders: &[Order]) -> BTreeSet<Name> {
    let checkpoint = |it: &Order| match it {
        Order::Start { checkpoint, .. } => Some(checkpoint.clone()),
        _ => None,
    };
    orders.iter().filter_map(checkpoint).collect()
}

fn saved(members: &[u32], run: u32, checkpoint: &str) -> Vec<RunInfo> {
    let member = |index: &u32| RunInfo {
        checkpoint: checkpoint.into(),
        ..run_info(&task("j", 0, *index), run, 50)
    };
    members.iter().map(member).collect()
}

fn broken(members: &[u32], run: u32, checkpoint: &str) -> Vec<RunEnd> {
    let member = |(number, index): (usize, &u32)| RunEnd {
        number: number as u64 + 1,
        task: task("j", 0, *index),
        run,
        ending: Ending::Broken,
        checkpoint: checkpoint.into(),
    };
    members.iter().enumerate().map(member).collect()
}

/// A gang on two workers.
fn gang_on_two() -> (Bench, [Vec<u32>; 2]) {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    bench.accept("j", gang());
    bench.run();
    let members = ["w1", "w2"].map(|it| members_on(&bench.orders, it));
    assert!(members.iter().all(|it| !it.is_empty()));
    (bench, members)
}

/// The members on a lost worker were started again from an older checkpoint than the others, and never worked together.
#[test]
fn gang_starts_from_one_checkpoint_after_the_loss_of_a_worker() {
    let (mut bench, [first, second]) = gang_on_two();
    report(&mut bench, "w1", saved(&first, 1, "one"), Vec::new());
    report(&mut bench, "w2", saved(&second, 1, "one"), Vec::new());
    bench.coordinator.worker_dead(&"w1".into(), 7, bench.now);
    report(&mut bench, "w2", Vec::new(), broken(&second, 1, "two"));
    bench.add(worker("w3"));
    let orders = bench.step();
    assert_eq!(checkpoints(&orders), BTreeSet::from(["two".into()]));
}

/// A member that reports an older checkpoint later must not take the gang back to it.
#[test]
fn gang_starts_from_the_newest_checkpoint_that_any_member_has_reported() {
    let (mut bench, [first, second]) = gang_on_two();
    report(&mut bench, "w1", saved(&first, 1, "one"), Vec::new());
    report(&mut bench, "w1", saved(&first, 1, "two"), Vec::new());
    report(&mut bench, "w2", saved(&second, 1, "one"), Vec::new());
    bench.coordinator.worker_dead(&"w1".into(), 7, bench.now);
    bench.coordinator.worker_dead(&"w2".into(), 7, bench.now);
    ["w3", "w4"].iter().for_each(|it| bench.add(worker(it)));
    let orders = bench.step();
    assert_eq!(checkpoints(&orders), BTreeSet::from(["two".into()]));
}

/// Former coordinators stored a checkpoint for each member.
#[test]
fn gang_starts_from_one_checkpoint_after_a_takeover() {
    let member = |index| TaskRecord {
        index,
        run: 4,
        checkpoint: if index % 2 == 0 { "one".into() } else { "two".into() },
        ..TaskRecord::default()
    };
    let tasks = (0..MEMBERS).map(member).collect();
    let record = JobRecord { stage: Stage::Running, tasks, ..JobRecord::default() };
    let mut bench = Bench::after(config(), Takeover { renewals_end: START, at: START });
    bench.coordinator.accept("j".into(), Arc::new(gang()), Some(&record), bench.now, WALL);
    let capacity = common::cores(16);
    bench.add(WorkerInfo { capacity, ..worker("w1") });
    let orders = bench.step();
    assert_eq!(members_on(&orders, "w1").len(), MEMBERS as usize);
    assert_eq!(checkpoints(&orders).len(), 1);
}

/// The end of a former run is listed after the gang was started anew; a member that is started again must not go on from it.
#[test]
fn member_that_is_started_again_has_the_checkpoint_of_its_gang() {
    let (mut bench, [first, second]) = gang_on_two();
    report(&mut bench, "w1", saved(&first, 1, "one"), Vec::new());
    report(&mut bench, "w2", saved(&second, 1, "one"), Vec::new());
    bench.coordinator.worker_dead(&"w1".into(), 7, bench.now);
    bench.coordinator.worker_dead(&"w2".into(), 7, bench.now);
    ["w3", "w4"].iter().for_each(|it| bench.add(worker(it)));
    let orders = bench.step();
    let on_third = members_on(&orders, "w3");
    assert!(!on_third.is_empty());
    for index in &on_third {
        let id = task("j", 0, *index);
        bench.coordinator.start_answered(&id, 2, StartReply::Unknown, bench.now);
    }
    report(&mut bench, "w1", Vec::new(), broken(&first, 1, "two"));
    report(&mut bench, "w2", Vec::new(), broken(&second, 1, "two"));
    report(&mut bench, "w3", Vec::new(), Vec::new());
    let orders = bench.step();
    assert_eq!(members_on(&orders, "w3").len(), on_third.len());
    assert_eq!(checkpoints(&orders), BTreeSet::from(["one".into()]));
}
