//! Checks of a message's framing that the decoder leaves out.

use http::{HeaderMap, StatusCode, header};

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No length and no chunks.
    Undelimited,
    /// A length in bytes.
    Length(usize),
    /// Chunks.
    Chunked,
    /// More than one way, or one that cannot be read.
    Ambiguous,
}

/// The framing that a head declares.
pub fn framing(headers: &HeaderMap) -> Framing {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    match (lengths, codings) {
        (0, 0) => Framing::Undelimited,
        (1, 0) => declared_length(headers),
        (0, 1) if is_chunked(headers) => Framing::Chunked,
        _ => Framing::Ambiguous,
    }
}

/// Whether a response of this status has a body.
pub fn has_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Removes the headers that belong to one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn declared_length(headers: &HeaderMap) -> Framing {
    let text =
        headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match text.parse() {
        Ok(bytes) if digits => Framing::Length(bytes),
        _ => Framing::Ambiguous,
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers
        .get(header::TRANSFER_ENCODING)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"chunked"))
}
