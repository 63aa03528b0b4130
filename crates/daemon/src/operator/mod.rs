//! The operator port: JSON-RPC 2.0 calls as the bodies of `POST /rpc`, with an operator's key.

mod methods;
mod report;

use std::rc::Rc;

use fuchsiamill_http::{Handler, Incoming, Response};
use fuchsiamill_model::OperatorName;
use fuchsiamill_peer::Router;
use http::{HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::cx::Cx;

pub use methods::{Inputs, answer, route};

const PATH: &str = "/rpc";
const BAD_REQUEST_CODE: i32 = -32600;
const UNAUTHORIZED_CODE: i32 = -32003;

/// A call with the operator who made it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Asked<T> {
    /// The operator, known by the key.
    pub who: OperatorName,
    /// What was asked.
    pub params: T,
}

/// Answers on the operator port.
pub struct Operators {
    cx: Rc<Cx>,
    router: Rc<Router>,
}

impl Operators {
    /// The operator port of the entry host that `cx` belongs to.
    pub fn new(cx: Rc<Cx>, router: Rc<Router>) -> Self {
        Self { cx, router }
    }

    fn who(&self, incoming: &Incoming) -> Option<&OperatorName> {
        let presented = incoming.request.text_header(header::AUTHORIZATION.as_str())?;
        self.cx.settings.operators.holder(presented.strip_prefix("Bearer ")?)
    }

    async fn call(&self, who: &OperatorName, body: &[u8]) -> Response {
        let Some(text) = with_operator(who, body) else {
            let detail = "Send one JSON-RPC 2.0 call with 'id', 'method' and 'params'.";
            return failure(StatusCode::BAD_REQUEST, BAD_REQUEST_CODE, detail);
        };
        match self.router.dispatch(&text).await {
            Some(answer) => Response::json(StatusCode::OK, answer),
            None => Response::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

impl Handler for Operators {
    async fn handle(&self, incoming: Incoming) -> Response {
        let request = &incoming.request;
        if request.path() != PATH {
            return Response::empty(StatusCode::NOT_FOUND);
        }
        if request.method != Method::POST {
            let allow = HeaderValue::from_static("POST");
            return Response::empty(StatusCode::METHOD_NOT_ALLOWED).header(header::ALLOW, allow);
        }
        let Some(who) = self.who(&incoming) else {
            self.cx.metrics.event("operator_keys_refused");
            let detail = "The operator's key is missing or not known; put its digest into section 'operators' of every entry host's settings.";
            return failure(StatusCode::UNAUTHORIZED, UNAUTHORIZED_CODE, detail);
        };
        self.call(who, &request.body).await
    }
}

/// The call with its parameters wrapped together with the operator's name.
fn with_operator(who: &OperatorName, body: &[u8]) -> Option<String> {
    let call: Value = serde_json::from_slice(body).ok()?;
    let id = call.get("id").filter(|id| id.is_string() || id.is_number())?;
    let method = call.get("method")?.as_str()?;
    let params = call.get("params").cloned().unwrap_or(Value::Null);
    let asked = json!([Asked { who: who.clone(), params }]);
    Some(json!({ "jsonrpc": "2.0", "id": id, "method": method, "params": asked }).to_string())
}

fn failure(status: StatusCode, code: i32, message: &str) -> Response {
    let error = json!({ "code": code, "message": message });
    let body = json!({ "jsonrpc": "2.0", "id": null, "error": error });
    Response::json(status, body.to_string())
}
