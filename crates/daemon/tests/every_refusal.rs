//! Every refusal of docs/callers.md, brought about with a real entry host.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
};

use common::{PATIENCE, Site, SiteBuilder, net, wait_until};
use fuchsiamill_http::{Request, Response};
use fuchsiamill_standin::admin::{BackendMode, PlatformFault, RouteFault};
use http::{HeaderName, HeaderValue, Method};
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/callers.md");

/// A row of the table of refusals.
#[derive(Debug, PartialEq, Eq)]
struct Row {
    status: u16,
    slug: String,
    run: String,
}

fn row(status: u16, slug: &str, run: &str) -> Row {
    Row { status, slug: slug.into(), run: run.into() }
}

fn small() -> SiteBuilder {
    Site::of(1)
        .pool("rota", 2)
        .team("north", 40)
        .setting("callers.head-ms", 300)
        .setting("callers.body-ms", 300)
        .setting("callers.body-bytes", 2_048)
        .setting("callers.head-bytes", 2_048)
        .setting("platform.request-timeout-ms", 300)
        .setting("claims.wait-ms", 600)
}

fn post(path: &str) -> Request {
    net::with_key(Request::post(path, "swap"), "north-key")
}

fn with(request: Request, name: &'static str, value: &str) -> Request {
    request.header(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap())
}

fn keyed(key: &str) -> Request {
    with(post("/v1/services/rota"), "idempotency-key", key)
}

fn send(site: &Site, request: Request) -> Response {
    net::send(site.entries[0].caller, request).expect("the entry host answers")
}

/// Checks the document whole and returns its row.
fn refusal(response: &Response) -> Row {
    let text = String::from_utf8_lossy(&response.body);
    check(response.status.as_u16(), &text, |name| {
        response.headers.get(name).map(|it| it.to_str().unwrap().to_owned())
    })
}

fn check(status: u16, body: &str, header: impl Fn(&str) -> Option<String>) -> Row {
    let document: Value = serde_json::from_str(body).unwrap_or_else(|e| panic!("{body}: {e}"));
    let member = |name: &str| document[name].as_str().unwrap_or_else(|| panic!("{name} in {body}"));
    let slug = member("type").strip_prefix("urn:fuchsiamill:problem:").expect("a stable type");
    assert_eq!(header("content-type").as_deref(), Some("application/problem+json"));
    assert_eq!(document["status"].as_u64(), Some(u64::from(status)), "{body}");
    assert!(!member("title").is_empty() && member("detail").ends_with('.'), "{body}");
    assert!(member("remedy").ends_with('.'), "{body}");
    if member("remedy").contains("'retry-after'") {
        let wait = header("retry-after").unwrap_or_else(|| panic!("no retry-after: {body}"));
        assert!(wait.parse::<u32>().is_ok(), "{wait}");
    }
    if member("remedy").contains("'allow'") {
        assert!(header("allow").is_some(), "{body}");
    }
    assert!(!body.contains("north-key"), "a key is shown: {body}");
    row(status, slug, member("run"))
}

/// Sends raw bytes, waits for the answer and returns its row.
fn raw(site: &Site, bytes: &[u8]) -> Row {
    let mut stream = TcpStream::connect(site.entries[0].caller).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8(answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no head: {answer}"));
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    check(status, body, |name| {
        let line = head.lines().find(|it| it.to_ascii_lowercase().starts_with(&format!("{name}:")));
        line.map(|it| it.split_once(':').unwrap().1.trim().to_owned())
    })
}

/// A good request after bad input: nothing else was lost.
fn still_serves(site: &Site) {
    wait_until("a good request is answered", || {
        net::send(site.entries[0].caller, post("/v1/services/rota"))
            .is_some_and(|it| it.status == 200)
    });
}

#[test]
fn the_page_names_every_kind() {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    let kinds = include_str!("../../model/src/outcome.rs");
    let slugs: Vec<&str> = kinds
        .lines()
        .filter_map(|line| line.trim().strip_prefix("ProblemKind::")?.split_once("=> \""))
        .filter_map(|(_, rest)| rest.strip_suffix("\","))
        .filter(|it| !it.contains(' '))
        .collect();
    assert!(slugs.len() >= 20, "{slugs:?}");
    for slug in &slugs {
        assert!(PAGE.contains(&format!("| `{slug}` |")), "docs/callers.md lacks '{slug}'");
    }
    assert!(rows >= slugs.len());
}

#[test]
fn what_cannot_be_understood() {
    let site = small().start();
    let bad = row(400, "bad-request", "not-run");
    let too_long = "k".repeat(256);
    for (name, value) in [
        ("request-timeout-ms", "soon"),
        ("request-timeout-ms", "-1"),
        ("idempotent", "maybe"),
        ("idempotency-key", &too_long),
        ("idempotency-key", "two words"),
    ] {
        let request = with(post("/v1/services/rota"), name, value);
        assert_eq!(refusal(&send(&site, request)), bad, "{name}: {value}");
    }
    let head = "POST /v1/services/rota HTTP/1.1\r\nhost: a\r\nauthorization: Bearer north-key\r\n";
    for bytes in [
        "\u{1}\u{2}garbage\r\n\r\n".to_owned(),
        format!("{head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}content-length: 4\r\ncontent-length: 5\r\n\r\nswaps"),
        format!("{head}content-length: +4\r\n\r\nswap"),
        format!("{head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\nswap\r\n0\r\n\r\n"),
        format!("{head}idempotency-key: a\r\nidempotency-key: b\r\nconnection: close\r\n\r\n"),
        format!("{head}authorization: Bearer x\r\nconnection: close\r\n\r\n"),
    ] {
        assert_eq!(raw(&site, bytes.as_bytes()), bad, "{bytes}");
    }
    assert!(site.backend_record().runs.is_empty(), "{:?}", site.backend_record().runs);
    still_serves(&site);
}

#[test]
fn a_body_that_was_cut_runs_nothing() {
    let site = small().start();
    let mut stream = TcpStream::connect(site.entries[0].caller).unwrap();
    let head = "POST /v1/services/rota HTTP/1.1\r\nhost: a\r\nauthorization: Bearer north-key\r\n";
    stream.write_all(format!("{head}content-length: 100\r\n\r\nswap").as_bytes()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    still_serves(&site);
    assert!(site.backend_record().runs.iter().all(|run| run.body == "swap"));
}

#[test]
fn who_and_where() {
    let site = small().start();
    let rota = "/v1/services/rota";
    let cases = [
        (Request::post(rota, "swap"), row(401, "key-missing", "not-run")),
        (
            with(Request::post(rota, "swap"), "authorization", "Basic eDp5"),
            row(401, "key-missing", "not-run"),
        ),
        (net::with_key(Request::post(rota, "swap"), "wrong"), row(401, "key-refused", "not-run")),
        (post("/v1/services/none"), row(404, "not-found", "not-run")),
        (post("/elsewhere"), row(404, "not-found", "not-run")),
        (net::with_key(Request::get(rota), "north-key"), row(405, "method-not-allowed", "not-run")),
        (
            Request { method: Method::DELETE, ..post(rota) },
            row(405, "method-not-allowed", "not-run"),
        ),
        (with(post(rota), "idempotent", "false"), row(400, "idempotency-key-missing", "not-run")),
        (with(post(rota), "request-timeout-ms", "0"), row(504, "deadline-passed", "not-run")),
    ];
    for (request, expected) in cases {
        let text = format!("{request:?}");
        assert_eq!(refusal(&send(&site, request)), expected, "{text}");
    }
    assert!(site.backend_record().runs.is_empty());
    still_serves(&site);
}

#[test]
fn too_large_and_too_slow() {
    let site = small().start();
    let large = net::with_key(Request::post("/v1/services/rota", "x".repeat(2_049)), "north-key");
    assert_eq!(refusal(&send(&site, large)), row(413, "too-large", "not-run"));
    let head = "POST /v1/services/rota HTTP/1.1\r\nhost: a\r\n";
    let endless = format!("{head}x: {}", "y".repeat(4_000));
    assert_eq!(raw(&site, endless.as_bytes()), row(413, "too-large", "not-run"));
    let slow = row(408, "too-slow", "not-run");
    assert_eq!(raw(&site, head.as_bytes()), slow);
    assert_eq!(raw(&site, format!("{head}content-length: 9\r\n\r\nsw").as_bytes()), slow);
    assert!(site.backend_record().runs.is_empty());
    still_serves(&site);
}

#[test]
fn too_many_connections() {
    let site = small().setting("callers.connections", 3).start();
    let idle: Vec<_> =
        (0..3).map(|_| TcpStream::connect(site.entries[0].caller).unwrap()).collect();
    let overloaded = row(503, "overloaded", "not-run");
    wait_until("the bound is reached", || {
        net::send(site.entries[0].caller, post("/v1/services/rota"))
            .is_some_and(|it| it.status == 503 && refusal(&it) == overloaded)
    });
    drop(idle);
    still_serves(&site);
}

#[test]
fn keys_that_came_before() {
    let site = small().work_ms(1_500).start();
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&site, keyed("k")));
        wait_until("the first runs", || site.backend_record().runs.len() == 1);
        let duplicate = send(&site, with(keyed("k"), "request-timeout-ms", "100"));
        assert_eq!(refusal(&duplicate), row(409, "duplicate-request", "unknown"));
        assert!(duplicate.headers.contains_key("retry-after"));
        assert_eq!(first.join().unwrap().status, 200);
    });
    let other = Request { body: "other work".into(), ..keyed("k") };
    assert_eq!(refusal(&send(&site, other)), row(422, "idempotency-key-reused", "unknown"));
    assert_eq!(site.backend_record().runs.len(), 1);
}

#[test]
fn a_refusal_before_the_claim_was_read_is_unknown() {
    let site = small().start();
    let wrong = with(Request::post("/v1/services/rota", "swap"), "idempotency-key", "k");
    let wrong = net::with_key(wrong, "wrong");
    assert_eq!(refusal(&send(&site, wrong)), row(401, "key-refused", "unknown"));
}

#[test]
fn while_the_table_is_away() {
    let site = Site::of(3).pool("rota", 2).team("north", 40).start();
    site.platform_fault(PlatformFault::Down);
    let away = row(503, "store-unavailable", "unknown");
    assert_eq!(refusal(&send(&site, keyed("new"))), away);
    assert!(site.backend_record().runs.is_empty());
    still_serves(&site);
}

#[test]
fn without_standing() {
    let site = Site::of(3).pool("rota", 2).team("north", 40).proxied().start();
    site.partition(&[0], &[1, 2], RouteFault::HoldBoth);
    site.route_fault("entry-0", "platform", RouteFault::HoldBoth);
    wait_until("the host that is cut off stops serving", || {
        let response = send(&site, post("/v1/services/rota"));
        response.status != 200 && refusal(&response) == row(503, "not-in-standing", "not-run")
    });
    let refused = site.backend_record().runs.len();
    send(&site, post("/v1/services/rota"));
    assert_eq!(site.backend_record().runs.len(), refused);
}

#[test]
fn backend_servers_that_do_not_serve() {
    let site = small().setting("retries.budget-percent", 0).setting("retries.burst", 0).start();
    let modes = |mode| (0..2).for_each(|host| site.backend_mode(&format!("host-{host}"), mode));
    modes(BackendMode::Refusing);
    assert_eq!(
        refusal(&send(&site, post("/v1/services/rota"))),
        row(502, "backend-refused", "not-run")
    );
    assert!(site.backend_record().runs.is_empty());
    wait_until("the probes find no server", || {
        refusal(&send(&site, post("/v1/services/rota"))) == row(503, "no-capacity", "not-run")
    });
    modes(BackendMode::Late { ms: 60_000 });
    let late = with(post("/v1/services/rota"), "request-timeout-ms", "500");
    wait_until("the probes find the servers", || {
        refusal(&send(&site, late.clone())) == row(502, "answer-lost", "unknown")
    });
}

#[test]
fn at_shutdown() {
    let site = small().work_ms(1_500).setting("timing.shutdown-notice-ms", 10).start();
    thread::scope(|scope| {
        let running = scope.spawn(|| send(&site, post("/v1/services/rota")));
        wait_until("it runs", || !site.backend_record().runs.is_empty());
        site.entries[0].signal("TERM");
        assert_eq!(running.join().unwrap().status, 200, "what runs is finished");
    });
    assert!(site.entries[0].wait_end().success());
}
