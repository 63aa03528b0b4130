//! Callers that keep their connections until the process is gone: they post jobs, and cancel some.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Connection, ExchangeError, Request, Response};
use http::{HeaderName, HeaderValue, Method};
use monoio::time::sleep;
use serde_json::Value;

use super::{
    PATIENCE,
    fleet::{KEY, job},
    net,
    unanswered::Unanswered,
};

/// The longest pause between two jobs of a caller.
const PAUSE_MS: u64 = 500;

/// How long a caller waits for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// The pause before an answer that did not come is asked for anew.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Tries of a post before the caller gives the job up, and cancels it.
const POST_TRIES: u32 = 3;

/// A task that outlasts every soak.
const LONG_MS: u64 = 300_000;

/// How soon after its acceptance a job is cancelled, at the latest.
const CANCEL_MS: u64 = 2_500;

/// A job, as its caller knows it.
#[derive(Debug)]
pub struct Call {
    pub id: String,
    pub tasks: usize,
    pub is_accepted: bool,
    /// When the caller means to cancel it.
    due: Option<Instant>,
    /// When the cancellation was answered, and how.
    pub cancelled: Option<(Instant, u16)>,
}

/// Callers, each on a thread of its own.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(Vec<Call>, Vec<Unanswered>)>>,
}

impl Callers {
    pub fn start(count: u64, fronts: &[SocketAddr], seed: u64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let (is_over, fronts) = (is_over.clone(), fronts.to_vec());
            thread::spawn(move || {
                let caller = Caller {
                    rng: Rng::with_seed(seed ^ (number + 1)),
                    kept: fronts.into_iter().map(|it| (it, None)).collect(),
                    calls: Vec::new(),
                    unanswered: Vec::new(),
                };
                block_on(caller.call(&is_over))
            })
        };
        let threads = (0..count).map(start).collect();
        Self { is_over, threads }
    }

    /// Ends them once the cancellations that they mean to make are answered; gives all of their jobs, and the requests
    /// whose connection ended without an answer.
    pub fn finish(self) -> (Vec<Call>, Vec<Unanswered>) {
        self.is_over.store(true, Ordering::Relaxed);
        let all = self.threads.into_iter().map(|it| it.join().expect("a caller ends"));
        let (calls, unanswered): (Vec<_>, Vec<_>) = all.unzip();
        (calls.into_iter().flatten().collect(), unanswered.into_iter().flatten().collect())
    }
}

struct Caller {
    rng: Rng,
    kept: Vec<(SocketAddr, Option<Connection>)>,
    calls: Vec<Call>,
    unanswered: Vec<Unanswered>,
}

impl Caller {
    async fn call(mut self, is_over: &AtomicBool) -> (Vec<Call>, Vec<Unanswered>) {
        while !is_over.load(Ordering::Relaxed) {
            self.cancel_due(Instant::now()).await;
            self.post().await;
            sleep(Duration::from_millis(self.rng.u64(0..PAUSE_MS))).await;
        }
        let until = Instant::now() + PATIENCE;
        let all = until + PATIENCE;
        while self.calls.iter().any(|it| it.is_due(all)) {
            assert!(Instant::now() < until, "a cancellation is not answered within {PATIENCE:?}");
            self.cancel_due(all).await;
            sleep(RETRY_PAUSE).await;
        }
        (self.calls, self.unanswered)
    }

    async fn post(&mut self) {
        let is_long = self.rng.u32(0..4) == 0;
        let steps = if is_long { vec![self.rng.u32(1..4)] } else { vec![2, 1] };
        let body = job(if is_long { LONG_MS } else { self.rng.u64(20..600) }, &steps);
        let id = format!("{:016x}", self.rng.u64(..));
        let mut is_accepted = false;
        for _ in 0..POST_TRIES {
            let answer = self.ask(Method::POST, &id, Some(&body)).await;
            is_accepted = answer.is_some_and(|it| it.status.is_success());
            if is_accepted {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        let is_unwanted = is_long || !is_accepted || self.rng.u32(0..4) == 0;
        let wait = Duration::from_millis(self.rng.u64(0..CANCEL_MS));
        let due = is_unwanted.then(|| Instant::now() + wait);
        let tasks = steps.iter().sum::<u32>() as usize;
        self.calls.push(Call { id, tasks, is_accepted, due, cancelled: None });
    }

    async fn cancel_due(&mut self, now: Instant) {
        for number in 0..self.calls.len() {
            if !self.calls[number].is_due(now) {
                continue;
            }
            let id = self.calls[number].id.clone();
            let status = self.ask(Method::DELETE, &id, None).await.map(|it| it.status);
            if let Some(status) = status.filter(|it| it.is_success() || it.as_u16() == 410) {
                self.calls[number].cancelled = Some((Instant::now(), status.as_u16()));
            }
        }
    }

    /// Asks some entry host over the connection that is open, or a new one where there is none.
    async fn ask(&mut self, method: Method, id: &str, body: Option<&Value>) -> Option<Response> {
        let number = self.rng.usize(0..self.kept.len());
        let (addr, kept) = &mut self.kept[number];
        let mut connection = match kept.take() {
            Some(it) => it,
            None => Connection::connect(*addr, net::large_bounds(), ANSWER_TIME).await.ok()?,
        };
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = Request { method, ..Request::post(format!("/jobs/{id}"), body) }
            .header(HeaderName::from_static("x-api-key"), HeaderValue::from_static(KEY));
        let deadline = monoio::time::Instant::now() + ANSWER_TIME;
        let sent = Instant::now();
        let answer = connection.exchange(request, deadline).await;
        *kept = Some(connection).filter(Connection::is_reusable);
        if let Err(e) = &answer
            && !matches!(e, ExchangeError::Late | ExchangeError::Send(_))
        {
            let how = e.to_string();
            let one = Unanswered { entry: number, what: "call", sent, ended: Instant::now(), how };
            self.unanswered.push(one);
        }
        answer.ok()
    }
}

impl Call {
    fn is_due(&self, now: Instant) -> bool {
        self.cancelled.is_none() && self.due.is_some_and(|due| due <= now)
    }
}
