//! Backend servers that shut down gracefully, fail or brown out, judged from their own record.

mod common;

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
};

use common::{Site, net, wait_until};
use fuchsiamill_ports::Liveness;
use fuchsiamill_standin::{
    admin::{BackendMode, SetLiveness},
    record::Run,
};

const CALLERS: usize = 6;

/// Tells the callers to stop, also when the test fails.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends requests from several callers until `until` returns, and returns how many were answered.
fn under_load<T>(site: &Site, until: impl FnOnce() -> T) -> (T, usize) {
    let over = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    let result = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, answered) = (&over, &answered);
            scope.spawn(move || {
                let entry = caller % site.entries.len();
                let _stop = Stop(over);
                let mut number = 0;
                while !over.load(Ordering::Relaxed) {
                    let body = format!("{caller}-{number}");
                    let response = site.post(entry, "rota", "north-key", &body);
                    assert_eq!(response.status, 200, "{:?}", response.body);
                    assert!(response.body.ends_with(format!("ran {body}").as_bytes()));
                    number += 1;
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let _stop = Stop(&over);
        until()
    });
    (result, answered.into_inner())
}

fn runs_on(site: &Site, server: &str) -> Vec<Run> {
    site.backend_record().runs.into_iter().filter(|it| it.server == server).collect()
}

/// Waits until a server gets no more work although the others do.
fn wait_quiet(site: &Site, server: &str) {
    let (mut before, mut others_before) = (runs_on(site, server).len(), 0);
    let mut quiet = 0;
    wait_until("the server gets no new work", || {
        let record = site.backend_record();
        let runs = record.runs.iter().filter(|it| it.server == server).count();
        let others = record.runs.len() - runs;
        let still = runs == before && others > others_before;
        quiet = if still { quiet + 1 } else { 0 };
        (before, others_before) = (runs, others);
        thread::sleep(std::time::Duration::from_millis(30));
        quiet > 30
    });
}

fn set_liveness(site: &Site, host: &str, liveness: Liveness) {
    let set = SetLiveness { host: host.into(), liveness, lag_ms: 300 };
    net::post::<_, ()>(site.platform(), "/admin/liveness", &set);
}

#[test]
fn a_server_that_says_it_drains_costs_no_request() {
    let site = Site::of(3).pool("rota", 4).team("north", 40).work_ms(30).start();
    let (refused, answered) = under_load(&site, || {
        wait_until("the server works", || !runs_on(&site, "backend-0").is_empty());
        site.backend_mode("host-0", BackendMode::Draining);
        wait_quiet(&site, "backend-0");
        let refused = site.backend_record().refused;
        site.backend_mode("host-0", BackendMode::Serving);
        let before = runs_on(&site, "backend-0").len();
        wait_until("it gets work again", || runs_on(&site, "backend-0").len() > before);
        refused
    });
    println!("{answered} requests answered, {refused} sent to the draining server");
    assert!(site.backend_record().runs.iter().all(|it| it.ended_ms.is_some()));
}

#[test]
fn a_host_that_the_list_calls_leaving_gets_no_new_work() {
    let site = Site::of(3).pool("rota", 4).team("north", 40).work_ms(30).start();
    (0..4).for_each(|host| set_liveness(&site, &format!("host-{host}"), Liveness::Live));
    under_load(&site, || {
        wait_until("the server works", || !runs_on(&site, "backend-0").is_empty());
        set_liveness(&site, "host-0", Liveness::Leaving);
        wait_quiet(&site, "backend-0");
        set_liveness(&site, "host-0", Liveness::Live);
        let before = runs_on(&site, "backend-0").len();
        wait_until("it gets work again", || runs_on(&site, "backend-0").len() > before);
    });
}

#[test]
fn a_server_that_fails_everything_is_taken_out_and_tried_again() {
    let site = Site::of(3).pool("rota", 4).team("north", 40).work_ms(5).start();
    site.backend_mode("host-0", BackendMode::Failing);
    let run = |entry: usize| site.post(entry, "rota", "north-key", "swap").status;
    let failed = (0..200).filter(|it| run(it % 3) == 500).count();
    assert!((1..=30).contains(&failed), "{failed} of 200 requests failed");
    site.backend_mode("host-0", BackendMode::Serving);
    let before = runs_on(&site, "backend-0").len();
    wait_until("a trial brings it back", || {
        run(0);
        runs_on(&site, "backend-0").len() > before + 5
    });
}

/// Requests sent while every server refuses, and what the servers saw of them.
fn brown_out(budget_percent: u32, burst: u32) -> (usize, usize) {
    let site = Site::of(1)
        .pool("rota", 4)
        .team("north", 400)
        .setting("retries.budget-percent", budget_percent)
        .setting("retries.burst", burst)
        .setting("retries.backoff-ms", 1)
        .start();
    (0..4).for_each(|host| site.backend_mode(&format!("host-{host}"), BackendMode::Refusing));
    let fresh = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            let (site, fresh) = (&site, &fresh);
            scope.spawn(move || {
                for _ in 0..100 {
                    fresh.fetch_add(1, Ordering::Relaxed);
                    let response = site.post(0, "rota", "north-key", "swap");
                    // Once the pool is known to be out nothing is sent, which would hide the retries.
                    if response.status != 502 {
                        return;
                    }
                }
            });
        }
    });
    (fresh.into_inner(), site.backend_record().refused as usize)
}

#[test]
fn a_brown_out_is_not_amplified() {
    let (fresh, sent) = brown_out(10, 10);
    println!("with a budget: {fresh} requests, {sent} sent");
    assert!(sent <= fresh + fresh / 10 + 10, "{sent} sent of {fresh} requests");
    let (fresh, sent) = brown_out(100, 10_000);
    println!("without a budget: {fresh} requests, {sent} sent");
    assert!(sent > fresh * 2, "{sent} sent of {fresh}: the brown-out asked for no retries");
}
