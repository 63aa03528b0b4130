//! Workers that are gone for good, and right after them the coordinator: tasks that last run elsewhere.

mod common;

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_standin::fleet::{Loss, RunRecord};
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// So long after the workers the coordinator is lost: before a poll of them is given up.
const PAUSE: Duration = Duration::from_millis(300);

/// [`PAUSE`], 2.7 s until a lost coordinator is replaced and starts work, two polls unanswered (1 s each, 200 ms between
/// them) and two reads of the list of hosts (400 ms each).
const MOVE_TIME: Duration = Duration::from_millis(6_000);

/// How long a failing test goes on, to tell the time that it took: longer than the coordinator is replaced, the former
/// one may renew leases (12.3 s) and a lease lasts (5.6 s).
const LONGEST_TIME: Duration = Duration::from_secs(25);

const WORKERS: u32 = 6;

const LASTING_TASKS: usize = 4;

/// A job of tasks that outlast the test.
fn lasting_job(tasks: u32, cpu: u32) -> Value {
    let mut job = job(300_000, &[tasks]);
    job["steps"][0]["cpu"] = json!(cpu);
    job
}

fn open_runs(fleet: &Fleet, id: &str) -> Vec<RunRecord> {
    let is_open = |it: &&RunRecord| it.task.starts_with(id) && it.ended.is_none();
    fleet.site.world().runs.iter().filter(is_open).cloned().collect()
}

/// Starts the job and waits until all of its tasks run.
fn start(fleet: &Fleet, job: &Value, tasks: usize) -> String {
    let id = fleet.accept(job, PATIENCE).expect("accepted");
    wait_until("all of its tasks run", || open_runs(fleet, &id).len() == tasks);
    id
}

/// Checks how soon tasks run elsewhere whose workers are lost before `lose` loses the coordinator.
fn check_moved(lose: impl Fn(&Fleet, usize)) {
    let fleet = Fleet::start(3, WORKERS as usize);
    // One task to a worker: none is idle and moved away, and each has room for two of the other job.
    start(&fleet, &lasting_job(WORKERS, 5_000), WORKERS as usize);
    let id = start(&fleet, &lasting_job(LASTING_TASKS as u32, 1_500), LASTING_TASKS);
    thread::sleep(Duration::from_secs(2));
    let leader = fleet.wait_coordinator();
    let busy = open_runs(&fleet, &id);
    let workers: BTreeSet<&String> = busy.iter().map(|it| &it.worker).collect();
    assert!(2 * workers.len() <= WORKERS as usize, "no room elsewhere: {workers:?}");
    let lost = Instant::now();
    for (it, loss) in workers.iter().zip([Loss::Down, Loss::Unlisted].into_iter().cycle()) {
        let mut world = fleet.site.world();
        let host = world.host_of(it).expect("its host");
        world.lose(host, loss);
    }
    thread::sleep(PAUSE);
    lose(&fleet, leader);
    while open_runs(&fleet, &id).len() < LASTING_TASKS && lost.elapsed() < LONGEST_TIME {
        thread::sleep(Duration::from_millis(10));
    }
    let took = lost.elapsed();
    println!("{} workers lost, all run again after {took:.2?}", workers.len());
    if took > MOVE_TIME {
        busy.iter().for_each(|it| fleet.print_story(&it.task));
    }
    assert!(took <= MOVE_TIME, "they ran again after {took:?} of {MOVE_TIME:?}");
    assert!(fleet.coordinator().is_some_and(|it| it != leader), "the lost one coordinates");
    let twice = fleet.site.world().twice.clone();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

#[test]
fn tasks_of_lost_workers_do_not_wait_for_leases_of_a_coordinator_that_fell_silent() {
    check_moved(|fleet, leader| fleet.entries[leader].signal("STOP"));
}

#[test]
fn tasks_of_lost_workers_do_not_wait_for_leases_of_a_coordinator_that_was_killed() {
    check_moved(|fleet, leader| fleet.entries[leader].kill());
}
