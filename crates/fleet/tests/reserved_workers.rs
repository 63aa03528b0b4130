//! Workers that take no new tasks because of an order to their host, or because the host is emptied for one.

mod common;

use common::{Bench, host, job, list, moves, starts, step, worker};
use fuchsiamill_fleet::{
    HostInfo, HostState, WorkerInfo, WorkerReport,
    coordinator::{DutyReply, HostDuty},
};

const HOSTS: usize = 4;

fn hosts(down: Option<usize>) -> Vec<HostInfo> {
    let entry = |number: usize| {
        let up = host(&format!("h{number}"), "web", Some(&format!("w{number}")));
        match down == Some(number) {
            true => HostInfo { state: HostState::Down, worker: None, ..up },
            false => up,
        }
    };
    (0..HOSTS).map(entry).collect()
}

/// Returns a bench that has just ordered a host of the pool 'web' to move, with the number of the host.
fn moving() -> (Bench, usize, HostDuty) {
    let mut bench = Bench::new();
    (0..HOSTS).for_each(|it| bench.add(worker(&format!("w{it}"))));
    list(&mut bench, hosts(None));
    for _ in 0..60 {
        bench.wait(100);
        if let Some((host, pool)) = moves(&bench.step()).first() {
            let number = host[1..].parse().unwrap();
            return (bench, number, HostDuty::Move { pool: pool.as_str().into() });
        }
    }
    panic!("no idle host is moved");
}

/// Starts the worker of a host anew under its id.
fn restart(bench: &mut Bench, number: usize) {
    let id = format!("w{number}");
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker(&id) }, bench.now);
    let (ended, running) = (Vec::new(), Vec::new());
    let report = WorkerReport { asked: bench.now, born: 8, running, ended, has_more_ends: false };
    bench.coordinator.worker_reported(&id.as_str().into(), report, bench.now);
}

/// The host had no worker in the list when its order was refused, so that the worker stayed reserved for ever.
#[test]
fn worker_takes_tasks_again_after_its_crashed_host_refused_a_move() {
    let (mut bench, number, duty) = moving();
    list(&mut bench, hosts(Some(number)));
    let name = format!("h{number}").as_str().into();
    bench.coordinator.host_answered(&name, &duty, DutyReply::Refused, bench.now);
    restart(&mut bench, number);
    list(&mut bench, hosts(None));
    bench.accept("j", job(vec![step(8 * HOSTS as u32)]));
    let on: Vec<_> = starts(&bench.step()).into_iter().map(|it| it.2).collect();
    assert!(on.contains(&format!("w{number}").as_str().into()), "{on:?}");
}

/// An order that may still be carried out ends the worker.
#[test]
fn worker_of_a_host_with_an_unanswered_order_takes_nothing() {
    let (mut bench, number, _) = moving();
    list(&mut bench, hosts(None));
    bench.accept("j", job(vec![step(8 * HOSTS as u32)]));
    let on: Vec<_> = starts(&bench.step()).into_iter().map(|it| it.2).collect();
    assert!(!on.contains(&format!("w{number}").as_str().into()), "{on:?}");
}
