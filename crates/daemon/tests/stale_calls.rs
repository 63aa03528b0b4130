//! Calls that are under way to a worker when it ends and starts again under its id.

mod common;

use std::{net::SocketAddr, thread, time::Duration};

use common::net::{self, LoopbackNet};
use fuchsiamill_http::{Request, Response};
use fuchsiamill_standin::fleet::{FleetSite, NarrowLinks};
use http::{HeaderName, HeaderValue, StatusCode};
use serde_json::{Value, json};

/// A call takes some 300 bytes, so that it is under way for three seconds.
const LINK_BYTES_PER_S: u32 = 100;

/// Within this time a call has reached the link.
const SEND_TIME: Duration = Duration::from_millis(1_000);

fn call(addr: SocketAddr, id: &str, path: &str, body: &Value) -> Option<Response> {
    let name = HeaderName::from_static("x-fuchsiamill-expect-instance");
    let value = HeaderValue::from_str(id).expect("an id");
    net::send(addr, Request::post(path, body.to_string()).header(name, value))
}

/// The next life carried out a poll that was sent to the former one over a narrow link, and forgot ends by its count.
#[test]
fn poll_of_the_former_life_does_nothing_in_the_next() {
    let net = LoopbackNet::new();
    let site = FleetSite::start_pools(net.any(), &[("web", 1), ("spare", 0)], "spare");
    let site = site.expect("it starts");
    let (addr, id) = {
        let world = site.world();
        (world.addr(0).expect("it listens"), world.worker(0).expect("it is up").id.clone())
    };
    site.world().links = Some(NarrowLinks::new(LINK_BYTES_PER_S));
    let former = id.clone();
    let poll = json!({ "fence_token": 9, "seen_upto": 9 });
    thread::spawn(move || call(addr, &former, "/hold", &poll));
    thread::sleep(SEND_TIME);
    site.world().rebirth(0);
    // Calls pass the link in turn. A call with this fence is refused after the poll.
    let start =
        json!({ "task": "a.0.0.0", "run": 1, "spec": "", "deadline_ms": 60_000, "fence_token": 1 });
    let answer = call(addr, &id, "/run-start", &start).expect("the next life answers");
    assert_eq!(answer.status, StatusCode::OK, "the next life knows the fence of the poll");
}
