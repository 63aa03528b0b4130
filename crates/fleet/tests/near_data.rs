//! Tasks wait for capacity near their data as long as that saves time.

mod common;

use common::{Bench, cores, host, job, list, moves, starts, step, task, worker};
use fuchsiamill_fleet::{Ending, HostInfo, Name, Step, TaskId, WorkerInfo};

fn in_rack(id: &str, rack: &str) -> WorkerInfo {
    WorkerInfo { labels: vec!["a".into(), rack.into()], ..worker(id) }
}

fn near(rack: &str, count: u32) -> Step {
    Step { rack: Some(rack.into()), ..step(count) }
}

/// Returns a bench where the worker w1 near the data is full and w2 in another rack is empty. Far from their data,
/// tasks take three times as long.
fn near_worker_full() -> Bench {
    let mut bench = Bench::far(300);
    bench.add(in_rack("w1", "r1"));
    bench.add(in_rack("w2", "r2"));
    bench.accept("full", job(vec![near("r1", 8)]));
    let begun = bench.run();
    assert!(begun.iter().all(|it| it.2 == "w1"), "{begun:?}");
    bench
}

fn workers_of(started: &[(TaskId, u32, Name)]) -> Vec<&str> {
    started.iter().map(|it| it.2.as_str()).collect()
}

#[test]
fn task_waits_for_room_near_its_data() {
    let mut bench = near_worker_full();
    bench.accept("j", job(vec![near("r1", 1)]));
    assert!(bench.run().is_empty(), "far away it takes 3 s, and its objective is 2.2 s");
    bench.wait(500);
    let running: Vec<_> = (1..8).map(|it| (task("full", 0, it), 1)).collect();
    bench.report("w1", &running, &[(task("full", 0, 0), 1, Ending::Done)]);
    assert_eq!(workers_of(&bench.run()), ["w1"]);
}

/// After this wait, the task would miss its objective near its data, too.
#[test]
fn task_goes_far_when_waiting_gains_nothing() {
    let mut bench = near_worker_full();
    bench.accept("j", job(vec![near("r1", 1)]));
    assert!(bench.run().is_empty());
    bench.wait(1_150);
    assert!(bench.run().is_empty());
    bench.wait(100);
    assert_eq!(workers_of(&bench.run()), ["w2"]);
}

/// A task with 12.2 s for 6 s of work could wait long, but the wait is limited while there is free capacity.
#[test]
fn wait_is_bounded() {
    let mut bench = near_worker_full();
    let long = Step { estimate_ms: 6_000, ..near("r1", 1) };
    bench.accept("j", job(vec![long]));
    assert!(bench.run().is_empty());
    bench.wait(2_050);
    assert_eq!(workers_of(&bench.run()), ["w2"]);
}

#[test]
fn task_goes_far_at_once_where_no_worker_is_near() {
    let mut bench = near_worker_full();
    bench.accept("j", job(vec![near("r3", 1)]));
    assert_eq!(workers_of(&bench.run()), ["w2"]);
}

/// Tasks that go far although they could wait would use capacity for three times as long.
#[test]
fn waiting_tasks_leave_the_room_to_others() {
    let mut bench = near_worker_full();
    bench.accept("near", job(vec![near("r1", 8)]));
    bench.accept("other", job(vec![step(8)]));
    let started = bench.run();
    assert!(started.iter().all(|it| it.0.job == "other"), "{started:?}");
    assert_eq!(started.len(), 8);
}

#[test]
fn spread_step_starts_in_a_rack_with_room_for_all() {
    let mut bench = Bench::far(300);
    for (id, rack) in [("w1", "r1"), ("w2", "r2"), ("w3", "r2")] {
        bench.add(in_rack(id, rack));
    }
    // The fullest worker is in a rack that has room for four more tasks.
    bench.accept("small", job(vec![near("r1", 4)]));
    bench.run();
    bench.accept("j", job(vec![Step { one_rack: true, ..step(12) }]));
    let started = bench.run();
    assert_eq!(started.len(), 12);
    assert!(started.iter().all(|it| it.2 != "w1"), "{started:?}");
}

/// One task of each job runs far from the data and takes three times as long: its worker must not count as slow.
#[test]
fn worker_far_from_the_data_is_not_slow() {
    let mut bench = Bench::far(300);
    bench.add(in_rack("w1", "r1"));
    bench.add(in_rack("w2", "r2"));
    for id in ["j1", "j2", "j3", "j4"] {
        bench.accept(id, job(vec![Step { size: cores(2), ..near("r1", 5) }]));
        let near = bench.run();
        assert_eq!(workers_of(&near), ["w1"; 4]);
        bench.wait(1_250);
        let far = bench.run();
        assert_eq!(workers_of(&far), ["w2"]);
        let done = |it: &[(TaskId, u32, Name)]| -> Vec<_> {
            it.iter().map(|it| (it.0.clone(), it.1, Ending::Done)).collect()
        };
        bench.report("w1", &[], &done(&near));
        bench.wait(3_800);
        bench.report("w2", &[], &done(&far));
    }
    bench.accept("next", job(vec![near("r2", 1)]));
    assert_eq!(workers_of(&bench.run()), ["w2"]);
}

/// A task on one core far from its data costs as much as two more cores, a quarter of a host.
#[test]
fn little_work_brings_a_near_host_where_far_is_slow() {
    for (far_percent, expected) in [(300, 1), (150, 0)] {
        let mut bench = Bench::far(far_percent);
        for id in ["w1", "w2"] {
            bench.add(in_rack(id, "r1"));
        }
        let spare = HostInfo { labels: vec!["a".into(), "r2".into()], ..host("s", "spare", None) };
        list(&mut bench, vec![host("h1", "web", Some("w1")), host("h2", "web", Some("w2")), spare]);
        bench.accept("j", job(vec![near("r2", 1)]));
        let orders = bench.step();
        assert_eq!(starts(&orders).len(), 1);
        assert_eq!(moves(&orders).len(), expected, "far takes {far_percent} %");
    }
}
