//! Calls with JSON bodies on one kept connection.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::time::Instant;
use serde::{Serialize, de::DeserializeOwned};

use crate::{bounds::Bounds, connection::Connection, error::ExchangeError, message::Request};

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call gave no value.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The server refused.
    #[error("The server answered {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body as text.
        body: String,
    },
    /// The body is not the JSON that was expected.
    #[error("The body is not the JSON expected: {0}; check that both sides have the same version.")]
    Json(#[from] serde_json::Error),
}

impl CallError {
    /// Whether the server certainly saw nothing of the call.
    pub fn is_certainly_unsent(&self) -> bool {
        matches!(self, CallError::Exchange(e) if e.is_certainly_unsent())
    }
}

/// A client of one server that keeps idle connections for the next call.
pub struct JsonClient {
    addr: SocketAddr,
    bounds: Bounds,
    time: Duration,
    headers: HeaderMap,
    idle: RefCell<Vec<Connection>>,
}

impl JsonClient {
    /// A client of the server at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, bounds: Bounds, time: Duration) -> Self {
        Self { addr, bounds, time, headers: HeaderMap::new(), idle: RefCell::default() }
    }

    /// The same client presenting a bearer key.
    pub fn bearer(mut self, key: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {key}")) {
            self.headers.insert(header::AUTHORIZATION, value);
        }
        self
    }

    /// The server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Posts `value` and reads a value back.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        target: &str,
        value: &T,
    ) -> Result<R> {
        let request = Request::post(target, serde_json::to_vec(value)?);
        let content_type = HeaderValue::from_static("application/json");
        self.call(request.header(header::CONTENT_TYPE, content_type)).await
    }

    /// Gets a value.
    pub async fn get<R: DeserializeOwned>(&self, target: &str) -> Result<R> {
        self.call(Request::get(target)).await
    }

    /// Deletes what is at `target`.
    pub async fn delete(&self, target: &str) -> Result<()> {
        self.call(Request { method: Method::DELETE, ..Request::get(target) }).await
    }

    async fn call<R: DeserializeOwned>(&self, mut request: Request) -> Result<R> {
        request.headers.extend(self.headers.clone());
        let deadline = Instant::now() + self.time;
        let mut connection = self.connection().await?;
        let response = connection.exchange(request, deadline).await?;
        if connection.is_reusable() {
            self.idle.borrow_mut().push(connection);
        }
        if !response.status.is_success() {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            return Err(CallError::Status { status: response.status, body });
        }
        Ok(serde_json::from_slice(&response.body)?)
    }

    async fn connection(&self) -> Result<Connection> {
        let idle = self.idle.borrow_mut().pop();
        match idle {
            Some(connection) => Ok(connection),
            None => Ok(Connection::connect(self.addr, self.bounds, self.time).await?),
        }
    }
}
