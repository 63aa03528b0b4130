//! Calls on the operator port, as a program makes them.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_api::{ChangeReport, ChangeRequest, SiteStatus};
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, JsonClient, json::CallError};
use fuchsiamill_model::{Change, ChangeId, Version};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

const TIME: Duration = Duration::from_secs(60);

/// Calls a method with an operator's key.
pub fn try_call<P: Serialize>(
    addr: SocketAddr,
    key: &str,
    method: &str,
    params: P,
) -> Result<Value, CallError> {
    let client = JsonClient::new(addr, Bounds::default(), TIME).bearer(key);
    let call = json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": params });
    block_on(async { client.post("/rpc", &call).await })
}

/// Calls a method as the operator ada and reads the result.
pub fn call<P: Serialize, R: DeserializeOwned>(addr: SocketAddr, method: &str, params: P) -> R {
    let answer = try_call(addr, "ada-key", method, params).expect("the operator port answers");
    let result = answer.get("result").unwrap_or_else(|| panic!("{method}: {answer}"));
    serde_json::from_value(result.clone()).expect("the result is as expected")
}

/// Asks for a change as the operator with this key.
pub fn change(
    addr: SocketAddr,
    key: &str,
    id: &str,
    basis: Option<Version>,
    changes: Vec<Change>,
) -> ChangeReport {
    let answer = ask_change(addr, key, id, basis, changes).expect("the operator port answers");
    let report = answer.get("result").unwrap_or_else(|| panic!("no report of {id}: {answer}"));
    serde_json::from_value(report.clone()).expect("the report is as expected")
}

/// Like [`change`], or `None` when no report came.
pub fn try_change(
    addr: SocketAddr,
    key: &str,
    id: &str,
    basis: Option<Version>,
    changes: Vec<Change>,
) -> Option<ChangeReport> {
    let answer = ask_change(addr, key, id, basis, changes).ok()?;
    serde_json::from_value(answer.get("result")?.clone()).ok()
}

fn ask_change(
    addr: SocketAddr,
    key: &str,
    id: &str,
    basis: Option<Version>,
    changes: Vec<Change>,
) -> Result<Value, CallError> {
    let id = ChangeId(id.into());
    let request = ChangeRequest { id, intent: "change for a test".into(), basis, changes };
    try_call(addr, key, "config.change", request)
}

/// The site's status as one entry host tells it.
pub fn status(addr: SocketAddr) -> SiteStatus {
    call(addr, "site.status", ())
}
