//! Callers that send the requests of a run at their times, and what they were told.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow};
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, Connection, Request, Response};
use fuchsiamill_model::{Millisecond, Team};
use http::{HeaderName, HeaderValue, header};
use monoio::time::sleep;
use serde_json::Value;

use super::{
    demand::{Arrival, ENTRIES, Mark},
    faults::KILLED,
    plain::{Plain, PlainSite},
    profile,
    request::{DEADLINE, REQUEST_TIMEOUT, Told, body_of},
};

const THREADS: usize = 4;
const CONNECT_TIME: Duration = Duration::from_millis(500);
const ANSWER_SLACK: Duration = Duration::from_secs(1);
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub arrival: Arrival,
    /// When it was sent, from the beginning of the run.
    pub at: Millisecond,
    /// When its caller was told something.
    pub told_at: Millisecond,
    /// What that was.
    pub told: Told,
}

/// Where callers send to.
#[derive(Clone)]
pub enum Target {
    /// The entry hosts of the product.
    Entries(Arc<Vec<SocketAddr>>),
    /// The plain baseline, which runs in the callers' threads.
    Plain(Arc<PlainSite>),
}

/// What every caller knows.
#[derive(Clone)]
pub struct Callers {
    /// Where they send to.
    pub target: Target,
    /// The teams, whose keys they carry.
    pub teams: Arc<Vec<Team>>,
    /// Whether the balancer leaves the killed entry host out.
    pub is_down: Arc<AtomicBool>,
    /// The beginning of the run.
    pub began: Instant,
}

impl Callers {
    /// Sends every request at its time and waits for what callers are told.
    pub fn run(&self, arrivals: &[Arrival]) -> Result<Vec<Sent>> {
        let of_thread = |at: usize| {
            let own = arrivals.iter().filter(|it| it.entry % THREADS == at);
            own.copied().collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..THREADS)
            .map(|at| {
                let (callers, arrivals) = (self.clone(), of_thread(at));
                thread::spawn(move || block_on(callers.send_all(arrivals)))
            })
            .collect();
        let mut sent = Vec::new();
        for thread in threads {
            sent.extend(thread.join().map_err(|_| anyhow!("A thread of callers ended."))?);
        }
        sent.sort_by_key(|it| it.arrival.number);
        Ok(sent)
    }

    async fn send_all(self, arrivals: Vec<Arrival>) -> Vec<Sent> {
        let plain = match &self.target {
            Target::Plain(site) => Some(Rc::new(Plain::new(site.clone(), &self.teams))),
            Target::Entries(_) => None,
        };
        let callers = Rc::new(self);
        let mut tasks = Vec::new();
        for arrival in arrivals {
            let at = callers.began + Duration::from_millis(arrival.at);
            sleep(at.saturating_duration_since(Instant::now())).await;
            tasks.push(monoio::spawn(send(callers.clone(), plain.clone(), arrival)));
        }
        let mut sent = Vec::new();
        for task in tasks {
            sent.push(task.await);
        }
        sent
    }

    fn now(&self) -> Millisecond {
        self.began.elapsed().as_millis() as Millisecond
    }

    /// The entry host that the balancer gives a request to.
    fn balance(&self, entry: usize) -> usize {
        match entry {
            KILLED if self.is_down.load(Ordering::Relaxed) => (entry + 1) % ENTRIES,
            _ => entry,
        }
    }
}

async fn send(callers: Rc<Callers>, plain: Option<Rc<Plain>>, arrival: Arrival) -> Sent {
    let at = callers.now();
    let entry = callers.balance(arrival.entry);
    let told = match (&callers.target, plain) {
        (Target::Entries(entries), _) => through_entries(&callers, &arrival, entries, entry).await,
        (Target::Plain(_), Some(plain)) => plain.serve(&arrival, entry).await,
        (Target::Plain(_), None) => Told::NotRun("no entry host".into()),
    };
    Sent { arrival, at, told_at: callers.now(), told }
}

async fn through_entries(
    callers: &Callers,
    arrival: &Arrival,
    entries: &[SocketAddr],
    entry: usize,
) -> Told {
    let Ok(request) = request(callers, arrival) else {
        return Told::NotRun("not a request".into());
    };
    let Some(mut connection) = connect(entries, entry).await else {
        return Told::NotRun("no connection".into());
    };
    let deadline = monoio::time::Instant::now() + DEADLINE + ANSWER_SLACK;
    let answer = connection.exchange(request, deadline).await;
    answer.map_or_else(|_| Told::Unknown("connection lost".into()), |it| told(&it))
}

/// Connects as the balancer does: to the next entry host when one takes no connection.
async fn connect(entries: &[SocketAddr], entry: usize) -> Option<Connection> {
    for at in [entry, entry + 1] {
        let addr = entries[at % entries.len()];
        let opened = Connection::connect(addr, Bounds::default(), CONNECT_TIME).await;
        if let Ok(connection) = opened {
            return Some(connection);
        }
    }
    None
}

fn request(callers: &Callers, arrival: &Arrival) -> Result<Request> {
    let body = body_of(arrival.number);
    let key = HeaderValue::from_str(&format!("Bearer {}-key", callers.teams[arrival.team].name))?;
    let target = format!("/v1/services/{}", profile::service(arrival.pool));
    let request = Request::post(target, body.clone())
        .header(header::AUTHORIZATION, key)
        .header(REQUEST_TIMEOUT, (DEADLINE.as_millis() as u64).into());
    Ok(match arrival.mark {
        Mark::Idempotent => request,
        Mark::Once => request.header(IDEMPOTENCY_KEY, HeaderValue::from_str(&body)?),
    })
}

fn told(response: &Response) -> Told {
    if response.status.is_success() {
        return Told::Answer;
    }
    let document: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let reason = document["title"].as_str().unwrap_or("backend server's own error").to_owned();
    match document["run"].as_str() {
        Some("not-run") => Told::NotRun(reason),
        _ => Told::Unknown(reason),
    }
}
