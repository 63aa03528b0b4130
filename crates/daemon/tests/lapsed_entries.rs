//! A worker that the store has lost sight of, and right after that the coordinator is lost: its tasks go on.

mod common;

use std::{thread, time::Duration};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_standin::fleet::RunRecord;

const PATIENCE: Duration = Duration::from_secs(20);

/// The coordinator hears of the change of the list and stores what it has of the worker.
const PAUSE: Duration = Duration::from_millis(500);

/// Longer than a lost coordinator is replaced (2.7 s) and a lease lasts (6 s).
const WATCHED: Duration = Duration::from_secs(10);

fn runs_of(fleet: &Fleet, id: &str) -> Vec<RunRecord> {
    fleet.site.world().runs.iter().filter(|it| it.task.starts_with(id)).cloned().collect()
}

/// Loses the entry of a worker that runs a task, and then the coordinator.
fn check_goes_on(lose: impl Fn(&Fleet, usize)) {
    let fleet = Fleet::start(3, 4);
    let id = fleet.accept(&job(300_000, &[1]), PATIENCE).expect("accepted");
    wait_until("its task runs", || runs_of(&fleet, &id).len() == 1);
    thread::sleep(PAUSE);
    let run = runs_of(&fleet, &id).remove(0);
    let mut world = fleet.site.world();
    let host = world.host_of(&run.worker).expect("its host");
    world.lapse(host);
    drop(world);
    thread::sleep(PAUSE);
    let leader = fleet.wait_coordinator();
    lose(&fleet, leader);
    thread::sleep(WATCHED);
    let runs = runs_of(&fleet, &id);
    let went_on = runs.len() == 1 && runs[0].ended.is_none();
    if !went_on {
        fleet.print_story(&run.task);
    }
    assert!(fleet.coordinator().is_some_and(|it| it != leader), "the lost one coordinates");
    assert!(went_on, "its lease was not renewed: {runs:?}");
}

#[test]
fn run_on_an_unlisted_worker_lapses_after_its_coordinator_fell_silent() {
    check_goes_on(|fleet, leader| fleet.entries[leader].signal("STOP"));
}

#[test]
fn run_on_an_unlisted_worker_lapses_after_its_coordinator_was_killed() {
    check_goes_on(|fleet, leader| fleet.entries[leader].kill());
}
