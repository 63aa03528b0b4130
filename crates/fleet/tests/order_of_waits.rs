//! Lasting tasks that wait are passed over by nothing that came to wait later.

mod common;

use common::{
    Bench, WALL, cores, every, job,
    pools::{PoolFleet, job_in, lasting, with_pools},
    starts, step, stops, worker,
};
use fuchsiamill_fleet::{
    JobSpec, Step,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::{Millisecond, WallTime};

/// The maintenance of a host, its move to the pool and a start, with the longest time until a list shows each.
const AWAY_BOUND_MS: Millisecond = 2_000 + 1_500 + 1_500;

fn whole() -> Step {
    Step { long_running: true, size: cores(8), ..step(1) }
}

/// A job with a longer estimate has a later due time, though its task has waited longer.
#[test]
fn lasting_task_is_not_passed_over_by_one_with_a_shorter_estimate() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    bench.accept("early", job(vec![whole()]));
    bench.accept("late", job(vec![Step { estimate_ms: 60_000, ..whole() }]));
    let placed = bench.run();
    for job in ["late", "early"] {
        let on = placed.iter().find(|it| it.0.job == *job).unwrap().2.clone();
        bench.coordinator.worker_dead(&on, 7, bench.now);
        bench.wait(3_000);
        bench.run();
    }
    bench.add(worker("w3"));
    let started: Vec<_> = bench.run().into_iter().map(|it| it.0.job).collect();
    assert_eq!(started, ["late"]);
}

/// Both steps of a job last.
#[test]
fn lasting_task_is_not_passed_over_by_an_earlier_step() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    bench.accept("j", job(vec![whole(), whole()]));
    let placed = bench.run();
    for step in [1, 0] {
        let on = placed.iter().find(|it| it.0.step == step).unwrap().2.clone();
        bench.coordinator.worker_dead(&on, 7, bench.now);
        bench.wait(3_000);
        bench.run();
    }
    bench.add(worker("w3"));
    let started: Vec<_> = bench.run().into_iter().map(|it| it.0.step).collect();
    assert_eq!(started, [1]);
}

/// The start of the task that waits longest is refused, so that nothing ran.
#[test]
fn refused_start_does_not_begin_the_wait_anew() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    bench.accept("j", job(vec![Step { count: 2, ..whole() }]));
    let placed = bench.run();
    for index in [1, 0] {
        let on = placed.iter().find(|it| it.0.index == index).unwrap().2.clone();
        bench.coordinator.worker_dead(&on, 7, bench.now);
        bench.wait(3_000);
        bench.run();
    }
    bench.add(worker("w3"));
    let orders = bench.step();
    let (task, run, on) = common::starts(&orders).remove(0);
    assert_eq!((task.index, &*on), (1, "w3"));
    let refused = StartReply::Refused(Refusal::Unhealthy);
    bench.coordinator.start_answered(&task, run, refused, bench.now);
    bench.wait(500);
    bench.run();
    bench.add(worker("w4"));
    let started: Vec<_> = bench.run().into_iter().map(|it| it.0.index).collect();
    assert_eq!(started, [1]);
}

/// A job at times of day was accepted later, and its due time is that of its acceptance.
#[test]
fn lasting_task_is_not_passed_over_by_scheduled_work() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("lasting", job(vec![whole()]));
    bench.run();
    bench.wait(1_000);
    let times = JobSpec {
        schedule: Some(every(100, 1_000)),
        ..job(vec![Step { size: cores(8), ..step(1) }])
    };
    bench.accept("times", times);
    bench.wait(5_000);
    bench.coordinator.worker_dead(&"w1".into(), 7, bench.now);
    bench.run();
    bench.wait(500);
    bench.coordinator.tick(bench.now, WallTime(WALL.0 + 6_500));
    bench.add(worker("w2"));
    bench.coordinator.place(bench.now);
    let started: Vec<_> = common::starts(&bench.step()).into_iter().map(|it| it.0.job).collect();
    assert_eq!(started, ["lasting"]);
}

/// Spare hosts that come back from one wave are maintained for the next before they are moved to the pool that waits for them.
#[test]
fn spare_hosts_go_to_waiting_lasting_tasks_between_waves() {
    let mut fleet =
        PoolFleet::new(with_pools(&["web"]), &["web", "web", "web", "spare", "spare", "spare"]);
    let apart = Step { per_worker: Some(1), size: cores(6), ..lasting(3, 2) };
    fleet.accept("apart", job_in("web", vec![apart]));
    fleet.play(3_000);
    fleet.longest_idle = (0, None);
    let used: Vec<usize> = (0..6).filter(|it| !fleet.hosts[*it].running.is_empty()).collect();
    let spare: Vec<usize> = (0..6).filter(|it| fleet.hosts[*it].pool == "spare").collect();
    for _ in 0..4 {
        fleet.maintain_these(spare.clone(), 3);
    }
    used.iter().for_each(|it| fleet.lose(*it));
    fleet.play(20_000);
    fleet.assert_runs(AWAY_BOUND_MS);
}

/// Starts of the task that waits longest get no answer, and the worker never has its run.
#[test]
fn lost_start_does_not_begin_the_wait_anew() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    bench.accept("j", job(vec![lasting(2, 8)]));
    let placed = bench.run();
    for index in [1, 0] {
        let on = placed.iter().find(|it| it.0.index == index).unwrap().2.clone();
        bench.coordinator.worker_dead(&on, 7, bench.now);
        bench.wait(3_000);
        bench.run();
    }
    bench.add(worker("w3"));
    for _ in 0..50 {
        let orders = bench.step();
        for (task, run, _) in starts(&orders) {
            assert_eq!(task.index, 1, "the other task, which began to wait later, is started");
            bench.coordinator.start_answered(&task, run, StartReply::Unknown, bench.now);
        }
        for (task, run) in stops(&orders) {
            bench.coordinator.stop_answered(&task, run, bench.now);
        }
        bench.wait(200);
        bench.report("w3", &[], &[]);
    }
}
