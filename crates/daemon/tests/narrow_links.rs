//! Entry hosts with narrow links: accepted work is finished, and nobody sends a start without a permission.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_peer::Link;
use fuchsiamill_standin::fleet::NarrowLinks;
use serde_json::{Value, json};

/// `finish_s` of the platform: accepted work is finished this long after the last job.
const FINISH_TIME: Duration = Duration::from_secs(14);

const PATIENCE: Duration = Duration::from_secs(20);

/// The bandwidth of each entry host: the payloads of [`JOBS`] take one such link half a minute.
const LINK_BYTES_PER_S: u32 = 200_000;

const JOBS: usize = 180;

/// The length of a payload in bytes; the platform allows a little more.
const PAYLOAD_BYTES: usize = 4_000;

/// A job of short tasks with a long payload.
fn bulky_job() -> Value {
    let mut job = job(100, &[8]);
    job["spec"] = json!(format!("{:x<PAYLOAD_BYTES$}", "ms=100="));
    job
}

/// Hands the start of the first task of a job to an entry host, as a coordinator does. Returns its reply.
fn hand_over(fleet: &Fleet, id: &str, permission: &Value) -> Value {
    let call = json!({
        "fence": 1, "permission": permission, "time_limit_ms": 400,
        "starts": [{
            "worker": "nobody", "addr": fleet.site.store,
            "task": { "job": id, "occurrence": 0, "step": 0, "index": 0 },
            "run": 1, "deadline_ms": 1,
        }],
    });
    let peers = fleet.entries[0].peers;
    let reply = async move { Link::start(peers).call::<Value>("start", &call, PATIENCE).await };
    block_on(reply).expect("a reply")
}

/// A permission may have ended while its sender was paused, or belong to a former process of the entry host.
#[test]
fn start_without_a_permission_is_not_sent() {
    let fleet = Fleet::start(1, 1);
    let id = fleet.accept(&job(100, &[1]), PATIENCE).expect("accepted");
    let first = hand_over(&fleet, &id, &Value::Null);
    assert_eq!(first["outcomes"], json!(["NotSent"]));
    let (incarnation, clock) = (&first["incarnation"], first["clock_ms"].as_u64().expect("a time"));
    let until = |incarnation: u64, until_ms: u64| json!({ "incarnation": incarnation, "until_ms": until_ms });
    let own = incarnation.as_u64().expect("a number");
    for ended in [until(own, clock), until(own + 1, clock + 60_000)] {
        let reply = hand_over(&fleet, &id, &ended);
        assert_eq!(reply["outcomes"], json!(["NotSent"]), "{ended}");
    }
    let reply = hand_over(&fleet, &id, &until(own, clock + 60_000));
    assert_ne!(reply["outcomes"], json!(["NotSent"]));
}

/// The coordinator waits for the frozen sender and then starts the work itself; nothing runs twice when the other one
/// goes on.
#[test]
fn frozen_sender_costs_no_work() {
    let fleet = Fleet::start_on(4, 12, |world| {
        world.links = Some(NarrowLinks::new(LINK_BYTES_PER_S));
    });
    fleet.wait_known();
    let coordinator = fleet.wait_coordinator();
    for _ in 0..60 {
        fleet.accept(&bulky_job(), PATIENCE).expect("accepted");
    }
    wait_until("starts are handed over", || {
        fleet.entries[coordinator].metrics().contains("outcome=\"answered\"")
    });
    let frozen = (coordinator + 1) % fleet.entries.len();
    fleet.entries[frozen].signal("STOP");
    thread::sleep(Duration::from_secs(4));
    fleet.entries[frozen].signal("CONT");
    fleet.check();
}

/// Tests that fail because of a known fault, see KNOWN-RED.txt.
mod known_red {
    use super::*;

    /// One link cannot carry the starts, all links together can.
    #[test]
    fn accepted_work_is_finished_over_narrow_links() {
        let fleet = Fleet::start_on(6, 12, |world| {
            world.links = Some(NarrowLinks::new(LINK_BYTES_PER_S));
        });
        fleet.wait_known();
        for _ in 0..JOBS {
            fleet.accept(&bulky_job(), PATIENCE).expect("accepted");
        }
        let posted = Instant::now();
        fleet.check();
        let took = posted.elapsed();
        assert!(took <= FINISH_TIME, "finished {took:?} after the last job");
    }
}
