//! A withdrawn key stops everywhere, also at a host that slept through the withdrawal.

mod common;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use common::{Site, net, operator};
use fuchsiamill_api::ChangeReport;
use fuchsiamill_http::Request;
use fuchsiamill_model::Change;

fn site() -> Site {
    Site::of(3).pool("rota", 4).team("north", 40).team("south", 40).start()
}

fn withdraw(site: &Site, entry: usize) {
    let change = Change::WithdrawKey { key: "north-1".try_into().unwrap() };
    let addr = site.entries[entry].operator;
    let report = operator::change(addr, "ada-key", "withdraw", None, vec![change]);
    assert!(matches!(report, ChangeReport::Accepted { .. }), "{report:?}");
}

fn ran(site: &Site, body: &str) -> bool {
    site.backend_record().runs.iter().any(|run| run.body == body)
}

/// After the change was accepted no host runs anything for the key.
fn stopped_everywhere(site: &Site) {
    for entry in 0..3 {
        let body = format!("after-{entry}");
        let response = site.post(entry, "rota", "north-key", &body);
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(matches!(response.status.as_u16(), 401 | 503), "host {entry}: {text}");
        assert!(text.contains("\"run\":\"not-run\""), "host {entry}: {text}");
        assert!(!ran(site, &body), "host {entry} ran work of a withdrawn key");
    }
}

#[test]
fn an_accepted_withdrawal_is_in_force_at_every_host_under_load() {
    let site = site();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for entry in 0..3 {
            let (site, over) = (&site, &over);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    site.try_post(entry, "rota", "north-key", "before");
                }
            });
        }
        struct Stop<'a>(&'a AtomicBool);
        impl Drop for Stop<'_> {
            fn drop(&mut self) {
                self.0.store(true, Ordering::Relaxed);
            }
        }
        let _stop = Stop(&over);
        common::wait_until("the key works", || ran(&site, "before"));
        withdraw(&site, 0);
        stopped_everywhere(&site);
    });
    for entry in 0..3 {
        common::wait_until("the other team is served", || {
            site.post(entry, "rota", "south-key", "south").status == 200
        });
    }
}

#[test]
fn a_host_that_slept_through_the_withdrawal_runs_nothing() {
    let site = site();
    assert_eq!(site.post(2, "rota", "north-key", "before").status, 200);
    site.entries[2].signal("STOP");
    thread::scope(|scope| {
        let caller = site.entries[2].caller;
        let asleep = scope.spawn(move || {
            let request = Request::post("/v1/services/rota", "asleep");
            net::send(caller, net::with_key(request, "north-key"))
        });
        withdraw(&site, 0);
        site.entries[2].signal("CONT");
        stopped_everywhere(&site);
        let response = asleep.join().unwrap();
        assert!(response.is_none_or(|it| it.status != 200));
    });
    assert!(!ran(&site, "asleep"));
}

#[test]
fn no_key_is_shown() {
    let site = site();
    site.post(0, "rota", "north-key", "swap");
    site.post(0, "rota", "s3cr3t-guess", "swap");
    withdraw(&site, 0);
    let addr = site.entries[0].operator;
    let audit = operator::try_call(addr, "ada-key", "audit.list", serde_json::json!({})).unwrap();
    let metrics = site.entries[0].get("/metrics").unwrap();
    let text = format!("{audit} {}", String::from_utf8_lossy(&metrics.body));
    assert!(text.contains("\"id\":\"withdraw\""), "{text}");
    for key in ["north-key", "s3cr3t-guess", "ada-key"] {
        assert!(!text.contains(key), "'{key}' is shown: {text}");
    }
}
