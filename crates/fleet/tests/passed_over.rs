//! Steps that could start are found, however many others before them cannot start.

mod common;

use std::collections::BTreeMap;

use common::{Bench, WALL, config, cores, job, step, worker};
use fuchsiamill_fleet::{
    Config, Ending, JobSpec, Name, Order, Step, TaskId, Team, WorkerInfo,
    coordinator::{Permit, StartReply, WaitReason},
    job::RouteSettings,
};
use fuchsiamill_model::Resources;

const WORKERS: usize = 20;

/// More steps than a placement used to consider in a pool without room.
const BLOCKED: usize = 45;

const DAY_MS: u64 = 86_400_000;

fn long_running() -> JobSpec {
    job(vec![Step { long_running: true, ..step(1) }])
}

/// Returns a configuration with a team that may run one task at a time.
fn one_at_a_time() -> Config {
    let mut config = config();
    let team = Team { name: "capped".into(), weight: 1_000.0, limit: cores(1) };
    config.teams.insert(team.name.clone(), team);
    config
}

/// Returns whether a long-running task of another team starts at once behind `blocked` jobs.
fn starts_behind(blocked: JobSpec) -> bool {
    let mut bench = Bench::with(one_at_a_time());
    (0..WORKERS).for_each(|it| bench.add(worker(&format!("w{it}"))));
    (0..BLOCKED).for_each(|it| bench.accept(&format!("a{it:03}"), blocked.clone()));
    bench.run();
    (0..BLOCKED).for_each(|it| bench.accept(&format!("b{it:03}"), blocked.clone()));
    bench.accept("last", JobSpec { team: "north".into(), ..long_running() });
    bench.run().iter().any(|it| it.0.job == "last")
}

fn at_most_one(spec: JobSpec) -> JobSpec {
    JobSpec { team: "capped".into(), ..spec }
}

#[test]
fn team_at_its_limit_does_not_hold_back_another_one() {
    assert!(starts_behind(at_most_one(job(vec![step(1)]))));
    assert!(starts_behind(at_most_one(long_running())));
}

#[test]
fn steps_without_a_worker_of_their_label_hold_nothing_back() {
    let label = Some("kind-z".into());
    assert!(starts_behind(job(vec![Step { label, long_running: true, ..step(1) }])));
}

#[test]
fn steps_that_are_too_large_hold_nothing_back() {
    let accelerator = Resources { accelerators: 1, ..cores(1) };
    for size in [cores(64), accelerator] {
        assert!(starts_behind(job(vec![Step { size, long_running: true, ..step(1) }])));
    }
}

#[test]
fn gangs_without_room_hold_nothing_back() {
    let count = WORKERS as u32 + 1;
    let wide = Step { gang: true, size: cores(8), estimate_ms: 1, ..step(count) };
    assert!(starts_behind(job(vec![wide])));
}

/// What its first members took is free again for the steps behind it.
#[test]
fn gang_that_finds_room_for_a_part_holds_nothing_back() {
    let mut bench = Bench::new();
    for (number, kind) in ["kind-a", "kind-a", "kind-b", "kind-b"].into_iter().enumerate() {
        let labels = vec![kind.into(), "rack-1".into()];
        bench.add(WorkerInfo { labels, ..worker(&format!("w{number}")) });
    }
    let wanted = Step { size: cores(8), label: Some("kind-a".into()), ..step(3) };
    bench.accept("gang", job(vec![Step { gang: true, estimate_ms: 1, ..wanted.clone() }]));
    bench.accept("last", job(vec![Step { count: 2, estimate_ms: 60_000, ..wanted }]));
    assert_eq!(bench.run().iter().filter(|it| it.0.job == "last").count(), 2);
}

/// What a gang takes and gives back is stored each time.
#[test]
fn gang_that_finds_room_for_a_part_stores_nothing() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(WorkerInfo { labels: vec!["kind-b".into()], ..worker("w2") });
    let label = Some("kind-a".into());
    bench.accept("gang", job(vec![Step { gang: true, size: cores(8), label, ..step(2) }]));
    bench.run();
    bench.wait(600);
    bench.decide();
    assert!(bench.coordinator.next_commit().is_none_or(|it| it.records.is_empty()));
}

/// Each placement counts what it has placed itself.
#[test]
fn one_placement_does_not_fill_a_worker_beyond_its_capacity() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("a", job(vec![Step { size: cores(5), ..step(3) }]));
    bench.accept("b", job(vec![Step { size: cores(4), ..step(2) }]));
    bench.accept("g", job(vec![Step { size: cores(3), gang: true, ..step(2) }]));
    let taken: u32 = bench
        .run()
        .iter()
        .map(|it| match it.0.job.as_str() {
            "a" => 5,
            "b" => 4,
            _ => 3,
        })
        .sum();
    assert!((1..=8).contains(&taken), "{taken} of 8 cores");
}

#[test]
fn steps_that_wait_for_advice_hold_nothing_back() {
    let spec = long_running();
    let route = RouteSettings { advised: true, ..spec.route.clone() };
    assert!(starts_behind(JobSpec { route, ..spec }));
}

#[test]
fn steps_that_may_not_share_workers_hold_nothing_back() {
    let apart = Step { per_worker: Some(1), long_running: true, ..step(WORKERS as u32 + 5) };
    let mut bench = Bench::new();
    (0..WORKERS).for_each(|it| {
        bench.add(WorkerInfo { capacity: cores(64), ..worker(&format!("w{it}")) });
    });
    (0..BLOCKED).for_each(|it| bench.accept(&format!("a{it:03}"), job(vec![apart.clone()])));
    bench.run();
    bench.accept("last", long_running());
    assert!(bench.run().iter().any(|it| it.0.job == "last"));
}

/// Returns how many tasks of a step that is spread over workers run, where of ten workers `permitted` may run it.
fn advised_tasks(tasks: u32, workers: usize, permitted: usize) -> usize {
    let mut bench = Bench::new();
    (0..workers).for_each(|it| bench.add(worker(&format!("w{it:03}"))));
    let spec = job(vec![Step { per_worker: Some(1), long_running: true, ..step(tasks) }]);
    let route = RouteSettings { advised: true, ..spec.route.clone() };
    bench.accept("j", JobSpec { route, ..spec });
    let mut running: BTreeMap<TaskId, Name> = BTreeMap::new();
    for _ in 0..20 {
        for order in bench.step() {
            match order {
                Order::Advise { step, workers } => {
                    let is_permitted =
                        |it: &&Name| it[1..].parse::<usize>().unwrap() % 10 < permitted;
                    let permit = Permit { ticket: "t".into(), until: bench.now + 3_000 };
                    let permits = workers.iter().filter(is_permitted);
                    let permits = permits.map(|it| (it.clone(), permit.clone())).collect();
                    bench.coordinator.advice_answered(&step, &workers, Some(permits));
                }
                Order::Start { task, run, worker, .. } => {
                    bench.coordinator.start_answered(&task, run, StartReply::Running, bench.now);
                    running.insert(task, worker);
                }
                _ => {}
            }
        }
        bench.wait(500);
        for number in 0..workers {
            let id = format!("w{number:03}");
            let own = running.iter().filter(|it| *it.1 == id).map(|it| (it.0.clone(), 1));
            let own: Vec<_> = own.collect();
            bench.report(&id, &own, &[]);
        }
    }
    running.len()
}

/// Thirty workers with useless permits were asked about again and again.
#[test]
fn full_permitted_workers_do_not_crowd_out_others() {
    for (tasks, permitted) in [(36, 10), (36, 8), (36, 6), (60, 9)] {
        assert_eq!(advised_tasks(tasks, 70, permitted), tasks as usize, "{permitted} of 10");
    }
}

/// Returns the job that gets the only place after the coordinator has been up for this long.
fn first_in_line(up_ms: u64) -> Name {
    let mut bench = Bench::new();
    bench.wait(up_ms);
    bench.add(WorkerInfo { capacity: cores(1), ..worker("w1") });
    bench.accept("a", job(vec![step(1)]));
    let first = bench.run().remove(0);
    bench.accept("short", job(vec![step(4)]));
    bench.accept("last", long_running());
    bench.run();
    bench.report("w1", &[], &[(first.0, first.1, Ending::Done)]);
    bench.run().remove(0).0.job
}

/// Moments were compared with amounts of work.
#[test]
fn rank_of_a_long_running_task_does_not_depend_on_the_uptime() {
    for up_ms in [0, 60_000, 4_000_000, DAY_MS, 30 * DAY_MS] {
        assert_eq!(first_in_line(up_ms), "last", "up for {up_ms} ms");
    }
}

/// The log told of a missing label, and the pool no longer counted as full.
#[test]
fn pool_without_a_worker_that_takes_tasks_lacks_room() {
    let mut bench = Bench::new();
    bench.accept("a", job(vec![Step { size: cores(4), ..step(1) }]));
    bench.accept("b", job(vec![step(1)]));
    bench.run();
    let waiting = bench.coordinator.waiting_steps(bench.now);
    let reasons: Vec<WaitReason> = waiting.map(|it| it.reason).collect();
    assert_eq!(reasons, [WaitReason::Room; 2]);
}

#[test]
fn waiting_tasks_are_considered_again_without_an_event() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![Step { size: cores(64), ..step(1) }]));
    bench.run();
    assert!(!bench.coordinator.has_work());
    bench.wait(600);
    bench.coordinator.tick(bench.now, WALL);
    assert!(bench.coordinator.has_work());
}

/// The tasks of a step that runs all the time lose their workers one after the other.
#[test]
fn lasting_task_that_waits_longest_is_not_passed_over_by_others_of_its_step() {
    let mut bench = Bench::new();
    ["w1", "w2", "w3"].into_iter().for_each(|it| bench.add(worker(it)));
    let apart = Step { long_running: true, per_worker: Some(1), ..step(3) };
    bench.accept("j", job(vec![apart]));
    let placed = bench.run();
    let on = |id: &str| placed.iter().find(|it| it.2 == *id).unwrap().0.clone();
    let lost = [on("w3"), on("w1")];
    for id in ["w3", "w1"] {
        bench.coordinator.worker_dead(&id.into(), 7, bench.now);
        bench.wait(500);
        bench.run();
    }
    bench.add(worker("w4"));
    let started: Vec<_> = bench.run().into_iter().map(|it| it.0).collect();
    assert_eq!(started, lost[..1]);
}

/// A lasting job that was accepted first loses its worker again and again.
#[test]
fn lasting_task_that_waits_longest_is_not_passed_over_by_an_earlier_job() {
    let mut bench = Bench::new();
    ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
    for id in ["early", "late"] {
        bench.accept(id, job(vec![Step { long_running: true, size: cores(8), ..step(1) }]));
        bench.wait(2_000);
    }
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
