//! Callers' requests: admitted by key, granted a slot, sent and answered whole.

mod problem;

use std::rc::Rc;

use fuchsiamill_http::{ExchangeError, Handler, Incoming, Malformed, Request, Response};
use fuchsiamill_model::{
    KeyDigest, Problem, ProblemKind, ServiceName, TeamName,
    config::{Access, Service},
};
use http::{HeaderName, HeaderValue, Method, header};

use crate::{
    cx::Cx,
    dispatch::{Ask, Ending},
};

const SERVICES: &str = "/v1/services/";
const TEAM: HeaderName = HeaderName::from_static("team");
const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

type Result<T> = std::result::Result<T, Problem>;

/// Answers on the caller port.
pub struct Callers {
    cx: Rc<Cx>,
}

impl Callers {
    /// The caller port of the entry host that `cx` belongs to.
    pub fn new(cx: Rc<Cx>) -> Self {
        Self { cx }
    }

    async fn serve(&self, incoming: Incoming) -> Result<Response> {
        let request = incoming.request;
        let service = self.service(&request)?;
        let team = self.team(&service, &request)?;
        self.check_standing()?;
        let now = self.cx.clock.now();
        let deadline = now + self.allowed(&request);
        let ask = Ask { pool: service.pool.clone(), team: team.clone(), deadline };
        let grant = self.cx.dispatch.acquire(&self.cx, ask).await?;
        self.check_standing()?;
        let request = outgoing(request, team, grant.deadline.since(self.cx.clock.now()));
        let answer = self
            .cx
            .backends
            .exchange(grant.backend, request, self.cx.clock.instant(grant.deadline))
            .await;
        let ending = match &answer {
            Ok(_) => Ending::Answered,
            Err(e) if e.is_certainly_unsent() => Ending::Unsent,
            Err(_) => Ending::Lost,
        };
        self.cx.dispatch.release(&self.cx, grant, ending);
        answer.map_err(lost)
    }

    fn service(&self, request: &Request) -> Result<Service> {
        let path = request.path();
        let name = path.strip_prefix(SERVICES).and_then(|it| ServiceName::try_from(it).ok());
        let config = self.cx.config.current();
        let service = name.and_then(|it| config.services.get(&it).cloned());
        let not_found =
            || Problem::not_run(ProblemKind::NotFound, format!("Nothing is at '{path}'."));
        let service = service.ok_or_else(not_found)?;
        if request.method != Method::POST {
            let detail = format!("'{path}' does not take {}.", request.method);
            return Err(Problem::not_run(ProblemKind::MethodNotAllowed, detail));
        }
        Ok(service)
    }

    fn team(&self, service: &Service, request: &Request) -> Result<Option<TeamName>> {
        if service.access == Access::Open {
            return Ok(None);
        }
        let presented = request
            .text_header(header::AUTHORIZATION.as_str())
            .and_then(|it| it.strip_prefix("Bearer "));
        let Some(presented) = presented else {
            return Err(Problem::not_run(
                ProblemKind::KeyMissing,
                "The service needs a team's key.",
            ));
        };
        let digest = KeyDigest::of(presented);
        let config = self.cx.config.current();
        let key = config.keys.values().find(|it| it.digest == digest);
        let refused =
            || Problem::not_run(ProblemKind::KeyRefused, "The key is not known or was withdrawn.");
        key.map(|it| Some(it.team.clone())).ok_or_else(refused)
    }

    fn check_standing(&self) -> Result<()> {
        match self.cx.cluster.standing().refusal() {
            None => Ok(()),
            Some(reason) => {
                Err(Problem::not_run(ProblemKind::NotInStanding, reason).retry_after(1000))
            }
        }
    }

    fn allowed(&self, request: &Request) -> u64 {
        let bounds = &self.cx.settings.callers;
        let wanted = request.text_header(REQUEST_TIMEOUT.as_str()).and_then(|it| it.parse().ok());
        wanted.unwrap_or(bounds.default_deadline_ms).min(bounds.longest_deadline_ms)
    }
}

impl Handler for Callers {
    async fn handle(&self, incoming: Incoming) -> Response {
        match self.serve(incoming).await {
            Ok(response) => response,
            Err(problem) => problem::response(&problem),
        }
    }

    fn refuse(&self, malformed: Malformed) -> Response {
        problem::response(&problem::of_malformed(malformed))
    }
}

fn outgoing(mut request: Request, team: Option<TeamName>, left: u64) -> Request {
    request.headers.remove(header::AUTHORIZATION);
    request.headers.remove(TEAM);
    if let Some(team) = team.and_then(|it| HeaderValue::from_str(it.as_str()).ok()) {
        request.headers.insert(TEAM, team);
    }
    request.headers.insert(REQUEST_TIMEOUT, left.into());
    request
}

fn lost(e: ExchangeError) -> Problem {
    if e.is_certainly_unsent() {
        Problem::not_run(ProblemKind::BackendRefused, e.to_string())
    } else {
        Problem::unknown(ProblemKind::AnswerLost, e.to_string())
    }
}
