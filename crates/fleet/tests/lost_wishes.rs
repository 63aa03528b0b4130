//! Faults found in the review of an incident: lost orders, and records that a successor adopts without a comparison.

mod common;

use common::{Bench, acknowledged, cores, host, job, list, starts, step, stops, task, worker};
use fuchsiamill_fleet::{
    Ending, RunEnd, Step, WorkerReport,
    coordinator::{Phase, StartReply, WaveRecord},
    worker::Wave,
};
use fuchsiamill_model::FastMap;

fn wave(hosts: &[&str]) -> Wave {
    let hosts = hosts.iter().map(|it| (*it).into()).collect();
    Wave { number: 1, hosts, within_ms: 60_000, at_once: 2 }
}

fn two_hosts(bench: &mut Bench) {
    list(bench, vec![host("h1", "web", Some("w1")), host("h2", "web", Some("w2"))]);
}

/// A run that the coordinator does not know uses capacity as well.
#[test]
fn unknown_run_takes_room() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.report("w1", &[(task("gone", 0, 0), 3)], &[]);
    bench.accept("j", job(vec![Step { size: cores(8), ..step(1) }]));
    assert_eq!(starts(&bench.step()), [], "w1 may have no room while it lists an unknown run");
}

/// The connection that was to send the acknowledgement may have been replaced since.
#[test]
fn end_that_is_listed_again_is_acknowledged_again() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    let mut acknowledged_ends = Vec::new();
    for _ in 0..3 {
        bench.wait(2_000);
        let end = RunEnd {
            number: 1,
            task: task("j", 0, 0),
            run: 1,
            ending: Ending::Done,
            checkpoint: Default::default(),
        };
        let report = WorkerReport {
            asked: bench.now,
            born: 7,
            running: vec![],
            ended: vec![end],
            has_more_ends: false,
        };
        bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
        acknowledged_ends.push(acknowledged(&bench.step()));
    }
    assert_eq!(acknowledged_ends, [Some(1); 3]);
}

/// Both starts were executed but unanswered, and both stops were lost: both tasks run, but each counts as
/// unavailable for the other.
#[test]
fn lost_stops_of_a_step_do_not_block_each_other() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    let spec =
        Step { long_running: true, max_unavailable: Some(1), per_worker: Some(1), ..step(2) };
    bench.accept("j", job(vec![spec]));
    let started = starts(&bench.step());
    assert_eq!(started.len(), 2);
    for (id, run, _) in &started {
        bench.coordinator.start_answered(id, *run, StartReply::Unknown, bench.now);
    }
    bench.step();
    // The starts are sent again, and not answered either.
    for (id, run, on) in &started {
        bench.report(on, &[], &[]);
        bench.coordinator.start_answered(id, *run, StartReply::Unknown, bench.now);
    }
    bench.step();
    bench.wait(2_000);
    for (_, _, on) in &started {
        bench.report(on, &[], &[]);
    }
    assert_eq!(stops(&bench.step()).len(), 2, "neither run is listed");
    for (id, run, _) in &started {
        bench.coordinator.stop_failed(id, *run);
    }
    let mut again = 0;
    for _ in 0..60 {
        bench.wait(1_000);
        for (id, run, on) in &started {
            bench.report(on, &[(id.clone(), *run)], &[]);
        }
        let orders = bench.step();
        again += stops(&orders).len();
        for (id, run) in stops(&orders) {
            bench.coordinator.stop_failed(&id, run);
        }
    }
    let job = bench.coordinator.job("j").expect("a job");
    let phases: Vec<Phase> = job.live_tasks().iter().map(|it| it.1.phase).collect();
    assert!(
        again > 0 || phases.iter().all(|it| *it == Phase::Running),
        "for a minute both are reported as working, {phases:?}, and no stop was ordered"
    );
}

/// The record that a former coordinator stored for a wave does not apply to a new wave with the same number.
#[test]
fn wave_that_was_written_anew_is_not_completed() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    two_hosts(&mut bench);
    let record =
        WaveRecord { begun: vec!["h1".into()], is_completed: true, ..WaveRecord::default() };
    let stored = FastMap::from_iter([(1, record)]);
    bench.coordinator.waves_requested(&[wave(&["h1"])], &stored, bench.now);
    bench.step();
    bench.coordinator.waves_requested(&[wave(&["h1", "h2"])], &stored, bench.now);
    bench.step();
    let records = bench.coordinator.take_wave_records();
    let completed: Vec<bool> = records.iter().map(|it| it.1.is_completed).collect();
    assert_eq!(completed, [false], "h2 has not begun its maintenance");
}
