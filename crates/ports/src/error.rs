//! The errors of calls to the platform.

use fuchsiamill_http::json::CallError;
use http::StatusCode;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call gave no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service refused or could not be reached; nothing has taken effect.
    #[error(
        "The platform's {service} does not serve: {cause}; nothing was written, try again later."
    )]
    Unavailable {
        /// Which service.
        service: &'static str,
        /// The cause.
        cause: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[error(
        "The answer of the platform's {service} was lost: {cause}; read back before writing again."
    )]
    AnswerLost {
        /// Which service.
        service: &'static str,
        /// The cause.
        cause: String,
    },
}

impl Error {
    pub(crate) fn from_call(service: &'static str, e: CallError) -> Self {
        let cause = e.to_string();
        let refused = matches!(&e, CallError::Status { status, .. } if is_refusal(*status));
        if refused || e.is_certainly_unsent() {
            Error::Unavailable { service, cause }
        } else {
            Error::AnswerLost { service, cause }
        }
    }

    /// Whether a write may have taken effect in spite of the error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Error::AnswerLost { .. })
    }
}

fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || status.is_client_error()
}
