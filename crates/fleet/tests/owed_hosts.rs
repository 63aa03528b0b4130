//! While hosts are scarce, pools get hosts for the jobs to which teams are entitled before those beyond a team's
//! weight.

mod common;

use std::sync::Arc;

use common::{Bench, WALL, config, cores, host, job, list, moves, starts, step, worker};
use fuchsiamill_fleet::{
    Config, Ending, HostInfo, JobSpec, Name, Pool, Step, TaskId, Team, WorkerInfo,
    job::RouteSettings,
};
use fuchsiamill_model::{Resources, units::WallTime};

/// Returns a configuration with the pools 'web' and 'draft', and a team that is entitled to one job per second.
fn two_pools() -> Config {
    let mut config = config();
    let pool = Pool { name: "draft".into(), spare: false, health_probe: None };
    config.pools.insert(pool.name.clone(), pool);
    let team = Team { name: "hot".into(), weight: 1.0, limit: Resources::default() };
    config.teams.insert(team.name.clone(), team);
    config
}

fn job_of(team: &str, pool: &str, tasks: u32) -> JobSpec {
    let spec = job(vec![Step { size: cores(8), ..step(tasks) }]);
    let route = RouteSettings { pool: pool.into(), ..spec.route };
    JobSpec { team: team.into(), route, ..spec }
}

fn eight_hosts() -> Vec<HostInfo> {
    let pools = ["web", "web", "web", "web", "web", "web", "draft", "draft"];
    let named = pools.iter().enumerate();
    named.map(|(at, pool)| host(&format!("h{at}"), pool, Some(&format!("w{at}")))).collect()
}

/// Returns a bench with six hosts in 'web' that are full of a team's excess jobs, two in 'draft' and no spare host, and
/// the running tasks.
fn overloaded() -> (Bench, Vec<(TaskId, u32, Name)>) {
    let mut bench = Bench::with(two_pools());
    for seen in eight_hosts() {
        let id = seen.worker.unwrap();
        bench.add(WorkerInfo { pool: seen.pool, ..worker(&id) });
    }
    list(&mut bench, eight_hosts());
    for number in 0..20 {
        bench.accept(&format!("hot-{number}"), job_of("hot", "web", 1));
    }
    let running = bench.run();
    assert_eq!(running.len(), 6);
    // The team was entitled to the first two jobs; after this time they no longer count in the forecast.
    bench.wait(2_100);
    (bench, running)
}

fn end_all(bench: &mut Bench, running: Vec<(TaskId, u32, Name)>) {
    for (task, run, worker) in running {
        bench.report(&worker, &[], &[(task, run, Ending::Done)]);
    }
}

#[test]
fn hosts_of_excess_are_emptied_for_what_is_owed() {
    let (mut bench, running) = overloaded();
    bench.accept("owed", job_of("north", "draft", 4));
    let begun = bench.run();
    assert_eq!(begun.len(), 2, "'draft' has two hosts");
    assert!(moves(&bench.orders).is_empty(), "no task is stopped");
    // When the tasks in 'web' end, three hosts get no more excess jobs and are moved to 'draft'.
    end_all(&mut bench, running);
    let orders = bench.step();
    let moved = moves(&orders);
    assert_eq!(moved.iter().filter(|it| it.1 == "draft").count(), 3, "{moved:?}");
    let more = starts(&orders).into_iter().filter(|it| it.0.job.starts_with("hot-")).count();
    assert_eq!(more, 3, "the others go on with the excess");
}

/// A host that is being emptied stays when the other pool has enough hosts, and takes tasks again.
#[test]
fn emptied_host_stays_when_it_is_no_longer_needed() {
    let (mut bench, running) = overloaded();
    bench.accept("owed", job_of("north", "draft", 4));
    bench.run();
    bench.coordinator.cancel(&"owed".into(), bench.now);
    bench.step();
    end_all(&mut bench, running);
    let orders = bench.step();
    assert!(moves(&orders).iter().all(|it| it.1 != "draft"));
    assert_eq!(starts(&orders).len(), 6);
}

/// The list once lacks the hosts of 'web', while some of them are being emptied and their workers go on.
#[test]
fn emptied_host_that_was_missing_in_the_list_takes_tasks_again() {
    let (mut bench, running) = overloaded();
    bench.accept("owed", job_of("north", "draft", 4));
    bench.run();
    list(&mut bench, eight_hosts().split_off(6));
    bench.step();
    bench.coordinator.cancel(&"owed".into(), bench.now);
    list(&mut bench, eight_hosts());
    bench.step();
    end_all(&mut bench, running);
    assert_eq!(starts(&bench.step()).len(), 6);
}

/// A coordinator that takes over reads all open jobs at once: these are no excess of their teams.
#[test]
fn jobs_of_a_former_coordinator_are_owed() {
    let mut bench = Bench::with(two_pools());
    let later = WallTime(WALL.0 + 5_000);
    for number in 0..20 {
        let spec = Arc::new(job_of("hot", "web", 1));
        bench.coordinator.accept(format!("j{number}").into(), spec, None, bench.now, later);
    }
    let is_excess = |it: &usize| bench.coordinator.job(&format!("j{it}")).unwrap().excess;
    assert_eq!((0..20).filter(is_excess).count(), 0);
}
