//! What is told of steps that wait and of runs that wait for leases.

mod common;

use common::{Bench, config, cores, job, step, task, worker};
use fuchsiamill_fleet::{
    JobSpec, Step, Team,
    coordinator::{HeldRuns, WaitReason},
    job::RouteSettings,
};

const LEASE_MS: u64 = 6_170;

/// Returns why the only step of a job waits after it was considered, and for how long.
fn wait(spec: JobSpec) -> Option<(WaitReason, u64)> {
    let mut config = config();
    let team = Team { name: "capped".into(), weight: 1.0, limit: cores(1) };
    config.teams.insert(team.name.clone(), team);
    let mut bench = Bench::with(config);
    bench.add(worker("w1"));
    bench.accept("j", spec);
    bench.run();
    bench.wait(700);
    bench.run();
    bench.coordinator.waiting_steps(bench.now).next().map(|it| (it.reason, it.age_ms))
}

#[test]
fn reason_of_a_wait_names_the_obstacle() {
    let plain = job(vec![step(9)]);
    let apart = job(vec![Step { per_worker: Some(1), ..step(2) }]);
    let label = job(vec![Step { label: Some("kind-z".into()), ..step(1) }]);
    let large = job(vec![Step { size: cores(9), ..step(1) }]);
    let capped = JobSpec { team: "capped".into(), ..job(vec![step(2)]) };
    let route = RouteSettings { advised: true, ..job(Vec::new()).route };
    let advised = JobSpec { route, ..job(vec![step(1)]) };
    let cases = [
        (plain, WaitReason::Room),
        (apart, WaitReason::PerWorker),
        (label, WaitReason::Label),
        (large, WaitReason::Size),
        (capped, WaitReason::TeamLimit),
        (advised, WaitReason::Permit),
    ];
    for (spec, reason) in cases {
        assert_eq!(wait(spec), Some((reason, 700)));
    }
}

#[test]
fn nothing_is_told_of_steps_that_run() {
    assert_eq!(wait(job(vec![step(8)])), None);
}

#[test]
fn runs_of_a_silent_worker_are_told_until_their_leases_have_lapsed() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { long_running: true, ..step(2) }, step(1)]));
    assert_eq!(bench.run().len(), 3);
    let running = [(task("j", 0, 0), 1), (task("j", 0, 1), 1), (task("j", 1, 0), 1)];
    bench.report("w1", &running, &[]);
    assert_eq!(bench.coordinator.held_runs(&"w1".into()), None);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    let held = HeldRuns { runs: 3, long_running: 2, until: bench.now + LEASE_MS };
    assert_eq!(bench.coordinator.held_runs(&"w1".into()), Some(held));
    bench.wait(LEASE_MS + 1);
    bench.step();
    assert_eq!(bench.coordinator.held_runs(&"w1".into()), None);
}

/// A task waits while others of its step are lost and start again.
#[test]
fn wait_of_one_lasting_task_is_told_while_others_of_its_step_start() {
    let mut bench = Bench::new();
    ["w1", "w2", "w3"].into_iter().for_each(|it| bench.add(worker(it)));
    let apart = Step { long_running: true, per_worker: Some(1), ..step(3) };
    bench.accept("j", job(vec![apart]));
    assert_eq!(bench.run().len(), 3);
    for id in ["w3", "w2"] {
        bench.coordinator.worker_dead(&id.into(), 7, bench.now);
        bench.wait(1_000);
        bench.run();
    }
    bench.add(worker("w4"));
    assert_eq!(bench.run().len(), 1);
    bench.wait(1_000);
    bench.run();
    let told = bench.coordinator.waiting_steps(bench.now).next();
    assert!(told.as_ref().is_some_and(|it| it.age_ms >= 2_000), "{told:?}");
}
