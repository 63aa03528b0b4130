//! Dispatch of calls and notifications to the tasks that answer them.

use std::sync::Arc;

use fuchsiamill_model::FastMap;
use jsonrpsee::{
    RpcModule,
    types::{ErrorObjectOwned, Notification},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, Result};

const REFUSED_CODE: i32 = -32000;
const PARAMS_CODE: i32 = -32602;
const GONE_CODE: i32 = -32001;

/// Why the answering side refuses a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The JSON-RPC error code.
    pub code: i32,
    /// The reason and its remedy.
    pub message: String,
}

impl Failure {
    /// A refusal with a reason that names the remedy.
    pub fn refused(message: impl Into<String>) -> Self {
        Self { code: REFUSED_CODE, message: message.into() }
    }
}

/// A call that waits for its answer.
pub struct Call {
    /// The parameters.
    pub params: Value,
    reply: oneshot::Sender<std::result::Result<Value, Failure>>,
}

impl Call {
    /// Reads the parameters; a call whose parameters cannot be read is refused at once.
    pub fn parse<T: DeserializeOwned>(self) -> Option<(T, Reply)> {
        match serde_json::from_value(self.params) {
            Ok(params) => Some((params, Reply(self.reply))),
            Err(e) => {
                let message = format!(
                    "The parameters cannot be read: {e}; run the same version on every entry host."
                );
                let _ = self.reply.send(Err(Failure { code: PARAMS_CODE, message }));
                None
            }
        }
    }
}

/// The place where a call's answer goes.
pub struct Reply(oneshot::Sender<std::result::Result<Value, Failure>>);

impl Reply {
    /// Answers the call.
    pub fn send<T: Serialize>(self, answer: std::result::Result<T, Failure>) {
        let answer = answer
            .and_then(|it| serde_json::to_value(it).map_err(|e| Failure::refused(e.to_string())));
        let _ = self.0.send(answer);
    }
}

/// Sends calls to the task that answers them.
pub type CallSender = mpsc::UnboundedSender<Call>;
/// Receives the calls that a task answers.
pub type CallReceiver = mpsc::UnboundedReceiver<Call>;
/// The parameters of a notification.
pub type Notice = Value;
/// Sends notifications to the task that takes them.
pub type NoticeSender = mpsc::UnboundedSender<Notice>;
/// Receives the notifications that a task takes.
pub type NoticeReceiver = mpsc::UnboundedReceiver<Notice>;

/// A channel of calls.
pub fn call_channel() -> (CallSender, CallReceiver) {
    mpsc::unbounded_channel()
}

/// A channel of notifications.
pub fn notice_channel() -> (NoticeSender, NoticeReceiver) {
    mpsc::unbounded_channel()
}

#[derive(Deserialize)]
struct Head {
    id: Option<serde::de::IgnoredAny>,
}

/// Knows which task answers which method.
pub struct Router {
    module: RpcModule<()>,
    notices: FastMap<&'static str, NoticeSender>,
}

impl Default for Router {
    fn default() -> Self {
        Self { module: RpcModule::new(()), notices: FastMap::default() }
    }
}

impl Router {
    /// Sends the calls of `method` to `tx`. A method is routed once.
    pub fn route(&mut self, method: &'static str, tx: CallSender) {
        let callback = move |params: jsonrpsee::types::Params<'static>, _: Arc<()>, _| {
            let tx = tx.clone();
            async move { forward(tx, params.one().unwrap_or(Value::Null)).await }
        };
        self.module.register_async_method(method, callback).expect("a method is routed once");
    }

    /// Sends the notifications of `method` to `tx`.
    pub fn route_notices(&mut self, method: &'static str, tx: NoticeSender) {
        self.notices.insert(method, tx);
    }

    /// Takes one message; gives the answer of a call, and nothing for a notification.
    pub async fn dispatch(&self, text: &str) -> Option<String> {
        if let Some(notice) = self.notice(text) {
            return notice;
        }
        let (answer, _) = self.module.raw_json_request(text, 1).await.ok()?;
        Some(answer.get().to_owned())
    }

    fn notice(&self, text: &str) -> Option<Option<String>> {
        let head: Head = serde_json::from_str(text).ok()?;
        if head.id.is_some() {
            return None;
        }
        let notice: Notification<Value> = serde_json::from_str(text).ok()?;
        if let Some(tx) = self.notices.get(notice.method.as_ref()) {
            let _ = tx.send(notice.params);
        }
        Some(None)
    }
}

async fn forward(tx: CallSender, params: Value) -> std::result::Result<Value, ErrorObjectOwned> {
    let (reply, answer) = oneshot::channel();
    let gone = || {
        ErrorObjectOwned::owned(
            GONE_CODE,
            "The task has ended; ask another entry host.",
            None::<()>,
        )
    };
    tx.send(Call { params, reply }).map_err(|_| gone())?;
    match answer.await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(failure)) => Err(ErrorObjectOwned::owned(failure.code, failure.message, None::<()>)),
        Err(_) => Err(gone()),
    }
}

/// Reads the answer of a call out of a JSON-RPC response.
pub(crate) fn read_answer<T: DeserializeOwned>(answer: Value) -> Result<T> {
    serde_json::from_value(answer).map_err(|e| Error::Malformed(e.to_string()))
}
