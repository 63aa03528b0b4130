//! Calls that are under way to a worker when it ends and starts again under its id.

mod common;

use std::{thread, time::Duration};

use common::{
    fleet::{send_poll, send_start},
    net::LoopbackNet,
};
use fuchsiamill_standin::fleet::{FleetSite, NarrowLinks};
use http::StatusCode;

/// A call takes some 300 bytes, so that it is under way for three seconds.
const LINK_BYTES_PER_S: u32 = 100;

/// Within this time a call has reached the link.
const SEND_TIME: Duration = Duration::from_millis(1_000);

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
    thread::spawn(move || send_poll(addr, &former, 9, 9));
    thread::sleep(SEND_TIME);
    site.world().rebirth(0);
    // Calls pass the link in turn. A call with this fence is refused after the poll.
    let answer = send_start(addr, &id, "a.0.0.0", 1).expect("the next life answers");
    assert_eq!(answer.status, StatusCode::OK, "the next life knows the fence of the poll");
}
