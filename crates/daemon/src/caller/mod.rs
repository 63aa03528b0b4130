//! Callers' requests: admitted by key, claimed when not idempotent, granted a slot, sent and
//! answered whole.

mod admit;
mod attempt;
mod exchange;
mod problem;

use std::{cell::RefCell, pin::pin, rc::Rc};

use fuchsiamill_http::{Handler, Incoming, Malformed, Response};
use fuchsiamill_model::{Moment, Problem, ProblemKind, Version};
use fuchsiamill_policy::{
    claims::{Claim, Held},
    keys::KeyRing,
    retry::{self, Budget, RetryState},
};
use fuchsiamill_settings::Retries;
use http::Method;
use monoio::time::sleep_until;
use opentelemetry::KeyValue;
use tokio::sync::watch;

use crate::{
    claims::{self, Claimed, Wanted},
    cx::Cx,
    jobs,
};
use admit::{Call, Mark};
use exchange::Exchange;

/// The least time that must be left before the deadline when a retry begins.
const LEAST_LEFT_MS: u64 = 20;
const PER_MILLE_OF_PERCENT: u32 = 10;

type Result<T> = std::result::Result<T, Problem>;

/// Whether queued requests may go on waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// They may.
    Open,
    /// The process shuts down: they are refused.
    Closed,
}

/// Answers on the caller port.
pub struct Callers {
    cx: Rc<Cx>,
    queueing: watch::Receiver<Queueing>,
    budget: RefCell<Budget>,
    ring: RefCell<(Version, Rc<KeyRing>)>,
    rng: RefCell<fastrand::Rng>,
}

impl Callers {
    /// The caller port of the entry host that `cx` belongs to.
    pub fn new(cx: Rc<Cx>, queueing: watch::Receiver<Queueing>) -> Self {
        let budget = RefCell::new(Budget::new(retry_bounds(&cx.settings.retries)));
        let ring = RefCell::new((Version::default(), Rc::default()));
        Self { cx, queueing, budget, ring, rng: RefCell::new(fastrand::Rng::new()) }
    }

    /// The keys of the configuration that is applied.
    fn ring(&self) -> Rc<KeyRing> {
        let config = self.cx.config.current();
        let mut ring = self.ring.borrow_mut();
        if ring.0 != config.version {
            *ring = (config.version, Rc::new(KeyRing::from(&*config)));
        }
        ring.1.clone()
    }

    async fn serve(&self, incoming: Incoming, arrived: Moment) -> Result<Response> {
        let cx = &self.cx;
        if jobs::is_jobs_path(incoming.request.path()) {
            self.check_open().map_err(jobs::before_look_up)?;
            return jobs::serve(cx, &self.ring(), &incoming.request).await;
        }
        let call = Call::admit(&self.ring(), &cx.settings.callers, incoming, arrived)?;
        // Whether an earlier request with the same idempotency key ran is not known before its claim is read.
        let ready = self.check_open().and_then(|()| self.check_standing());
        ready.map_err(|problem| call.before_claim(problem))?;
        let claim = match self.claim(&call).await? {
            Ready::Idempotent => None,
            Ready::Held(claim) => Some(claim),
            Ready::Replay(response) => return Ok(response),
        };
        self.budget.borrow_mut().earn();
        let tries = RetryState::new(call.idempotency(), call.deadline);
        Exchange { callers: self, call, tries, claim }.run().await
    }

    async fn claim(&self, call: &Call) -> Result<Ready> {
        let Mark::NonIdempotent { key, request } = &call.mark else { return Ok(Ready::Idempotent) };
        let now = self.cx.clock.now();
        let patience = now + self.cx.settings.claims.wait_ms;
        let wall = self.cx.clock.wall();
        let wanted = Wanted {
            key: key.clone(),
            request: *request,
            deadline: fuchsiamill_model::WallTime(wall.0 + call.deadline.since(now)),
            give_up: patience.min(call.deadline),
        };
        match claims::claim(&self.cx, wanted, self.stop_waiting(call)).await {
            Claimed::Held(claim) => Ok(Ready::Held(claim)),
            Claimed::Replay(response) => Ok(Ready::Replay(response)),
            Claimed::Refused(problem) => Err(problem),
        }
    }

    /// Ends when a request has to stop waiting: at its deadline, at a shutdown, without its caller.
    async fn stop_waiting(&self, call: &Call) {
        let mut queueing = self.queueing.clone();
        let mut hangup = call.hangup.clone();
        let closed = pin!(queueing.wait_for(|it| *it == Queueing::Closed));
        let gone = pin!(hangup.wait());
        let late = pin!(sleep_until(self.cx.clock.instant(call.deadline)));
        monoio::select! {
            _ = closed => {}
            _ = gone => {}
            _ = late => {}
        }
    }

    fn check_open(&self) -> Result<()> {
        match *self.queueing.borrow() {
            Queueing::Open => Ok(()),
            Queueing::Closed => Err(shutting_down()),
        }
    }

    fn check_standing(&self) -> Result<()> {
        match self.cx.cluster.standing().refusal() {
            None => Ok(()),
            Some(reason) => {
                Err(Problem::not_run(ProblemKind::NotInStanding, reason).retry_after(1_000))
            }
        }
    }

    fn refuse_with(&self, problem: &Problem) -> Response {
        let kind = KeyValue::new("kind", problem.kind.slug());
        self.cx.metrics.refusals.add(1, &[kind]);
        problem::response(problem)
    }
}

impl Handler for Callers {
    async fn handle(&self, incoming: Incoming) -> Response {
        let arrived = self.cx.clock.now();
        let head = incoming.request.method == Method::HEAD;
        let answer = self.serve(incoming, arrived).await;
        let took = self.cx.clock.now().since(arrived);
        self.cx.metrics.latency.record(took as f64, &[]);
        let outcome = if answer.is_ok() { "answered" } else { "refused" };
        self.cx.metrics.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        match answer {
            Ok(response) => response,
            Err(problem) => {
                let mut response = self.refuse_with(&problem);
                if head {
                    response.body = Default::default();
                }
                response
            }
        }
    }

    fn refuse(&self, malformed: Malformed) -> Response {
        self.refuse_with(&problem::of_malformed(malformed))
    }
}

enum Ready {
    Idempotent,
    Held(Box<Claim<Held>>),
    Replay(Response),
}

fn shutting_down() -> Problem {
    let detail = "This entry host is shutting down; the request was not sent.";
    Problem::not_run(ProblemKind::ShuttingDown, detail).retry_after(0)
}

fn retry_bounds(settings: &Retries) -> retry::Bounds {
    retry::Bounds {
        per_mille: settings.budget_percent * PER_MILLE_OF_PERCENT,
        burst: settings.burst,
        max_attempts: settings.attempts,
        max_first_delay: settings.backoff_ms,
        min_time_left: LEAST_LEFT_MS,
    }
}
