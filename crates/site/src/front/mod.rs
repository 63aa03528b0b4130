//! Handles callers' requests: posting and cancelling jobs, their state and queue counts.

mod admission;
mod lookup;
mod submit;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fuchsiamill_fleet::{
    Config, JobScope, JobSpec, Name, Queue, admission::Refusal, job::RouteSettings,
};
use fuchsiamill_http::{
    Response,
    server::{Handler, Incoming},
};
use fuchsiamill_model::{FastMap, units::Moment};
use fuchsiamill_platform::{Headers, Key, QueueRequest, Row, Store, read_queue_request};
use http::{HeaderValue, StatusCode, header};
use monoio::time::timeout;
use tokio::sync::{mpsc, oneshot, watch};

pub use admission::{Admission, Decision};
pub use submit::{Insert, Inserted, Submitter};

use crate::{
    clock::Clock,
    config::Intent,
    metrics::Metrics,
    relay::{Reach, Relay},
    senders::{Cancellations, Payloads},
    tables,
};

/// How long an insertion that the store refuses is retried: a quarter of the usual objective of a job.
const INSERT_RETRY_MS: u64 = 400;

/// The longest time for which a request is held while the store does not answer. A caller that gets an answer by then
/// still has time to try another entry host.
const MAX_HOLD_MS: u64 = 1_200;

/// A store that has answered any call within this time is considered slow, not unreachable.
const SLOW_STORE_TIME: Duration = Duration::from_millis(800);

/// The interval at which a request that waits for its insertion checks whether the store has become silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a caller waits if its request has no timeout of its own.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// The part of a caller's timeout that is reserved for the transmission of the answer.
const ANSWER_MARGIN_MS: u64 = 150;

/// The `Retry-After` of refusals, in seconds. Outages of the store last seconds.
const RETRY_AFTER_S: &str = "1";

/// The lowest HTTP status that counts as a refusal.
const FIRST_REFUSAL: u16 = 400;

/// The request handler for callers.
pub struct Front {
    /// The platform's store.
    pub store: Rc<Store>,
    /// The process's clock.
    pub clock: Clock,
    /// The operator's configuration and maintenance waves.
    pub intent: watch::Receiver<Intent>,
    /// The channels to the [`Submitter`]s, by partition of the table of jobs.
    pub submitters: FastMap<Name, mpsc::UnboundedSender<Insert>>,
    /// Shows whether this entry host is cut off from the others.
    pub relay: Rc<Relay>,
    /// The last board that was read.
    pub board: lookup::BoardCache,
    /// Counts requests and their latency.
    pub metrics: Rc<Metrics>,
    /// The largest row that the store accepts, in bytes.
    pub row_bytes: usize,
    /// The address at which other entry hosts reach this one.
    pub own_address: Name,
    /// The payloads of the jobs that this entry host has accepted.
    pub payloads: Rc<RefCell<Payloads>>,
    /// The cancellations that this entry host has answered.
    pub cancellations: Rc<RefCell<Cancellations>>,
    /// Decides whether a posted job is accepted.
    pub admission: Rc<Admission>,
}

pub use lookup::{Board, BoardCache};

/// The queue, team and time limits of an admitted request.
struct Admitted<'a> {
    queue: &'a Queue,
    team: Name,
    limits: Limits,
}

impl Admitted<'_> {
    /// Returns the jobs that the request concerns. The first scope is that of the jobs that the caller may post to the
    /// queue: those of its team, or on an open queue those of the queue, whoever posts them.
    fn scopes(&self) -> Vec<JobScope> {
        let team = (!self.team.is_empty()).then(|| JobScope::Team(self.team.clone()));
        let queue = self.queue.open.then(|| JobScope::Queue(self.queue.name.clone()));
        queue.into_iter().chain(team).collect()
    }
}

/// Until when a request is held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// The limit while the store does not answer.
    hold: Moment,
    /// The limit in any case.
    deadline: Moment,
}

impl Handler for Front {
    async fn handle(&self, incoming: Incoming) -> Response {
        let begun = self.clock.now();
        let response = self.answer(&incoming).await;
        let took = self.clock.now().since(begun);
        self.metrics.answered(response.status.as_u16(), took);
        if response.status.as_u16() >= FIRST_REFUSAL {
            let request = &incoming.request;
            tracing::info!(
                event = "request-refused",
                method = %request.method,
                path = request.path(),
                status = response.status.as_u16(),
                config = self.config_version(),
                took_ms = took,
            );
        }
        response
    }
}

impl Front {
    async fn answer(&self, incoming: &Incoming) -> Response {
        let request = &incoming.request;
        let Some(config) = self.intent.borrow().config.clone() else {
            return self.retry_later("no configuration was read yet");
        };
        let headers = Headers::from(request);
        let Some(queue) = config.route(headers.host, request.path()) else {
            return Response::text(StatusCode::NOT_FOUND, "no queue has this host and path");
        };
        let Some(team) = team_of(&config, queue, &headers) else {
            return Response::text(StatusCode::UNAUTHORIZED, "the key is not known");
        };
        let timeout_ms = headers.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let timeout_ms = timeout_ms.saturating_sub(ANSWER_MARGIN_MS);
        let now = self.clock.now();
        let limits = Limits { hold: now + timeout_ms.min(MAX_HOLD_MS), deadline: now + timeout_ms };
        let rest = &request.path()[queue.path_prefix.len()..];
        let admitted = Admitted { queue, team, limits };
        match read_queue_request(request, rest, self.clock.wall()) {
            Ok(QueueRequest::Submit { id, spec }) => {
                let weight = config.teams.get(&admitted.team).map(|it| it.weight);
                self.submit(id, *spec, admitted, weight).await
            }
            Ok(QueueRequest::State(id)) => self.state(&id, &admitted.scopes(), limits.hold).await,
            Ok(QueueRequest::Cancel(id)) => self.cancel(&id, &admitted.scopes(), limits).await,
            Ok(QueueRequest::Count) => self.count(&queue.name, limits.hold).await,
            Err(e) => Response::text(e.status(), e.to_string()),
        }
    }

    async fn submit(
        &self,
        id: Name,
        mut spec: JobSpec,
        admitted: Admitted<'_>,
        weight: Option<f64>,
    ) -> Response {
        let Admitted { queue, team, limits } = admitted;
        spec.queue = queue.name.clone();
        spec.team = team;
        spec.accepted_by = self.own_address.clone();
        spec.route = RouteSettings {
            pool: queue.pool.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective_ms: queue.objective_ms,
            advised: queue.advised,
        };
        let value = serde_json::to_vec(&spec).expect("a job serialises to JSON");
        let is_other = |row: &Row| {
            let stored = serde_json::from_slice::<JobSpec>(&row.value);
            stored.is_ok_and(|it| !it.is_repeated_by(&spec))
        };
        if value.len() > self.row_bytes {
            return Response::text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the job is too large to be kept",
            );
        }
        let begun = self.clock.now();
        let outcome = match self.admission.decide(&id, &spec, weight).await {
            Decision::Insert => self.insert_job(&id, value, limits).await,
            Decision::Known(row) => Inserted::Exists(row),
            Decision::Refused(refusal) => return refused(refusal),
        };
        tracing::info!(
            event = "job-posted",
            job = %id,
            queue = %queue.name,
            team = %spec.team,
            tasks = spec.task_count(),
            outcome = outcome_label(&outcome),
            config = self.config_version(),
            took_ms = self.clock.now().since(begun),
            store_heard_ms = self.store.since_last_answer().map(|it| it.as_millis() as u64),
        );
        // After another outcome the job of this id may be another one.
        if outcome == Inserted::Stored {
            self.payloads.borrow_mut().keep(id, &spec);
        }
        match outcome {
            Inserted::Exists(row) if is_other(&row) => Response::text(
                StatusCode::CONFLICT,
                "another job has this id; this one was not accepted, send it with a new id",
            ),
            Inserted::Stored | Inserted::Exists(_) => Response::empty(StatusCode::OK),
            Inserted::Refused => self.retry_later("the job was not stored and will not run"),
            Inserted::Unknown => {
                Response::text(StatusCode::GATEWAY_TIMEOUT, "the job may be stored; ask again")
            }
        }
    }

    /// Inserts a job's row. Until the outcome is known, a repeated post of the job is not refused.
    async fn insert_job(&self, id: &Name, value: Vec<u8>, limits: Limits) -> Inserted {
        self.admission.insertion_begins(id);
        let outcome = self.insert(tables::job_key(id), value, limits).await;
        match outcome {
            Inserted::Stored | Inserted::Exists(_) => self.admission.insertion_ended(id),
            Inserted::Refused => {
                self.admission.insertion_ended(id);
                self.admission.insertion_failed();
            }
            Inserted::Unknown => self.admission.insertion_failed(),
        }
        outcome
    }

    /// Returns the version of the configuration in force; 0 before the first.
    fn config_version(&self) -> u64 {
        self.intent.borrow().config.as_ref().map_or(0, |it| it.version)
    }

    /// Refuses a request that was not carried out, with a `Retry-After`. The caller's next attempt goes to another
    /// entry host, so it may be made at once if only this one is cut off.
    fn retry_later(&self, text: &str) -> Response {
        let is_cut_off = !self.store.is_direct_path_up() && self.relay.reach() == Reach::CutOff;
        let after = HeaderValue::from_static(if is_cut_off { "0" } else { RETRY_AFTER_S });
        Response::text(StatusCode::SERVICE_UNAVAILABLE, text).header(header::RETRY_AFTER, after)
    }

    async fn insert(&self, key: Key, value: Vec<u8>, limits: Limits) -> Inserted {
        if self.store.is_silent() {
            return Inserted::Refused;
        }
        let (reply, mut outcome) = oneshot::channel();
        let give_up = (self.clock.now() + INSERT_RETRY_MS).min(limits.hold);
        let Some(submitter) = self.submitters.get(&key.part) else { return Inserted::Refused };
        let is_sent = Rc::new(Cell::new(false));
        let deadline = limits.deadline;
        let insert = Insert { key, value, give_up, deadline, is_sent: is_sent.clone(), reply };
        if submitter.send(insert).is_err() {
            return Inserted::Refused;
        }
        let mut until = limits.hold;
        loop {
            let left = Duration::from_millis(until.since(self.clock.now()));
            match timeout(left.min(SILENCE_CHECK_INTERVAL), &mut outcome).await {
                Ok(outcome) => return outcome.unwrap_or(Inserted::Unknown),
                // The insertion still waits for its turn and was not sent, so the caller may retry.
                Err(_) if !is_sent.get() && self.store.is_silent() => return Inserted::Refused,
                Err(_) if self.clock.now() < until => {}
                Err(_) if until < deadline && self.store.has_answered_within(SLOW_STORE_TIME) => {
                    until = deadline;
                }
                Err(_) if is_sent.get() => return Inserted::Unknown,
                Err(_) => return Inserted::Refused,
            }
        }
    }
}

/// Refuses a job because its pool cannot do it in time.
fn refused(refusal: Refusal) -> Response {
    let text = "the pool is full; the job was not stored and will not run";
    let after = HeaderValue::from(refusal.after_s);
    Response::text(StatusCode::TOO_MANY_REQUESTS, text).header(header::RETRY_AFTER, after)
}

fn team_of(config: &Arc<Config>, queue: &Queue, headers: &Headers<'_>) -> Option<Name> {
    let team = headers.key.and_then(|it| config.keys.get(it)).cloned();
    match queue.open {
        true => Some(team.unwrap_or_default()),
        false => team,
    }
}

fn outcome_label(outcome: &Inserted) -> &'static str {
    match outcome {
        Inserted::Stored => "accepted",
        Inserted::Exists(_) => "known",
        Inserted::Refused => "refused",
        Inserted::Unknown => "unknown",
    }
}
