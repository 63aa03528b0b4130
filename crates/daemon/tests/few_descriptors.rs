//! An entry host with few descriptors beside many callers; alone in its file, since it inherits the limit of the test process.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, KEY},
    wait_until,
};
use fuchsiamill_http::Request;
use fuchsiamill_standin::fleet::StoreFault;
use rustix::process::{Resource, getrlimit, setrlimit};

const DESCRIPTORS: u64 = 512;

/// With a call to the store for each they would take more descriptors than there are.
const CALLERS: usize = 280;

/// The time for an answer: a caller's time limit is 3 s, and the process stands still for a part of it.
const ANSWER_TIME: Duration = Duration::from_secs(8);
const FREEZE: Duration = Duration::from_millis(1_500);
const SILENCE: Duration = Duration::from_millis(3_000);

fn set_limit(descriptors: Option<u64>) {
    let limit = getrlimit(Resource::Nofile);
    let current = descriptors.or(limit.maximum);
    setrlimit(Resource::Nofile, rustix::process::Rlimit { current, ..limit }).expect("it is set");
}

/// Asks for a job that is not there, which takes a read of the store.
fn ask(stream: &mut TcpStream, n: usize) -> bool {
    let host = stream.peer_addr().expect("it is connected").ip();
    let text = format!("GET /jobs/{n:016x} HTTP/1.1\r\nhost: {host}\r\nx-api-key: {KEY}\r\n\r\n");
    let mut buf = [0; 4_096];
    let is_sent = stream.write_all(text.as_bytes()).is_ok();
    is_sent && stream.read(&mut buf).is_ok_and(|it| buf[..it].starts_with(b"HTTP/1.1 410"))
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, ANSWER_TIME).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIME)).expect("it is set");
    Some(stream)
}

/// Guards against callers' reads that take the descriptors of all else while the store is silent.
#[test]
fn callers_do_not_take_all_descriptors() {
    set_limit(Some(DESCRIPTORS));
    let fleet = Fleet::start(1, 2);
    set_limit(None);
    let entry = &fleet.entries[0];
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (addr, is_over, answered) = (entry.front, is_over.clone(), answered.clone());
            thread::spawn(move || {
                let mut kept = None;
                while !is_over.load(Ordering::Relaxed) {
                    let Some(mut stream) = kept.take().or_else(|| connect(addr)) else { continue };
                    if ask(&mut stream, n) {
                        answered.fetch_add(1, Ordering::Relaxed);
                        kept = Some(stream);
                    }
                    thread::sleep(Duration::from_millis(100 + n as u64 % 50));
                }
            })
        })
        .collect();
    wait_until("the callers are served", || answered.load(Ordering::Relaxed) > 4 * CALLERS);
    fleet.site.world().rows.fault = StoreFault::Silent;
    entry.signal("STOP");
    thread::sleep(FREEZE);
    entry.signal("CONT");
    let until = Instant::now() + SILENCE;
    let mut unanswered = 0;
    while Instant::now() < until {
        let status = common::net::send(entry.ready, Request::get("/ready"));
        unanswered += usize::from(status.is_none());
        thread::sleep(Duration::from_millis(100));
    }
    fleet.site.world().rows.fault = StoreFault::None;
    wait_until("it is ready again beside its callers", || entry.is_ready());
    let metrics = entry.metrics();
    let failures =
        metrics.lines().find(|it| !it.starts_with('#') && it.contains("accept_failures"));
    let failures = failures.and_then(|it| it.split(' ').next_back()?.parse::<f64>().ok());
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| it.join().expect("a caller"));
    assert_eq!(unanswered, 0, "the readiness check is answered throughout");
    assert!(failures == Some(0.0), "accepts fail for lack of descriptors: {failures:?}");
}
