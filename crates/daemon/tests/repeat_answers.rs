//! A repeat waits for the end of the first request with its key and gets that answer.

mod common;

use std::thread;

use common::{Site, SiteBuilder, net, wait_until};
use fuchsiamill_http::{Request, Response};
use fuchsiamill_standin::{admin::PlatformFault, record::RunEnd};
use http::{HeaderName, HeaderValue};
use serde_json::Value;

const LONG_MS: u64 = 30_000;
const SHORT_MS: u64 = 700;

fn site() -> SiteBuilder {
    Site::of(3).pool("rota", 1).team("north", 40).setting("platform.request-timeout-ms", 500)
}

fn request(key: &str, timeout_ms: u64) -> Request {
    let header = |name| HeaderName::from_static(name);
    net::with_key(Request::post("/v1/services/rota", key.to_owned()), "north-key")
        .header(header("idempotency-key"), HeaderValue::from_str(key).unwrap())
        .header(header("request-timeout-ms"), timeout_ms.into())
}

fn send(site: &Site, entry: usize, request: Request) -> Response {
    net::send(site.entries[entry].caller, request).expect("the entry host answers")
}

fn assert_same(first: &Response, again: &Response) {
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (200, 200), "{again:?}");
    assert_eq!(first.body, again.body);
}

fn assert_duplicate(response: &Response) {
    let document: Value = serde_json::from_slice(&response.body).expect("a problem document");
    assert_eq!(document["title"], "duplicate-request", "{document}");
    assert_eq!(document["run"], "unknown", "{document}");
}

fn runs(site: &Site, key: &str) -> usize {
    site.backend_record().runs.iter().filter(|run| run.body == key).count()
}

/// How many times a host has waited for the end of another's claim.
fn waits(site: &Site, entry: usize) -> u64 {
    let text = site.entries[entry].get("/metrics").expect("metrics").body;
    let text = String::from_utf8_lossy(&text).into_owned();
    let line = text.lines().find(|it| it.contains("\"claim_awaited\""));
    line.and_then(|it| it.split(' ').next_back()).map_or(0, |it| it.parse().expect("a number"))
}

#[test]
fn repeats_through_every_host_wait_for_the_first() {
    let site = site().work_ms(1_000).start();
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&site, 0, request("swap", LONG_MS)));
        wait_until("the first runs", || runs(&site, "swap") == 1);
        let repeats = [0, 1, 2].map(|entry| {
            let site = &site;
            scope.spawn(move || send(site, entry, request("swap", LONG_MS)))
        });
        let first = first.join().unwrap();
        repeats.into_iter().for_each(|it| assert_same(&first, &it.join().unwrap()));
    });
    assert_eq!(runs(&site, "swap"), 1);
}

#[test]
fn a_repeat_right_after_the_answer_gets_it_through_any_host() {
    let site = site().setting("claims.writes-per-second", 1).setting("claims.burst", 1).start();
    for number in 0..6 {
        let key = format!("renewal-{number}");
        let first = send(&site, 0, request(&key, LONG_MS));
        assert_same(&first, &send(&site, 1 + number % 2, request(&key, LONG_MS)));
        assert_eq!(runs(&site, &key), 1);
    }
}

#[test]
fn a_repeat_gets_the_answer_while_the_table_is_away() {
    let site = site().work_ms(2_500).start();
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&site, 0, request("scan", LONG_MS)));
        wait_until("the first runs", || runs(&site, "scan") == 1);
        let repeat = scope.spawn(|| send(&site, 1, request("scan", LONG_MS)));
        wait_until("the repeat waits", || waits(&site, 1) == 1);
        site.platform_fault(PlatformFault::Down);
        assert_same(&first.join().unwrap(), &repeat.join().unwrap());
    });
    assert_eq!(runs(&site, "scan"), 1);
}

#[test]
fn a_repeat_of_a_killed_hosts_request_is_told_unknown() {
    let site = site().work_ms(1_000).start();
    thread::scope(|scope| {
        scope.spawn(|| net::send(site.entries[0].caller, request("filing", LONG_MS)));
        wait_until("the first runs", || runs(&site, "filing") == 1);
        let waiting = scope.spawn(|| send(&site, 1, request("filing", 3 * SHORT_MS)));
        wait_until("the repeat waits", || waits(&site, 1) == 1);
        site.entries[0].kill();
        assert_duplicate(&waiting.join().unwrap());
    });
    assert_duplicate(&send(&site, 2, request("filing", SHORT_MS)));
    assert_eq!(runs(&site, "filing"), 1);
}

#[test]
fn a_repeat_waits_for_a_host_that_sleeps() {
    let site = site().work_ms(500).start();
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&site, 0, request("lease", LONG_MS)));
        wait_until("the first runs", || runs(&site, "lease") == 1);
        site.entries[0].signal("STOP");
        let waiting = scope.spawn(|| send(&site, 1, request("lease", LONG_MS)));
        assert_duplicate(&send(&site, 2, request("lease", SHORT_MS)));
        wait_until("the first has run", || {
            site.backend_record().runs.iter().all(|run| run.end != RunEnd::Running)
        });
        wait_until("the repeat waits", || waits(&site, 1) == 1);
        site.entries[0].signal("CONT");
        assert_same(&first.join().unwrap(), &waiting.join().unwrap());
    });
    assert_eq!(runs(&site, "lease"), 1);
}

#[test]
fn a_repeat_runs_when_the_first_did_not() {
    let site = site().work_ms(3_000).start();
    thread::scope(|scope| {
        for number in 0..8 {
            let (site, key) = (&site, format!("long-{number}"));
            scope.spawn(move || send(site, 2, request(&key, LONG_MS)));
        }
        wait_until("every slot is in use", || site.backend_record().runs.len() == 8);
        let first = scope.spawn(|| send(&site, 0, request("gate", 2 * SHORT_MS)));
        let repeat = scope.spawn(|| {
            wait_until("the first is queued", || holds_claims(&site, 9));
            send(&site, 1, request("gate", LONG_MS))
        });
        assert_eq!(first.join().unwrap().status, 504);
        assert_eq!(repeat.join().unwrap().status, 200);
    });
    assert_eq!(runs(&site, "gate"), 1);
}

fn holds_claims(site: &Site, count: usize) -> bool {
    let range = serde_json::json!({"start": "claim/", "end": "claim/~", "limit": 100});
    let rows: Vec<Value> = net::post(site.platform(), "/admin/rows", &range);
    rows.len() == count
}
