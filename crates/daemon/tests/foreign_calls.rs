//! Calls of one client account that name the id of another one's job.

mod common;

use std::{thread, time::Duration};

use common::fleet::{Fleet, KEY, OPEN_PREFIX, OTHER_KEY, job};
use http::Method;
use serde_json::Value;

const ID: &str = "5c0e7a21d94b3602";
const NO_KEY: &str = "";

fn fleet() -> Fleet {
    let fleet = Fleet::start(2, 2);
    fleet.configure(2, &["/jobs/", "/other/", OPEN_PREFIX]);
    // Until the configuration is in force everywhere.
    thread::sleep(Duration::from_secs(2));
    fleet
}

/// Sends a request about [`ID`] to a queue; returns the status and the state that was told.
fn call(
    fleet: &Fleet,
    (method, prefix, key): (Method, &str, &str),
    body: Option<&Value>,
) -> (u16, Option<String>) {
    let entry = &fleet.entries[fastrand::usize(0..fleet.entries.len())];
    let answer = entry.send_to(method, &format!("{prefix}{ID}"), body, key).expect("an answer");
    let told = serde_json::from_slice::<Value>(&answer.body).ok();
    let state = told.and_then(|it| it["state"].as_str().map(str::to_owned));
    (answer.status.as_u16(), state)
}

/// A call without a key at an open queue cancelled a team's job of another queue and was told its state.
#[test]
fn call_at_an_open_queue_does_not_reach_jobs_of_other_queues() {
    let fleet = fleet();
    assert_eq!(call(&fleet, (Method::POST, "/jobs/", KEY), Some(&job(1_000, &[2]))).0, 200);
    let gone = (410, None);
    assert_eq!(call(&fleet, (Method::GET, OPEN_PREFIX, NO_KEY), None), gone);
    assert_eq!(call(&fleet, (Method::DELETE, OPEN_PREFIX, NO_KEY), None), gone);
    assert_eq!(call(&fleet, (Method::DELETE, OPEN_PREFIX, OTHER_KEY), None), gone);
    fleet.wait_state(ID, "completed");
}

/// A team cancelled and saw a job that was posted without a key to an open queue.
#[test]
fn team_does_not_reach_jobs_without_a_team_from_its_own_queue() {
    let fleet = fleet();
    assert_eq!(call(&fleet, (Method::POST, OPEN_PREFIX, NO_KEY), Some(&job(1_000, &[2]))).0, 200);
    assert_eq!(call(&fleet, (Method::GET, "/jobs/", KEY), None).0, 410);
    assert_eq!(call(&fleet, (Method::DELETE, "/jobs/", KEY), None).0, 410);
    common::wait_until("the job is completed", || {
        let (status, state) = call(&fleet, (Method::GET, OPEN_PREFIX, NO_KEY), None);
        assert_eq!(status, 200);
        assert_ne!(state.as_deref(), Some("cancelled"));
        state.as_deref() == Some("completed")
    });
}

/// A cancellation that came before any job of its id cancelled the later job of another team.
#[test]
fn early_cancellation_does_not_cancel_another_teams_job() {
    let fleet = fleet();
    assert_eq!(call(&fleet, (Method::DELETE, "/other/", OTHER_KEY), None).0, 410);
    assert_eq!(call(&fleet, (Method::DELETE, OPEN_PREFIX, NO_KEY), None).0, 410);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(call(&fleet, (Method::POST, "/jobs/", KEY), Some(&job(100, &[2]))).0, 200);
    fleet.wait_state(ID, "completed");
}

/// A cancellation that came before its job was lost beside one of another team.
#[test]
fn early_cancellation_cancels_a_job_of_its_own_team() {
    let fleet = fleet();
    assert_eq!(call(&fleet, (Method::DELETE, "/other/", OTHER_KEY), None).0, 410);
    assert_eq!(call(&fleet, (Method::DELETE, "/jobs/", KEY), None).0, 410);
    assert_eq!(call(&fleet, (Method::POST, "/jobs/", KEY), Some(&job(100, &[2]))).0, 200);
    fleet.wait_state(ID, "cancelled");
    assert!(fleet.site.world().runs.is_empty());
}

/// An early cancellation at an open queue was lost in a takeover.
#[test]
fn early_cancellation_at_an_open_queue_cancels_its_job() {
    let fleet = fleet();
    assert_eq!(call(&fleet, (Method::DELETE, OPEN_PREFIX, NO_KEY), None).0, 410);
    fleet.entries[fleet.wait_coordinator()].replace(false);
    fleet.wait_ready();
    assert_eq!(call(&fleet, (Method::POST, OPEN_PREFIX, NO_KEY), Some(&job(100, &[2]))).0, 200);
    common::wait_until("the job is cancelled", || {
        call(&fleet, (Method::GET, OPEN_PREFIX, NO_KEY), None).1.as_deref() == Some("cancelled")
    });
}
