//! Many clients ask at the same moment, and a process runs out of descriptors and never serves again.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    entry::Entry,
    site::{NORTH, Site},
    wait_for,
};

/// The descriptors of an entry host by the users' page are 4,100, of which 200 are reserved for files. Of these the program
/// uses less than 10.
const MOST_FDS: u32 = 3_900 + 10;

/// The clients. The program accepts 2,000 connections of clients.
const CLIENTS: usize = 1_980;
const THREADS: usize = 20;

/// Each client asks for the state of its job this often.
const PERIOD: Duration = Duration::from_secs(3);

/// The entry host stands still for this long, and the store is down meanwhile and for a while longer.
const FREEZE: Duration = Duration::from_millis(3_000);
const DOWN_LONGER: Duration = Duration::from_millis(1_400);

/// How long the process gets to serve again after all clients have gone.
const GRACE: Duration = Duration::from_secs(20);

/// A process that uses this part of a processor all the while does not hand it back.
const KEPT_PART: f64 = 0.9;

#[derive(Default)]
struct Counts {
    is_over: AtomicBool,
    sent: AtomicUsize,
    answered: AtomicUsize,
}

/// Plays some clients, each with one connection, which ask in turn.
fn play(to: SocketAddr, first: usize, counts: &Counts) {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS / THREADS {
        sleep(Duration::from_millis(30));
        if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(2)) {
            let _ = stream.set_nonblocking(true);
            clients.push(stream);
        }
    }
    let pause = PERIOD / (CLIENTS / THREADS) as u32;
    let mut next = Instant::now();
    let mut buf = [0; 4_096];
    while !counts.is_over.load(Ordering::SeqCst) {
        for (number, client) in clients.iter_mut().enumerate() {
            next += pause;
            sleep(next.saturating_duration_since(Instant::now()));
            if counts.is_over.load(Ordering::SeqCst) {
                return;
            }
            if client.read(&mut buf).is_ok_and(|it| it > 0) {
                counts.answered.fetch_add(1, Ordering::SeqCst);
            }
            let id = first * 1_000 + number;
            let request = format!(
                "GET /swap/{id:016x} HTTP/1.1\r\nHost: swap.example\r\nX-Api-Key: north-key\r\nX-Fuchsiamill-Request-Deadline: 3000\r\n\r\n"
            );
            if client.write_all(request.as_bytes()).is_ok() {
                counts.sent.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let site = Site::start(case);
    let entry =
        Entry::start_with(&case.folder, "front-a-1", "127.0.0.2", site.platform, Some(MOST_FDS));
    if !wait_for(Duration::from_secs(15), || entry.is_ready()) {
        return Verdict::CouldNotRun("the entry host is not ready".into());
    }
    let counts = Arc::new(Counts::default());
    let players: Vec<_> = (0..THREADS)
        .map(|it| {
            let (to, counts) = (entry.callers, counts.clone());
            thread::spawn(move || play(to, it, &counts))
        })
        .collect();
    let show = |what: &str| {
        let (sent, answered) =
            (counts.sent.load(Ordering::SeqCst), counts.answered.load(Ordering::SeqCst));
        record.line(&format!(
            "{what}: {} descriptors, {sent} requests sent, {answered} answered",
            entry.fds()
        ));
    };
    // The platform asks each second whether the entry host is ready.
    let (ready, is_over) = (entry.ready, counts.clone());
    let platform = thread::spawn(move || {
        while !is_over.is_over.load(Ordering::SeqCst) {
            thread::spawn(move || {
                crate::net::call(ready, "GET", "/ready", &[], "", Duration::from_secs(1))
            });
            sleep(Duration::from_secs(1));
        }
    });
    // Now and then another client opens a connection.
    let (callers, is_over) = (entry.callers, counts.clone());
    let newcomers = thread::spawn(move || {
        while !is_over.is_over.load(Ordering::SeqCst) {
            thread::spawn(move || {
                crate::net::call(callers, "GET", "/swap/", &NORTH, "", Duration::from_secs(3))
            });
            sleep(Duration::from_millis(200));
        }
    });
    for _ in 0..10 {
        sleep(Duration::from_secs(1));
        show("before");
    }
    if counts.answered.load(Ordering::SeqCst) < CLIENTS {
        return Verdict::CouldNotRun("the clients are not served".into());
    }
    if case.has_trouble {
        record.line("the store is silent; front-a-1 stands still");
        site.store.set_silent(true);
        entry.signal("STOP");
    }
    sleep(FREEZE);
    entry.signal("CONT");
    show("front-a-1 goes on");
    sleep(DOWN_LONGER);
    site.store.set_silent(false);
    show("the store is back");
    for _ in 0..3 {
        sleep(Duration::from_secs(1));
        show("after");
    }
    counts.is_over.store(true, Ordering::SeqCst);
    for it in players {
        let _ = it.join();
    }
    let _ = platform.join();
    let _ = newcomers.join();
    record.line("all clients have gone");
    let begun = (Instant::now(), entry.processor_time());
    let serves = wait_for(GRACE, || {
        sleep(Duration::from_millis(500));
        entry.is_ready()
    });
    let used = entry.processor_time().saturating_sub(begun.1);
    record.line(&format!(
        "front-a-1 is ready within {} s: {serves}; {} descriptors; it used {:.1} s of processor time in {:.1} s",
        GRACE.as_secs(),
        entry.fds(),
        used.as_secs_f64(),
        begun.0.elapsed().as_secs_f64()
    ));
    // The rule is about the processor: a process that is not ready and lets others have it has not broken it.
    let keeps_processor = used >= begun.0.elapsed().mul_f64(KEPT_PART);
    if !serves && keeps_processor { Verdict::Broken } else { Verdict::Held }
}
