//! A backend server never has more connections than it accepts, over all entry hosts together.

mod common;

use std::thread;

use common::{
    Site,
    load::{Load, LoadPlan, Told},
    net, wait_until,
};
use fuchsiamill_http::Request;
use fuchsiamill_standin::site::CONNECTIONS;
use http::{HeaderName, HeaderValue};

const ENTRIES: usize = 8;
const SLOTS: usize = 8;
const SEED: u64 = 20_261_204;
/// Requests between two restarts.
const BETWEEN: usize = 400;

fn site() -> Site {
    Site::of(ENTRIES).pool("rota", 1).team("north", 40).work_ms(50).start()
}

fn most_connections(site: &Site) -> u32 {
    site.backend_record().connections.values().copied().max().unwrap_or_default()
}

/// Sends as many requests at once as the server has slots, through one entry host.
fn burst(site: &Site, entry: usize, request: impl Fn(usize) -> Request + Sync) {
    thread::scope(|scope| {
        for number in 0..SLOTS {
            let request = &request;
            scope.spawn(move || {
                let response = net::send(site.entries[entry].caller, request(number));
                assert_eq!(response.expect("an answer").status, 200);
            });
        }
    });
}

#[test]
fn bursts_through_every_entry_host_in_turn() {
    let site = site();
    let post = || net::with_key(Request::post("/v1/services/rota", "swap"), "north-key");
    (0..ENTRIES).for_each(|entry| burst(&site, entry, |_| post()));
    for entry in 0..ENTRIES {
        burst(&site, entry, |number| {
            let key = HeaderValue::from_str(&format!("{entry}-{number}")).unwrap();
            post().header(HeaderName::from_static("idempotency-key"), key)
        });
    }
    let most = most_connections(&site);
    assert!(most >= SLOTS as u32, "the record counts connections: {most}");
    assert!(most <= CONNECTIONS, "{most} connections were open at once");
}

#[test]
fn load_while_entry_hosts_are_replaced() {
    let mut site = site();
    let plan = LoadPlan {
        entries: site.entries.iter().map(|it| it.caller).collect(),
        services: vec!["rota".into()],
        teams: vec!["north".into()],
        threads: 4,
        once_percent: 30,
        pause_ms: 0,
    };
    let load = Load::start(&plan, SEED);
    for entry in [0, 3, 6] {
        let before = load.count();
        wait_until("the load goes on", || load.count() >= before + BETWEEN);
        site.entries[entry].kill();
        let before = load.count();
        wait_until("the others go on", || load.count() >= before + BETWEEN);
        site.restart(entry);
        site.wait_ready();
    }
    let told = load.stop();
    let answered = told.iter().filter(|it| matches!(it.told, Told::Answer(_))).count();
    let most = most_connections(&site);
    println!("{answered} of {} answered; at most {most} connections", told.len());
    assert!(answered > 0);
    assert!(most <= CONNECTIONS, "{most} connections were open at once");
}
