//! Answers with JSON bodies.

use fuchsiamill_http::{Incoming, Response};
use http::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

/// An answer with a value.
pub fn value<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Reads the body and answers with what `answer` makes of it.
pub fn with_body<T: DeserializeOwned>(body: &[u8], answer: impl FnOnce(T) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(body) => answer(body),
        Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

/// Never answers: waits until the peer has gone.
pub async fn never(mut incoming: Incoming) -> Response {
    incoming.hangup.wait().await;
    Response::empty(StatusCode::SERVICE_UNAVAILABLE)
}
