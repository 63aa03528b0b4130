//! Callers over plain sockets: they pipeline requests, send bodies in parts and post large jobs.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fastrand::Rng;
use serde_json::{Value, json};

use super::{
    fleet::{Fleet, KEY, job},
    unanswered::Unanswered,
};

/// Makes the generator of a seed's requests.
const PRESS_SEED: u64 = 0x7072_6573;

/// The longest pause between two requests of a caller.
const PAUSE_MS: u64 = 200;

/// The longest pause between two parts of a body.
const PART_MS: u64 = 300;

const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Longer than an entry host holds a request whose caller names no time: 3 s.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// One of so many requests posts a large job.
const LARGE_RARITY: u32 = 40;

/// The tasks and steps of a large job, and how long its tasks run.
const LARGE_TASKS: std::ops::Range<u32> = 50..400;
const LARGE_STEPS: std::ops::Range<u32> = 1..5;
const LARGE_MS: std::ops::Range<u64> = 20..300;

/// What callers have seen.
#[derive(Default)]
pub struct Pressed {
    /// Requests that were sent whole.
    asked: usize,
    /// Those for which the caller stopped waiting.
    late: usize,
    pub unanswered: Vec<Unanswered>,
    /// Jobs that were accepted, and how many tasks they have.
    accepted: Vec<(String, usize)>,
}

impl Pressed {
    /// Waits until what was accepted is completed, and checks that all of its tasks ran.
    pub fn check(&self, fleet: &Fleet) {
        for (id, tasks) in &self.accepted {
            fleet.wait_state(id, "completed");
            let done = fleet.site.world().done_tasks(id);
            assert_eq!(done, *tasks, "{id} is completed without all of its tasks");
        }
        let largest = self.accepted.iter().map(|it| it.1).max().unwrap_or_default();
        println!(
            "{} requests on plain sockets, {} late, {} jobs of {largest} tasks at most",
            self.asked,
            self.late,
            self.accepted.len()
        );
    }
}

/// Callers, each on a thread of its own.
pub struct Pressers {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Pressed>>,
}

impl Pressers {
    /// Starts callers; some of their jobs are large if `has_large`.
    pub fn start(count: u64, fronts: &[SocketAddr], seed: u64, has_large: bool) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let (is_over, fronts) = (is_over.clone(), fronts.to_vec());
            let mut presser = Presser {
                rng: Rng::with_seed(seed ^ PRESS_SEED ^ number),
                kept: fronts.iter().map(|_| None).collect(),
                fronts,
                has_large,
                last: None,
                seen: Pressed::default(),
            };
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    presser.press();
                    thread::sleep(Duration::from_millis(presser.rng.u64(0..PAUSE_MS)));
                }
                presser.seen
            })
        };
        let threads = (0..count).map(start).collect();
        Self { is_over, threads }
    }

    pub fn finish(self) -> Pressed {
        self.is_over.store(true, Ordering::Relaxed);
        let mut all = Pressed::default();
        for it in self.threads {
            let one = it.join().expect("a caller ends");
            all.asked += one.asked;
            all.late += one.late;
            all.unanswered.extend(one.unanswered);
            all.accepted.extend(one.accepted);
        }
        all
    }
}

struct Presser {
    rng: Rng,
    fronts: Vec<SocketAddr>,
    kept: Vec<Option<Wire>>,
    has_large: bool,
    /// The last job that was accepted.
    last: Option<String>,
    seen: Pressed,
}

/// How an answer was read.
enum Answer {
    Whole { status: u16, closes: bool },
    Late,
    Ended(String),
}

impl Presser {
    /// Posts a job; asks for the former one on the same connection without waiting, or sends the body in parts.
    fn press(&mut self) {
        let entry = self.rng.usize(0..self.fronts.len());
        let kept = self.kept[entry].take().or_else(|| Wire::connect(self.fronts[entry]));
        let Some(mut wire) = kept else { return };
        let id = format!("{:016x}", self.rng.u64(..));
        let (body, tasks) = self.job();
        let post = wire.request("POST", &id, &body.to_string());
        let mut requests = vec!["post"];
        let is_sent = match self.rng.u32(0..4) {
            0 => {
                requests[0] = "post in parts";
                self.send_parts(&mut wire, &post)
            }
            1 => {
                requests = vec!["first of two", "second of two"];
                let second = self.last.as_deref().unwrap_or(&id);
                let second = wire.request("GET", second, "");
                wire.send(&format!("{post}{second}"))
            }
            _ => wire.send(&post),
        };
        if !is_sent {
            return;
        }
        let sent = Instant::now();
        self.seen.asked += requests.len();
        for (number, what) in requests.into_iter().enumerate() {
            match wire.read() {
                Answer::Whole { status, closes } => {
                    if number == 0 && (200..300).contains(&status) {
                        self.seen.accepted.push((id.clone(), tasks));
                        self.last = Some(id.clone());
                    }
                    // What follows such an answer is not read, as the caller knows.
                    if closes {
                        return;
                    }
                }
                Answer::Late => {
                    self.seen.late += 1;
                    return;
                }
                Answer::Ended(how) => {
                    let ended = Instant::now();
                    self.seen.unanswered.push(Unanswered { entry, what, sent, ended, how });
                }
            }
        }
        self.kept[entry] = Some(wire).filter(|it| !it.is_over);
    }

    fn job(&mut self) -> (Value, usize) {
        let is_large = self.has_large && self.rng.u32(0..LARGE_RARITY) == 0;
        if !is_large {
            return (job(self.rng.u64(20..200), &[1]), 1);
        }
        let steps: Vec<u32> =
            (0..self.rng.u32(LARGE_STEPS)).map(|_| self.rng.u32(LARGE_TASKS)).collect();
        let mut body = job(self.rng.u64(LARGE_MS), &steps);
        for it in body["steps"].as_array_mut().into_iter().flatten() {
            it["cpu"] = json!(20);
            it["mem_mb"] = json!(8);
        }
        (body, steps.iter().sum::<u32>() as usize)
    }

    /// Sends the head and half of the body, and the rest later.
    fn send_parts(&mut self, wire: &mut Wire, text: &str) -> bool {
        let head = text.find("\r\n\r\n").expect("a head") + 4;
        let half = head + (text.len() - head) / 2;
        let mut parts = [&text[..head], &text[head..half], &text[half..]].into_iter();
        parts.all(|it| {
            thread::sleep(Duration::from_millis(self.rng.u64(0..PART_MS)));
            wire.send(it)
        })
    }
}

/// A connection.
struct Wire {
    stream: TcpStream,
    host: String,
    buf: Vec<u8>,
    is_over: bool,
}

impl Wire {
    fn connect(front: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, CONNECT_TIME).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIME)).ok()?;
        Some(Self { stream, host: front.to_string(), buf: Vec::new(), is_over: false })
    }

    fn request(&self, method: &str, id: &str, body: &str) -> String {
        let (host, length) = (&self.host, body.len());
        format!(
            "{method} /jobs/{id} HTTP/1.1\r\nhost: {host}\r\nx-api-key: {KEY}\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
    }

    fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Reads one answer, which may be in the buffer already.
    fn read(&mut self) -> Answer {
        let mut chunk = [0; 4_096];
        loop {
            if let Some(it) = self.take_answer() {
                return it;
            }
            let ended = match self.stream.read(&mut chunk) {
                Ok(0) => "closed".to_owned(),
                Ok(count) => {
                    self.buf.extend_from_slice(&chunk[..count]);
                    continue;
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Answer::Late;
                }
                Err(e) => e.kind().to_string(),
            };
            self.is_over = true;
            return Answer::Ended(format!("{ended} with {} bytes of an answer", self.buf.len()));
        }
    }

    /// Takes a whole answer off the buffer.
    fn take_answer(&mut self) -> Option<Answer> {
        let end = self.buf.windows(4).position(|it| it == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buf[..end]).to_lowercase();
        let field = |name: &str| head.lines().find_map(|it| it.strip_prefix(name).map(str::trim));
        let length: usize = field("content-length:").and_then(|it| it.parse().ok()).unwrap_or(0);
        let whole = end + 4 + length;
        if self.buf.len() < whole {
            return None;
        }
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let closes = field("connection:") == Some("close");
        self.buf.drain(..whole);
        Some(Answer::Whole { status, closes })
    }
}
