//! A placement starts at most as many tasks as it is allowed to.

mod common;

use common::{Bench, cores, job, starts, step, worker};
use fuchsiamill_fleet::{Order, Step, WorkerInfo, coordinator::StartReply};

const MOST: usize = 5;

fn round(bench: &mut Bench) -> Vec<Order> {
    bench.wait(15);
    bench.coordinator.place_at_most(MOST, bench.now);
    while bench.coordinator.next_commit().is_some() {
        bench.coordinator.committed(bench.now);
    }
    let orders = bench.coordinator.take_orders();
    for (id, run, _) in starts(&orders) {
        bench.coordinator.start_answered(&id, run, StartReply::Running, bench.now);
    }
    orders
}

fn bench() -> Bench {
    let mut bench = Bench::new();
    bench.add(WorkerInfo { capacity: cores(64), ..worker("w1") });
    bench
}

#[test]
fn burst_of_starts_is_spread_over_rounds() {
    let mut bench = bench();
    for id in ["a", "b", "c"] {
        bench.accept(id, job(vec![step(4)]));
    }
    let counts: Vec<usize> = (0..4).map(|_| starts(&round(&mut bench)).len()).collect();
    assert_eq!(counts, [5, 5, 2, 0]);
}

/// Members of a gang that wait for others end alone.
#[test]
fn gang_starts_as_a_whole() {
    let mut bench = bench();
    bench.accept("a", job(vec![Step { gang: true, ..step(12) }]));
    assert_eq!(starts(&round(&mut bench)).len(), 12);
}

#[test]
fn nothing_starts_without_room() {
    let mut bench = bench();
    bench.accept("a", job(vec![step(2)]));
    bench.coordinator.place_at_most(0, bench.now);
    assert!(bench.coordinator.next_commit().is_none_or(|it| it.records.is_empty()));
    bench.coordinator.committed(bench.now);
    assert_eq!(starts(&round(&mut bench)).len(), 2);
}
