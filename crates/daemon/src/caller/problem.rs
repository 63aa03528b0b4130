//! Refusals as RFC 9457 problem documents.

use fuchsiamill_http::{Malformed, Response};
use fuchsiamill_model::{Problem, ProblemKind, RunState};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");
const MS_PER_SECOND: u64 = 1000;

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    remedy: &'a str,
    run: RunState,
}

/// The answer that tells a caller of a refusal.
pub fn response(problem: &Problem) -> Response {
    let slug = problem.kind.slug();
    let document = Document {
        r#type: format!("urn:fuchsiamill:problem:{slug}"),
        title: slug,
        status: problem.kind.status(),
        detail: &problem.detail,
        remedy: problem.kind.remedy(),
        run: problem.run,
    };
    let status =
        StatusCode::from_u16(problem.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::with_type(status, MEDIA_TYPE, body);
    if problem.kind == ProblemKind::MethodNotAllowed {
        response = response.header(header::ALLOW, HeaderValue::from_static("POST"));
    }
    match problem.retry_after {
        Some(ms) => response.header(header::RETRY_AFTER, ms.div_ceil(MS_PER_SECOND).into()),
        None => response,
    }
}

/// The refusal of what could not be understood as a request.
pub fn of_malformed(malformed: Malformed) -> Problem {
    match malformed {
        Malformed::Idle | Malformed::TooSlow => {
            Problem::not_run(ProblemKind::TooSlow, "The request did not arrive in time.")
        }
        Malformed::TooLarge => {
            Problem::not_run(ProblemKind::TooLarge, "The head or the body is over its bound.")
        }
        Malformed::Garbage => {
            Problem::not_run(ProblemKind::BadRequest, "The bytes are no unambiguous HTTP request.")
        }
        Malformed::Cut => Problem::not_run(ProblemKind::BadRequest, "The request was cut short."),
        Malformed::TooManyConnections => {
            Problem::not_run(ProblemKind::Overloaded, "Too many connections are open.")
                .retry_after(MS_PER_SECOND)
        }
        Malformed::Overloaded => {
            Problem::not_run(ProblemKind::Overloaded, "Too many large requests are under way.")
                .retry_after(MS_PER_SECOND)
        }
    }
}
