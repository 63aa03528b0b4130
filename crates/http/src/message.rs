//! Whole messages.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub target: String,
    /// The headers, without those of the framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A `POST` with a body.
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            target: target.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// A `GET`.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// The same request with one more header.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A header's value as text, when it is there once and is text.
    pub fn text_header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// A response with a plain text body.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self::with_type(status, HeaderValue::from_static("text/plain; charset=utf-8"), body.into())
    }

    /// A response with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::with_type(status, HeaderValue::from_static("application/json"), body)
    }

    /// A response with a body of the given media type.
    pub fn with_type(status: StatusCode, media_type: HeaderValue, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, media_type);
        Self { status, headers, body: body.into() }
    }

    /// The same response with one more header.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}
