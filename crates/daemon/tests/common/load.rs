//! Callers that send requests through entry hosts for as long as a test wants, and what they were told.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, Connection, Request, Response};
use fuchsiamill_model::KeyDigest;
use fuchsiamill_standin::story::Story;
use http::{HeaderName, HeaderValue};
use monoio::time::{Instant, sleep};
use serde_json::Value;

use super::net;

const CALLERS_PER_THREAD: usize = 25;
const CONNECT_TIME: Duration = Duration::from_secs(1);
const ANSWER_TIME: Duration = Duration::from_secs(12);
const REPEAT_PERCENT: u8 = 50;
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What callers do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entry hosts.
    pub entries: Vec<SocketAddr>,
    /// The services, asked for in turn.
    pub services: Vec<String>,
    /// The teams; the key of each is its name followed by `-key`.
    pub teams: Vec<String>,
    /// Threads of 25 callers each.
    pub threads: usize,
    /// How many of 100 requests are non-idempotent.
    pub once_percent: u8,
    /// How long a caller waits between two requests, in milliseconds.
    pub pause_ms: u64,
}

/// What a caller was told of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole answer, as text.
    Answer(String),
    /// It did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// Nothing: the entry host was gone.
    Nothing,
}

/// One request and what its caller was told.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The team whose key it carried.
    pub team: String,
    /// Its body, unlike that of any other request but its own repeats.
    pub body: String,
    /// Whether it was non-idempotent.
    pub once: bool,
    /// What its caller was told.
    pub told: Told,
}

/// Callers at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(plan: &LoadPlan, seed: u64) -> Self {
        Self::start_telling(plan, seed, &Story::default())
    }

    /// Like [`Load::start`]; tells `story` what is sent and what callers are told.
    pub fn start_telling(plan: &LoadPlan, seed: u64, story: &Story) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let numbers = Arc::new(AtomicU64::new(0));
        let threads = (0..plan.threads)
            .map(|thread| {
                let callers = Callers {
                    plan: plan.clone(),
                    stop: stop.clone(),
                    sent: sent.clone(),
                    numbers: numbers.clone(),
                    seed,
                    story: story.clone(),
                };
                thread::spawn(move || callers.run(seed + thread as u64))
            })
            .collect();
        Self { stop, sent, threads }
    }

    /// How many requests have been told something by now.
    pub fn count(&self) -> usize {
        self.sent.lock().unwrap().len()
    }

    /// Lets the callers finish what they wait for and gives what they were told.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller thread");
        }
        std::mem::take(&mut self.sent.lock().unwrap())
    }
}

#[derive(Clone)]
struct Callers {
    plan: LoadPlan,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    numbers: Arc<AtomicU64>,
    seed: u64,
    story: Story,
}

impl Callers {
    fn run(self, seed: u64) {
        block_on(async move {
            let callers: Vec<_> = (0..CALLERS_PER_THREAD)
                .map(|caller| {
                    let rng = fastrand::Rng::with_seed(seed * 1000 + caller as u64);
                    monoio::spawn(self.clone().call_until_stopped(rng))
                })
                .collect();
            for caller in callers {
                caller.await;
            }
        });
    }

    async fn call_until_stopped(self, mut rng: fastrand::Rng) {
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
            let team = self.plan.teams[rng.usize(..self.plan.teams.len())].clone();
            let service = &self.plan.services[rng.usize(..self.plan.services.len())];
            let once = rng.u8(..100) < self.plan.once_percent;
            let body = format!("work-{}-{number}.", self.seed);
            self.send(&mut rng, service, &team, &body, once).await;
            if once && rng.u8(..100) < REPEAT_PERCENT {
                self.send(&mut rng, service, &team, &body, once).await;
            }
            sleep(Duration::from_millis(self.plan.pause_ms)).await;
        }
    }

    async fn send(
        &self,
        rng: &mut fastrand::Rng,
        service: &str,
        team: &str,
        body: &str,
        once: bool,
    ) {
        let entry = self.plan.entries[rng.usize(..self.plan.entries.len())];
        let request = Request::post(format!("/v1/services/{service}"), body.to_owned());
        let mut request = net::with_key(request, &format!("{team}-key"));
        if once {
            request = request.header(IDEMPOTENCY_KEY, HeaderValue::from_str(body).unwrap());
        }
        let who = format!("caller of {entry}");
        self.story.tell(&who, || match once {
            true => format!("sends {body} of {team} once, key {}", KeyDigest::of(body)),
            false => format!("sends {body} of {team}"),
        });
        let told = exchange(entry, request).await.map_or(Told::Nothing, read);
        self.story.tell(&who, || format!("{body}: {told:?}"));
        let sent = Sent { team: team.into(), body: body.into(), once, told };
        self.sent.lock().unwrap().push(sent);
    }
}

async fn exchange(entry: SocketAddr, request: Request) -> Option<Response> {
    let mut connection = Connection::connect(entry, Bounds::default(), CONNECT_TIME).await.ok()?;
    connection.exchange(request, Instant::now() + ANSWER_TIME).await.ok()
}

fn read(response: Response) -> Told {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status == 200 {
        return Told::Answer(text);
    }
    let document: Value = serde_json::from_str(&text).unwrap_or_default();
    let title = document["title"].as_str().unwrap_or("without a title").to_owned();
    match document["run"].as_str() {
        Some("not-run") => Told::NotRun(title),
        _ => Told::Unknown(format!("{title} ({})", response.status)),
    }
}
