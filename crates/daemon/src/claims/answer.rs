//! Answers kept for repeats: small ones in the claim's row, larger ones in the object store.

use std::{fmt::Write, rc::Rc};

use bytes::Bytes;
use fuchsiamill_http::Response;
use fuchsiamill_policy::claims::{Answer, Body, ClaimId};
use fuchsiamill_ports::{ObjectClient, Result};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// The largest body that is kept in the row.
const LARGEST_IN_ROW_BYTES: usize = 4 * 1024;

/// Where an answer's body goes.
#[derive(Debug, PartialEq, Eq)]
pub enum Kept {
    /// Into the row.
    InRow(Answer),
    /// Into the object store, before the row names it.
    InObject(LargeAnswer),
}

/// An answer whose body is an object of its own.
#[derive(Debug, PartialEq, Eq)]
pub struct LargeAnswer {
    /// The row's part.
    pub answer: Answer,
    /// The object's name.
    name: String,
    /// The body as base 16 digits.
    digits: String,
}

/// Prepares an answer to be kept.
pub fn keep(id: &ClaimId, response: &Response) -> Kept {
    let answer = |body| Answer {
        status: response.status.as_u16(),
        headers: response.headers.iter().filter_map(text_header).collect(),
        body,
    };
    if response.body.len() <= LARGEST_IN_ROW_BYTES {
        return Kept::InRow(answer(in_row(&response.body)));
    }
    let name = id.answer_object();
    let answer = answer(Body::Object(name.clone()));
    Kept::InObject(LargeAnswer { answer, name, digits: digits(&response.body) })
}

/// The answer as it came; `object` is the object that its row names.
fn replay(answer: &Answer, object: Option<&str>) -> Option<Response> {
    let body = match &answer.body {
        Body::Text(text) => Bytes::copy_from_slice(text.as_bytes()),
        Body::Binary(digits) => bytes_of(digits)?,
        Body::Object(_) => bytes_of(object?)?,
    };
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::try_from(name).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    Some(Response { status: StatusCode::from_u16(answer.status).ok()?, headers, body })
}

/// Reads and writes kept bodies.
#[derive(Clone)]
pub struct Answers(Rc<ObjectClient>);

impl Answers {
    /// Bodies in this object store.
    pub fn new(objects: Rc<ObjectClient>) -> Self {
        Self(objects)
    }

    /// The answer as it came, unless its body cannot be read.
    pub async fn replay(&self, answer: Answer) -> Option<Response> {
        let object = match &answer.body {
            Body::Object(name) => Some(self.0.get::<String>(name).await.ok()??),
            Body::Text(_) | Body::Binary(_) => None,
        };
        replay(&answer, object.as_deref())
    }

    /// Writes the body of an answer that does not fit into its row.
    pub async fn put(&self, large: &LargeAnswer) -> Result<()> {
        self.0.put(&large.name, &large.digits).await
    }
}

fn text_header((name, value): (&HeaderName, &HeaderValue)) -> Option<(String, String)> {
    Some((name.as_str().into(), value.to_str().ok()?.into()))
}

fn in_row(body: &Bytes) -> Body {
    match std::str::from_utf8(body) {
        Ok(text) => Body::Text(text.into()),
        Err(_) => Body::Binary(digits(body)),
    }
}

fn digits(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes_of(digits: &str) -> Option<Bytes> {
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits.as_bytes().chunks(2).map(pair).collect::<Option<Vec<u8>>>().map(Bytes::from)
}
