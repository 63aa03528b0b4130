//! What a request asks for, checked before anything is done for it.

use fuchsiamill_http::{Hangup, Incoming, Request};
use fuchsiamill_model::{Millisecond, Moment, Problem, ProblemKind, RunState, ServiceName};
use fuchsiamill_policy::{
    claims::{ClaimKey, IdempotencyKey, RequestDigest, Scope},
    keys::{Admitted, Bearer, KeyRing},
    retry::Idempotency,
};
use fuchsiamill_settings::Callers;
use http::{HeaderMap, HeaderName, Method, header};

use super::Result;

/// The caller's own bound on the time that its request may take, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

const SERVICES: &str = "/v1/services/";
const IDEMPOTENT: HeaderName = HeaderName::from_static("idempotent");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const BEARER: &str = "Bearer ";

/// Whether a request may run twice.
#[derive(Clone, Debug)]
pub enum Mark {
    /// It may.
    Idempotent,
    /// It may not.
    NonIdempotent {
        /// The row of its claim.
        key: ClaimKey,
        /// What it asks.
        request: RequestDigest,
    },
}

/// A request that may be queued.
pub struct Call {
    /// The service, pool and team.
    pub admitted: Admitted,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// Whether it may run twice.
    pub mark: Mark,
    /// The request as it came.
    pub request: Request,
    /// Tells when the caller has gone.
    pub hangup: Hangup,
}

impl Call {
    /// Checks a request; refuses what can never be served as it is.
    pub fn admit(
        ring: &KeyRing,
        settings: &Callers,
        incoming: Incoming,
        arrived: Moment,
    ) -> Result<Self> {
        let Incoming { request, hangup, .. } = incoming;
        let key = idempotency_key(&request.headers)?;
        let admitted = admit_request(ring, &request);
        let checked = admitted.and_then(|it| Ok((it, allowed(settings, &request.headers)?)));
        let (admitted, allowed) = checked.map_err(|problem| before_claim(problem, key.as_ref()))?;
        let mark = match key {
            None => Mark::Idempotent,
            Some(key) => Mark::NonIdempotent {
                key: ClaimKey::new(&scope(&admitted), &key),
                request: digest(&admitted.service, &request),
            },
        };
        Ok(Self { admitted, deadline: arrived + allowed, mark, request, hangup })
    }

    /// Whether the request may run twice.
    pub fn idempotency(&self) -> Idempotency {
        match self.mark {
            Mark::Idempotent => Idempotency::Idempotent,
            Mark::NonIdempotent { .. } => Idempotency::NonIdempotent,
        }
    }

    /// A refusal before the request's claim was read.
    pub fn before_claim(&self, problem: Problem) -> Problem {
        match self.mark {
            Mark::Idempotent => problem,
            Mark::NonIdempotent { .. } => unread(problem),
        }
    }
}

fn before_claim(problem: Problem, key: Option<&IdempotencyKey>) -> Problem {
    match key {
        None => problem,
        Some(_) => unread(problem),
    }
}

fn unread(problem: Problem) -> Problem {
    let detail = format!(
        "{} Whether an earlier request with the same idempotency key ran was not read.",
        problem.detail
    );
    Problem { run: RunState::Unknown, detail, ..problem }
}

fn admit_request(ring: &KeyRing, request: &Request) -> Result<Admitted> {
    let path = request.path();
    let name = path.strip_prefix(SERVICES).and_then(|it| ServiceName::try_from(it).ok());
    let not_found = || Problem::not_run(ProblemKind::NotFound, "Nothing is at this path.");
    let name = name.ok_or_else(not_found)?;
    if request.method != Method::POST {
        let detail = format!("A service does not take {}.", request.method);
        return Err(Problem::not_run(ProblemKind::MethodNotAllowed, detail));
    }
    ring.admit(&name, presented(&request.headers)?)
}

fn presented(headers: &HeaderMap) -> Result<Option<&str>> {
    let Some(value) = once(headers, &header::AUTHORIZATION)? else { return Ok(None) };
    let scheme = value.get(..BEARER.len());
    if scheme.is_some_and(|it| it.eq_ignore_ascii_case(BEARER)) {
        return Ok(Some(value[BEARER.len()..].trim()));
    }
    Err(Problem::not_run(
        ProblemKind::KeyMissing,
        "The 'authorization' header holds no bearer key.",
    ))
}

/// The idempotency key of a request that is marked as non-idempotent.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>> {
    let key = once(headers, &IDEMPOTENCY_KEY)?;
    match (once(headers, &IDEMPOTENT)?, key) {
        (None | Some("true"), None) => Ok(None),
        (Some("false"), None) => Err(Problem::not_run(
            ProblemKind::IdempotencyKeyMissing,
            "The request is marked 'idempotent: false' and has no idempotency key.",
        )),
        (None | Some("true" | "false"), Some(key)) => {
            let key = IdempotencyKey::try_from(key);
            key.map(Some).map_err(|e| bad_request(e.to_string()))
        }
        (Some(_), _) => Err(bad_request("The header 'idempotent' may be 'true' or 'false'.")),
    }
}

fn allowed(settings: &Callers, headers: &HeaderMap) -> Result<Millisecond> {
    let Some(raw) = once(headers, &REQUEST_TIMEOUT)? else {
        return Ok(settings.default_deadline_ms);
    };
    let not_a_number =
        |_| bad_request("The header 'request-timeout-ms' is not a whole number of milliseconds.");
    let wanted: Millisecond = raw.parse().map_err(not_a_number)?;
    Ok(wanted.min(settings.longest_deadline_ms))
}

/// The value of a header that may stand at most once.
fn once<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request(format!("The header '{name}' may stand only once.")));
    }
    let not_text = |_| bad_request(format!("The header '{name}' is not plain text."));
    value.to_str().map(Some).map_err(not_text)
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, detail)
}

fn scope(admitted: &Admitted) -> Scope {
    match &admitted.bearer {
        Bearer::Team { team, .. } => Scope::Team(team.clone()),
        Bearer::Open => Scope::Open(admitted.service.clone()),
    }
}

fn digest(service: &ServiceName, request: &Request) -> RequestDigest {
    let content_type = request.headers.get(header::CONTENT_TYPE);
    RequestDigest::of(service, content_type.map_or(b"", |it| it.as_bytes()), &request.body)
}
