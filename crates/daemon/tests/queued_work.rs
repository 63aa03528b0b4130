//! Queued requests that are refused: what "not run" says of them is true, and no other team pays.

mod common;

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    thread::{self, Scope, ScopedJoinHandle},
};

use common::{Site, SiteBuilder, net, operator, wait_until};
use fuchsiamill_api::ChangeReport;
use fuchsiamill_http::{Request, Response};
use fuchsiamill_model::Change;
use fuchsiamill_standin::{admin::PlatformFault, record::RunEnd};
use http::{HeaderName, HeaderValue};
use serde_json::Value;

/// The slots of the pool's only backend server.
const SLOTS: usize = 8;
const LONG_MS: u64 = 8_000;

fn site(entries: usize) -> SiteBuilder {
    Site::of(entries).pool("rota", 1).team_with_queue("north", 40, 3).team("south", 40)
}

fn with(request: Request, name: &'static str, value: impl ToString) -> Request {
    let value = HeaderValue::from_str(&value.to_string()).unwrap();
    request.header(HeaderName::from_static(name), value)
}

fn request(team: &str, body: &str) -> Request {
    let request = Request::post("/v1/services/rota", body.to_owned());
    net::with_key(request, &format!("{team}-key"))
}

fn send(site: &Site, entry: usize, request: Request) -> Response {
    net::send(site.entries[entry].caller, request).expect("the entry host answers")
}

/// The title and 'run' of a refusal.
fn refusal(response: &Response) -> (String, String) {
    let text = String::from_utf8_lossy(&response.body);
    let document: Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text}: {e}"));
    let member = |name: &str| document[name].as_str().unwrap_or_default().to_owned();
    (member("title"), member("run"))
}

fn not_run(kind: &str) -> (String, String) {
    (kind.into(), "not-run".into())
}

fn ran(site: &Site, body: &str) -> bool {
    site.backend_record().runs.iter().any(|run| run.body == body)
}

fn running(site: &Site) -> usize {
    let record = site.backend_record();
    record.runs.iter().filter(|run| run.end == RunEnd::Running).count()
}

type Answering<'scope> = ScopedJoinHandle<'scope, Response>;

/// Fills every slot with long work of a team, through one entry host.
fn fill<'scope>(
    scope: &'scope Scope<'scope, '_>,
    site: &'scope Site,
    entry: usize,
    team: &'static str,
) -> Vec<Answering<'scope>> {
    let long = move || with(request(team, "long"), "work-ms", LONG_MS);
    let filling =
        (0..SLOTS).map(|_| scope.spawn(move || send(site, entry, long()))).collect::<Vec<_>>();
    wait_until("every slot is in use", || running(site) == SLOTS);
    filling
}

/// Queues requests and waits until the bound of the queue shows that they are all in it.
fn fill_queue<'scope>(
    scope: &'scope Scope<'scope, '_>,
    site: &'scope Site,
    entry: usize,
) -> Vec<Answering<'scope>> {
    let queued = (0..3).map(|number| {
        let body = format!("queued-{number}");
        scope.spawn(move || send_once_there_is_room(site, entry, &body))
    });
    let queued = queued.collect();
    wait_until("the queue is full", || queue_is_full(site, entry));
    queued
}

/// The probes of the queue's bound take places in it for a moment.
fn send_once_there_is_room(site: &Site, entry: usize, body: &str) -> Response {
    loop {
        let response = send(site, entry, request("north", body));
        if response.status != 429 {
            return response;
        }
    }
}

fn queue_is_full(site: &Site, entry: usize) -> bool {
    let probe = with(request("north", "probe"), "request-timeout-ms", 200);
    let told = refusal(&send(site, entry, probe));
    assert!(told == not_run("queue-full") || told == not_run("deadline-passed"), "{told:?}");
    told == not_run("queue-full")
}

#[test]
fn a_full_queue_refuses_its_own_team_alone() {
    let site = site(3).start();
    thread::scope(|scope| {
        let mut answering = fill(scope, &site, 0, "north");
        answering.extend(fill_queue(scope, &site, 0));
        for entry in [0, 1, 2, 0] {
            let refused = send(&site, entry, request("north", "over"));
            assert_eq!(refused.status, 429);
            assert_eq!(refusal(&refused), not_run("queue-full"));
            assert!(refused.headers.contains_key("retry-after"));
        }
        let others = (0..12).map(|number| {
            let site = &site;
            scope.spawn(move || send(site, number % 3, request("south", "south")))
        });
        answering.extend(others.collect::<Vec<_>>());
        for answer in answering {
            let answer = answer.join().unwrap();
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
    assert!(!ran(&site, "over") && !ran(&site, "probe"));
}

#[test]
fn work_whose_deadline_passes_in_the_queue_never_runs() {
    let site = site(2).start();
    thread::scope(|scope| {
        let filling = fill(scope, &site, 0, "south");
        for entry in [0, 1] {
            let late = with(request("north", "late"), "request-timeout-ms", 300);
            let late = send(&site, entry, late);
            assert_eq!((late.status.as_u16(), refusal(&late)), (504, not_run("deadline-passed")));
        }
        filling.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status, 200));
    });
    assert_eq!(send(&site, 1, request("north", "next")).status, 200);
    assert!(!ran(&site, "late"));
}

#[test]
fn a_shutdown_refuses_what_is_queued_and_finishes_what_runs() {
    let site = site(3).setting("timing.shutdown-notice-ms", 300).start();
    thread::scope(|scope| {
        let filling = fill(scope, &site, 0, "south");
        let queued = fill_queue(scope, &site, 0);
        site.entries[0].signal("TERM");
        for queued in queued {
            let refused = queued.join().unwrap();
            let found = (refused.status.as_u16(), refusal(&refused));
            assert_eq!(found, (503, not_run("shutting-down")));
        }
        assert_eq!(running(&site), SLOTS, "the refusals wait for no slot");
        for running in filling {
            assert_eq!(running.join().unwrap().status, 200, "what runs is finished");
        }
    });
    assert!(site.entries[0].wait_end().success());
    assert_eq!(send(&site, 1, request("north", "next")).status, 200);
    assert!((0..3).all(|number| !ran(&site, &format!("queued-{number}"))));
}

/// While a pool changes hands, what its leaving owner still runs keeps its slots: nobody else is granted them.
#[test]
fn work_of_a_leaving_owner_keeps_its_slots() {
    let site = site(3).setting("timing.shutdown-notice-ms", 3_000).start();
    let owner = site.owner_of("rota");
    let other = (owner + 1) % 3;
    thread::scope(|scope| {
        let filling = fill(scope, &site, owner, "south");
        site.entries[owner].signal("TERM");
        for _ in 0..3 {
            let early = with(request("north", "early"), "request-timeout-ms", 700);
            let early = send(&site, other, early);
            let found = (early.status.as_u16(), refusal(&early));
            assert_eq!(found, (504, not_run("deadline-passed")));
        }
        assert_eq!(running(&site), SLOTS, "the requests are asked for while all slots are in use");
        filling.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status, 200));
    });
    assert_eq!(send(&site, other, request("north", "next")).status, 200);
    let record = site.backend_record();
    assert_eq!(record.busy, 0, "no backend server was asked for a ninth slot");
    assert!(!ran(&site, "early"));
}

#[test]
fn a_withdrawn_key_empties_its_queue_at_once() {
    let site = site(3).setting("callers.default-deadline-ms", 30_000).start();
    thread::scope(|scope| {
        let filling = fill(scope, &site, 1, "south");
        let queued = fill_queue(scope, &site, 1);
        let change = Change::WithdrawKey { key: "north-1".try_into().unwrap() };
        let addr = site.entries[0].operator;
        let report = operator::change(addr, "ada-key", "withdraw", None, vec![change]);
        assert!(matches!(report, ChangeReport::Accepted { .. }), "{report:?}");
        for queued in queued {
            let refused = queued.join().unwrap();
            assert_eq!((refused.status.as_u16(), refusal(&refused)), (401, not_run("key-refused")));
        }
        assert_eq!(running(&site), SLOTS, "the refusals wait for no slot");
        filling.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status, 200));
    });
    assert!((0..3).all(|number| !ran(&site, &format!("queued-{number}"))));
}

#[test]
fn a_caller_that_hangs_up_gives_its_place_back_and_runs_nothing() {
    let site = site(2).start();
    thread::scope(|scope| {
        let filling = fill(scope, &site, 0, "south");
        let mut gone: Vec<TcpStream> = (0..3).map(|_| queue_by_hand(&site)).collect();
        wait_until("the queue is full", || {
            gone.iter_mut().filter(|it| is_answered(it)).for_each(|it| *it = queue_by_hand(&site));
            queue_is_full(&site, 0) && !gone.iter().any(is_answered)
        });
        gone.iter().for_each(|it| it.shutdown(Shutdown::Both).unwrap());
        wait_until("the places are free", || !queue_is_full(&site, 0));
        assert_eq!(send(&site, 1, request("north", "next")).status, 200);
        filling.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status, 200));
    });
    assert!(!ran(&site, "gone"));
}

fn queue_by_hand(site: &Site) -> TcpStream {
    let mut stream = TcpStream::connect(site.entries[0].caller).unwrap();
    let head = "POST /v1/services/rota HTTP/1.1\r\nhost: a\r\nauthorization: Bearer north-key\r\n";
    stream.write_all(format!("{head}content-length: 4\r\n\r\ngone").as_bytes()).unwrap();
    stream.set_nonblocking(true).unwrap();
    stream
}

fn is_answered(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).is_ok()
}

#[test]
fn too_many_claims_are_refused_as_overloaded() {
    let site = site(3)
        .setting("claims.waiting", 2)
        .setting("claims.wait-ms", 8_000)
        .setting("platform.request-timeout-ms", 8_000)
        .start();
    site.platform_fault(PlatformFault::Silent);
    thread::scope(|scope| {
        let claims = (0..6).map(|number| {
            let (site, key) = (&site, format!("swap-{number}"));
            let request = with(request("north", &key), "idempotency-key", &key);
            scope.spawn(move || send(site, 0, request))
        });
        let told: Vec<_> =
            claims.collect::<Vec<_>>().into_iter().map(|it| it.join().unwrap()).collect();
        let overloaded = told.iter().filter(|it| {
            let told = refusal(it);
            assert_eq!((it.status.as_u16(), told.1.as_str()), (503, "unknown"), "{told:?}");
            assert!(it.headers.contains_key("retry-after"));
            told.0 == "overloaded"
        });
        assert_eq!(overloaded.count(), 4);
    });
    assert!(site.backend_record().runs.is_empty());
    site.platform_fault(PlatformFault::None);
    wait_until("a claim is held again", || {
        let request = with(request("north", "next"), "idempotency-key", "next");
        send(&site, 0, request).status == 200
    });
}
