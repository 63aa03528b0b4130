//! What goes to a backend server, and what the end of an exchange means.

use fuchsiamill_http::{ExchangeError, Request, Response};
use fuchsiamill_model::{Problem, ProblemKind, Slots, TeamName};
use fuchsiamill_policy::{
    keys::Bearer,
    retry::{Failure, Idempotency},
};
use http::{HeaderValue, StatusCode, header};

use super::admit::{Call, REQUEST_TIMEOUT};
use crate::{
    backend::{Freshness, said},
    dispatch::{Ending, Report},
};

const TEAM: &str = "team";
const RUN_STATE: &str = "run-state";
const NOT_RUN: &str = "not-run";
const SLOTS_IN_USE: &str = "slots-in-use";

/// How one exchange ended.
pub enum Ended {
    /// With the whole answer.
    Answered(Response),
    /// Without one that may be passed on.
    Failed(Failure, String),
}

/// What a failed exchange means for the request.
pub fn ended(answer: Result<Response, ExchangeError>) -> (Ended, Report) {
    match answer {
        Ok(response) => {
            let report = report(&response);
            match report.ending {
                Ending::Refused => {
                    let detail = "The backend server refused the request before it ran.".into();
                    (Ended::Failed(Failure::SaidNotRun, detail), report)
                }
                _ => (Ended::Answered(response), report),
            }
        }
        Err(e) if e.is_certainly_unsent() => {
            (Ended::Failed(Failure::NotSent, plain(&e)), Report::of(Ending::Unreachable))
        }
        Err(e) => (Ended::Failed(Failure::MaybeRan, plain(&e)), Report::of(Ending::Lost)),
    }
}

/// A connection failure without the backend server's address, which is none of the caller's business.
fn plain(e: &ExchangeError) -> String {
    match e {
        ExchangeError::Connect { .. } => "The backend server could not be reached.".into(),
        _ => e.to_string(),
    }
}

fn report(response: &Response) -> Report {
    let text = |name: &str| response.headers.get(name).and_then(|it| it.to_str().ok());
    let refused =
        response.status == StatusCode::SERVICE_UNAVAILABLE && text(RUN_STATE) == Some(NOT_RUN);
    let ending = match response.status {
        _ if refused => Ending::Refused,
        status if status.is_server_error() => Ending::Failed,
        _ => Ending::Answered,
    };
    let slots_in_use = text(SLOTS_IN_USE).and_then(|it| it.parse::<Slots>().ok());
    Report { ending, said: said(&response.headers), slots_in_use }
}

/// The request as the backend server gets it: the caller's key never goes on.
pub fn outgoing(call: &Call, left: u64) -> Request {
    let mut request = call.request.clone();
    request.headers.remove(header::AUTHORIZATION);
    request.headers.remove(TEAM);
    if let Some(team) = team(call).and_then(|it| HeaderValue::from_str(it.as_str()).ok()) {
        request.headers.insert(TEAM, team);
    }
    request.headers.insert(REQUEST_TIMEOUT, left.into());
    request
}

/// The team that the request counts for.
pub fn team(call: &Call) -> Option<TeamName> {
    match &call.admitted.bearer {
        Bearer::Team { team, .. } => Some(team.clone()),
        Bearer::Open => None,
    }
}

/// A failure after an open connection must be the backend server's where work may run only once.
pub fn freshness(call: &Call) -> Freshness {
    match call.idempotency() {
        Idempotency::Idempotent => Freshness::Kept,
        Idempotency::NonIdempotent => Freshness::New,
    }
}

/// The refusal of a request whose tries all failed before anything ran.
pub fn refused(detail: &str) -> Problem {
    Problem::not_run(ProblemKind::BackendRefused, detail).retry_after(1_000)
}

/// The refusal of a request that may have run.
pub fn lost(detail: &str) -> Problem {
    Problem::unknown(ProblemKind::AnswerLost, detail)
}
