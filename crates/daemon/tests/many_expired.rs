//! Jobs that are over, and cancellations of jobs that never come, are dropped after a while, whatever their number.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, OTHER_KEY, job, lasting_job},
    wait_until,
};
use fuchsiamill_site::tables;
use http::Method;

const PATIENCE: Duration = Duration::from_secs(20);

/// `status-s` of one second, the minute that is added to it, and some more.
const KEPT: Duration = Duration::from_secs(69);

/// How long jobs are kept after their end.
const RETENTION: Duration = Duration::from_secs(61);

/// The jobs that are deleted while their table is read, spread over its partitions.
const JOBS_READ: usize = 40;

/// How long before the deletions the reads begin.
const READ_LEAD: Duration = Duration::from_secs(2);

/// How late each answer of a read is. The 64 partitions are read 8 at a time.
const READ_DELAY: Duration = Duration::from_millis(200);

/// How long a read of the table takes, with some more.
const READ_TIME: Duration = Duration::from_secs(3);

/// The pause between the losses of the feed's history, so that reads of the whole table follow one another.
const HISTORY_PAUSE: Duration = Duration::from_millis(100);

/// More than fit into one change of the store.
const JOBS: usize = 150;

/// A coordinator counts from its takeover for all jobs that are over by then: their rows are due at once.
#[test]
fn jobs_that_expire_together_block_all_changes() {
    let fleet = Fleet::start_with(2, 4, "status-s = 1\n", |_| {});
    for _ in 0..JOBS {
        fleet.accept(&job(20, &[1]), PATIENCE).expect("accepted");
    }
    fleet.check();
    let leader = fleet.wait_coordinator();
    fleet.entries[leader].replace(false);
    fleet.wait_ready();
    thread::sleep(KEPT);
    let id = fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
    fleet.wait_state(&id, "completed");
}

/// A read of all rows that began before jobs were deleted brought them back after they were forgotten, and they ran again.
#[test]
fn rows_that_were_read_before_their_deletion_bring_jobs_back() {
    let fleet = Fleet::start_with(1, 4, "status-s = 1\n", |_| {});
    let begun = Instant::now();
    for _ in 0..JOBS_READ {
        fleet.accept(&job(20, &[1]), PATIENCE).expect("accepted");
    }
    fleet.check();
    thread::sleep(RETENTION.saturating_sub(READ_LEAD + begun.elapsed()));
    fleet.site.world().rows.slow_reads = Some(("jobs", READ_DELAY));
    wait_until("the jobs are deleted", || {
        fleet.site.world().rows.forget_history();
        thread::sleep(HISTORY_PAUSE);
        fleet.site.world().rows.keys("jobs").is_empty()
    });
    thread::sleep(READ_TIME);
    fleet.site.world().rows.slow_reads = None;
    // The state of everything is known again, and what came back has begun to run.
    let id = fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
    fleet.wait_state(&id, "completed");
    let world = fleet.site.world();
    assert!(world.twice.is_empty(), "ran twice: {:?}", world.twice);
    assert_eq!(world.runs.len(), JOBS_READ + 1);
}

/// Some of them are known by the feed of jobs, and all are read in a takeover.
#[test]
fn cancellations_without_jobs_pile_up() {
    let fleet = Fleet::start_with(2, 4, "status-s = 1\n", |_| {});
    let leader = fleet.wait_coordinator();
    for number in 0..JOBS {
        let id = format!("{number:016x}");
        let answer = fleet.entries[number % 2].send(Method::DELETE, &id, None).expect("an answer");
        assert_eq!(answer.status.as_u16(), 410);
        if number == JOBS / 2 {
            fleet.entries[leader].replace(false);
            fleet.wait_ready();
        }
    }
    assert_eq!(fleet.site.world().rows.keys("jobs").len(), JOBS);
    thread::sleep(KEPT);
    let left = fleet.site.world().rows.keys("jobs");
    assert!(left.is_empty(), "{left:?}");
}

/// The cancellation of an id that was another team's job kept all others of its partition from being deleted.
#[test]
fn cancellation_beside_another_teams_job_keeps_others_from_being_deleted() {
    const ID: &str = "5c0e7a21d94b3603";
    let fleet = Fleet::start_with(2, 2, "status-s = 1\n", |_| {});
    let ids = (0u64..).map(|it| format!("{it:016x}"));
    let others: Vec<String> =
        ids.filter(|it| tables::job_part(it) == tables::job_part(ID)).take(4).collect();
    for id in others.iter().map(String::as_str).chain([ID]) {
        let path = format!("/jobs/{id}");
        let answer = fleet.entries[0].send_to(Method::DELETE, &path, None, OTHER_KEY);
        assert_eq!(answer.expect("an answer").status.as_u16(), 410);
    }
    let posted = fleet.entries[0].post(ID, &lasting_job(1, 500)).expect("an answer");
    assert!(posted.status.is_success());
    // A takeover gives all cancellations the same age.
    fleet.entries[fleet.wait_coordinator()].replace(false);
    fleet.wait_ready();
    thread::sleep(KEPT);
    let left = fleet.site.world().rows.keys("jobs");
    let left: Vec<_> = left.iter().filter(|it| !it.contains(ID)).collect();
    assert!(left.is_empty(), "{left:?}");
}
