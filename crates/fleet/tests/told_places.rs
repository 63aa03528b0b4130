//! What is told of the places for a waiting step that is to last.

mod common;

use common::{Bench, config, cores, host, job, list, step, worker};
use fuchsiamill_fleet::{
    Ending, JobSpec, Name, Step, Team, WorkerInfo, WorkerState,
    coordinator::{StartReply, StepKey, StepPlaces},
    worker::Wave,
};

fn lasting(count: u32) -> Step {
    Step { long_running: true, ..step(count) }
}

fn key(job: &str) -> StepKey {
    StepKey { job: job.into(), occurrence: 0, step: 0 }
}

/// Returns the places for the only step of a job, of which tasks have to wait.
fn places(bench: &Bench, job: &str) -> StepPlaces {
    let mut waiting = bench.coordinator.waiting_steps(bench.now);
    assert!(waiting.any(|it| it.step == key(job)), "nothing of {job} waits");
    bench.coordinator.places_for(&[&key(job)], bench.now)[0]
}

/// Returns the places for a job that is accepted now and has to wait.
fn places_of(bench: &mut Bench, spec: JobSpec) -> StepPlaces {
    bench.accept("waits", spec);
    bench.step();
    places(bench, "waits")
}

#[test]
fn room_on_a_silent_worker_is_not_told_as_none() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    let told = places_of(&mut bench, job(vec![lasting(2)]));
    assert_eq!(told, StepPlaces { all: 8, silent: 8, ..StepPlaces::default() });
}

#[test]
fn room_on_a_worker_that_has_not_answered_yet_is_not_told_as_none() {
    let mut bench = Bench::new();
    bench.coordinator.worker_listed(worker("w1"), bench.now);
    let told = places_of(&mut bench, job(vec![lasting(2)]));
    assert_eq!(told, StepPlaces { all: 8, silent: 8, ..StepPlaces::default() });
}

#[test]
fn room_on_an_avoided_worker_is_not_told_as_none() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    for id in ["a", "b", "c"] {
        bench.accept(id, job(vec![step(1)]));
        let (task, run, on) = bench.run().remove(0);
        bench.report(&on, &[], &[(task, run, Ending::Failed)]);
    }
    let told = places_of(&mut bench, job(vec![lasting(2)]));
    assert_eq!(told, StepPlaces { all: 8, avoided: 8, ..StepPlaces::default() });
}

/// The host cannot be emptied, since none of its tasks may be stopped.
#[test]
fn room_on_a_drained_host_is_not_told_as_none() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("stays", job(vec![Step { max_unavailable: Some(0), ..lasting(3) }]));
    assert_eq!(bench.run().len(), 3);
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    let hosts: Vec<Name> = vec!["h1".into()];
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: 1 };
    bench.coordinator.waves_requested(&[wave], &Default::default(), bench.now);
    bench.run();
    let told = places_of(&mut bench, job(vec![lasting(2)]));
    assert_eq!(told, StepPlaces { all: 5, reserved: 5, ..StepPlaces::default() });
}

#[test]
fn room_that_unconfirmed_starts_take_is_not_told_as_none() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("starts", job(vec![step(8)]));
    let starts = common::starts(&bench.step());
    assert_eq!(starts.len(), 8);
    for (task, run, _) in &starts[..3] {
        bench.coordinator.start_answered(task, *run, StartReply::Running, bench.now);
    }
    let told = places_of(&mut bench, job(vec![lasting(2)]));
    assert_eq!(told, StepPlaces { all: 5, unconfirmed: 5, ..StepPlaces::default() });
}

#[test]
fn workers_that_could_not_hold_a_task_are_not_told_as_places() {
    let unlike = |id: &str| WorkerInfo { labels: vec!["kind-b".into()], ..worker(id) };
    let mut bench = Bench::new();
    bench.add(unlike("other-label"));
    bench.add(WorkerInfo { pool: "spare".into(), ..worker("other-pool") });
    bench.add(WorkerInfo { state: WorkerState::Draining, ..worker("shuts-down") });
    bench.add(WorkerInfo { capacity: cores(1), ..worker("too-small") });
    let large = Step { size: cores(2), label: Some("kind-a".into()), ..lasting(1) };
    assert_eq!(places_of(&mut bench, job(vec![large])), StepPlaces::default());
}

/// Each worker may have one task of the step, and the free one does not answer.
#[test]
fn worker_with_as_many_tasks_of_the_step_as_may_share_it_is_not_told_as_a_place() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    bench.coordinator.worker_silent(&"w2".into(), bench.now);
    bench.accept("apart", job(vec![Step { per_worker: Some(1), ..lasting(2) }]));
    assert_eq!(bench.run().len(), 1);
    let expected = StepPlaces { all: 1, silent: 1, ..StepPlaces::default() };
    assert_eq!(places(&bench, "apart"), expected);
}

#[test]
fn team_at_its_limit_is_not_told_as_lack_of_places() {
    let mut config = config();
    let team = Team { name: "capped".into(), weight: 1.0, limit: cores(3) };
    config.teams.insert(team.name.clone(), team);
    let mut bench = Bench::with(config);
    bench.add(worker("w1"));
    bench.accept("capped", JobSpec { team: "capped".into(), ..job(vec![lasting(1)]) });
    bench.run();
    assert_eq!(bench.coordinator.limit_percent(&key("capped")), 33);
    let more =
        JobSpec { team: "capped".into(), ..job(vec![Step { size: cores(3), ..lasting(1) }]) };
    let told = places_of(&mut bench, more);
    assert_eq!(told, StepPlaces { all: 2, ..StepPlaces::default() });
    assert_eq!(bench.coordinator.limit_percent(&key("waits")), 33);
}

#[test]
fn team_without_a_limit_is_not_told_as_at_its_limit() {
    let mut bench = Bench::new();
    bench.accept("j", job(vec![lasting(1)]));
    assert_eq!(bench.coordinator.limit_percent(&key("j")), 0);
}
