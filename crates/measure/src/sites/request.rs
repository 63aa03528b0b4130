//! What every request of a run has, and what its caller may be told.

use std::time::Duration;

use http::HeaderName;

/// The deadline of each request.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// The header that tells a backend server the time left.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole answer.
    Answer,
    /// It did not run, and why.
    NotRun(String),
    /// It may have run, and why that is not known.
    Unknown(String),
}

/// The body that tells a request apart.
pub fn body_of(number: usize) -> String {
    format!("request-{number}")
}
