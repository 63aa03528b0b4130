//! An entry host that sends starts for the coordinator sends none too long after a cancellation.

mod common;

use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use common::{
    fleet::{Fleet, OTHER_KEY, job},
    wait_until,
};
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_peer::Link;
use fuchsiamill_standin::{admin::RouteFault, fleet::RunRecord};
use http::Method;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// The time limit of the handed calls, in milliseconds.
const TIME_LIMIT_MS: u64 = 4_000;

/// More than a call takes beyond its permission on a machine that has others to run.
const SLACK_MS: u64 = 1_500;

/// A task that outlasts every test.
const LONG_MS: u64 = 300_000;

/// The worker that a start is meant for.
struct Worker {
    id: String,
    addr: SocketAddr,
    data_centre: String,
}

impl Worker {
    fn of(fleet: &Fleet, host: usize) -> Self {
        let mut world = fleet.site.world();
        let id = world.worker_mut(host).expect("a worker").id.clone();
        let entry = world.rows.value("servers", "", &id).expect("its entry");
        let addr = entry["address"].as_str().and_then(|it| it.parse().ok()).expect("an address");
        let data_centre = format!("dc-{}", host % 3);
        Self { id, addr, data_centre }
    }
}

/// Hands the start of one task to the first entry host, with a permission of `permission_ms` on its clock.
fn hand_over(fleet: &Fleet, worker: &Worker, task: &Value, permission_ms: u64) -> Value {
    fleet.wait_coordinator();
    let lease = fleet.site.world().rows.value("coordinator", "", "lease").expect("a lease");
    let call = |permission: Value| {
        json!({
            "fence": lease["term"], "permission": permission, "time_limit_ms": TIME_LIMIT_MS,
            "starts": [{
                "worker": worker.id, "addr": worker.addr, "data_centre": worker.data_centre,
                "task": task, "run": 1, "deadline_ms": LONG_MS,
            }],
        })
    };
    let peers = fleet.entries[0].peers;
    let reply = async move {
        let link = Link::start(peers);
        let first: Value = link.call("start", &call(Value::Null), PATIENCE).await.expect("a reply");
        let until_ms = first["clock_ms"].as_u64().expect("a time") + permission_ms;
        let permission = json!({ "incarnation": first["incarnation"], "until_ms": until_ms });
        link.call::<Value>("start", &call(permission), PATIENCE).await
    };
    block_on(reply).expect("a reply")
}

fn task_of(id: &str, index: u32) -> Value {
    json!({ "job": id, "occurrence": 0, "step": 0, "index": index })
}

/// The coordinator counts the call, not only its begin, to the time after a cancellation.
#[test]
fn handed_call_ends_with_its_permission() {
    let fleet = Fleet::start(1, 1);
    let id = fleet.accept(&job(LONG_MS, &[1]), PATIENCE).expect("accepted");
    let silent = TcpListener::bind((fleet.entries[0].front.ip(), 0)).expect("a port");
    let addr = silent.local_addr().expect("its address");
    let worker = Worker { id: "silent".into(), addr, data_centre: String::new() };
    let permission_ms = 800;
    let reply = hand_over(&fleet, &worker, &task_of(&id, 0), permission_ms);
    assert_eq!(reply["outcomes"], json!([{ "Replied": "Unknown" }]));
    let took_ms = reply["took_ms"].as_u64().expect("a time");
    assert!(took_ms <= permission_ms + SLACK_MS, "the call took {took_ms} ms");
}

/// The coordinator may hand starts over by an older copy of the jobs.
#[test]
fn start_is_not_sent_after_the_sender_has_answered_the_cancellation() {
    let fleet = Fleet::start(1, 1);
    let id = fleet.accept(&job(LONG_MS, &[1]), PATIENCE).expect("accepted");
    fleet.wait_start(&id);
    let worker = Worker::of(&fleet, 0);
    let handed = |index: u32| hand_over(&fleet, &worker, &task_of(&id, index), TIME_LIMIT_MS);
    assert_eq!(handed(1)["outcomes"], json!([{ "Replied": "Running" }]));
    fleet.site.world().rows.mute_feed = Some("jobs");
    let answer = fleet.entries[0].send(Method::DELETE, &id, None).expect("an answer");
    assert!(answer.status.is_success(), "{}", answer.status);
    assert_eq!(handed(2)["outcomes"], json!([{ "Replied": "NotSent" }]));
    thread::sleep(Duration::from_millis(200));
    let world = fleet.site.world();
    assert!(world.runs.iter().all(|it| !it.task.ends_with(".0.2")), "{:?}", world.runs);
}

/// The coordinator may hand starts over before it has read of an evacuation that the sender knows.
#[test]
fn start_in_a_data_centre_that_the_sender_knows_to_be_evacuated_is_not_sent() {
    let fleet = Fleet::start(1, 1);
    let id = fleet.accept(&job(LONG_MS, &[1]), PATIENCE).expect("accepted");
    fleet.wait_start(&id);
    let worker = Worker::of(&fleet, 0);
    let handed = |index: u32| hand_over(&fleet, &worker, &task_of(&id, index), TIME_LIMIT_MS);
    assert_eq!(handed(1)["outcomes"], json!([{ "Replied": "Running" }]));
    let row = format!("evacuate/{}", worker.data_centre);
    fleet.site.world().rows.put("op", &row, &json!({}));
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(handed(2)["outcomes"], json!([{ "Replied": "NotSent" }]));
    let elsewhere = Worker { data_centre: "elsewhere".into(), ..worker };
    let reply = hand_over(&fleet, &elsewhere, &task_of(&id, 3), TIME_LIMIT_MS);
    assert_eq!(reply["outcomes"], json!([{ "Replied": "Running" }]));
}

/// Another team's post of a known id, whose outcome the store did not tell, replaced the payload that starts are sent with.
#[test]
fn unanswered_post_of_another_team_does_not_replace_the_payload() {
    let fleet = Fleet::start(1, 1);
    let id = fleet.accept(&job(20, &[1]), PATIENCE).expect("accepted");
    fleet.wait_state(&id, "completed");
    fleet.store_fault(0, RouteFault::HoldBack);
    let path = format!("/jobs/{id}");
    let answer =
        fleet.entries[0].send_to(Method::POST, &path, Some(&job(LONG_MS, &[1])), OTHER_KEY);
    assert_eq!(answer.expect("an answer").status.as_u16(), 504);
    fleet.store_fault(0, RouteFault::None);
    let worker = Worker::of(&fleet, 0);
    hand_over(&fleet, &worker, &task_of(&id, 1), TIME_LIMIT_MS);
    wait_until("the run of the accepted job's payload ends", || {
        let world = fleet.site.world();
        let is_done = |it: &RunRecord| it.ended.as_ref().is_some_and(|it| it.1 == "done");
        world.runs.iter().any(|it| it.task.ends_with(".0.1") && is_done(it))
    });
}
