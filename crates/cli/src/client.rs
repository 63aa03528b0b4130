//! Calls on the operator port of the first entry host that answers.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient, json::CallError};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

use crate::{
    access::Access,
    error::{Error, Result},
};

const CALL_TIME: Duration = Duration::from_secs(20);
const LARGEST_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A client of the entry hosts.
pub struct Client {
    access: Access,
    first: Cell<usize>,
}

#[derive(Deserialize)]
struct Answer {
    result: Option<Value>,
    error: Option<AnswerError>,
}

#[derive(Deserialize)]
struct AnswerError {
    message: String,
}

impl Client {
    /// A client of these entry hosts.
    pub fn new(access: Access) -> Self {
        Self { access, first: Cell::new(0) }
    }

    /// Calls a method; every method may be called again without acting twice, so the next entry
    /// host is tried when one does not answer.
    pub fn call<R: DeserializeOwned>(&self, method: &str, params: &impl Serialize) -> Result<R> {
        let call = json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": params });
        let count = self.access.entries.len();
        let mut failed = Error::NoEntry;
        for turn in 0..count {
            let index = (self.first.get() + turn) % count;
            let entry = self.access.entries[index];
            match self.call_one(entry, &call) {
                Err(e @ Error::Unreachable { .. }) => {
                    if turn + 1 < count {
                        eprintln!("entry host {entry} does not answer; trying the next one");
                    }
                    failed = e;
                }
                answer => {
                    self.first.set(index);
                    return read(entry, answer?);
                }
            }
        }
        Err(failed)
    }

    fn call_one(&self, entry: SocketAddr, call: &Value) -> Result<Value> {
        let client = JsonClient::new(entry, bounds(), CALL_TIME).bearer(&self.access.key);
        let answer: std::result::Result<Answer, _> =
            block_on(async { client.post("/rpc", call).await });
        match answer {
            Ok(Answer { error: Some(e), .. }) => Err(Error::Refused(e.message)),
            Ok(answer) => Ok(answer.result.unwrap_or_default()),
            Err(e) => Err(error_of(entry, e)),
        }
    }
}

/// Gets a value from a port that needs no key.
pub fn get<R: DeserializeOwned>(entry: SocketAddr, target: &str) -> Result<R> {
    let client = JsonClient::new(entry, bounds(), CALL_TIME);
    block_on(async { client.get(target).await }).map_err(|e| match e {
        CallError::Status { status: StatusCode::NOT_FOUND, body } => Error::Refused(body),
        other => error_of(entry, other),
    })
}

fn bounds() -> Bounds {
    Bounds { body_bytes: LARGEST_ANSWER_BYTES, ..Bounds::default() }
}

fn read<R: DeserializeOwned>(entry: SocketAddr, result: Value) -> Result<R> {
    serde_json::from_value(result).map_err(|e| Error::Malformed { entry, cause: e.to_string() })
}

fn error_of(entry: SocketAddr, e: CallError) -> Error {
    match e {
        CallError::Status { status: StatusCode::UNAUTHORIZED, body } => {
            let told = serde_json::from_str::<Answer>(&body).ok().and_then(|it| it.error);
            Error::KeyRefused(told.map_or(body, |it| it.message))
        }
        CallError::Json(e) => Error::Malformed { entry, cause: e.to_string() },
        other => Error::Unreachable { cause: other.to_string() },
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    built.expect("the system gives an epoll descriptor").block_on(future)
}
