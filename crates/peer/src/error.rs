//! Why a call to a peer gave no value.

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to a peer gave no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection; the peer saw nothing of the call.
    #[error(
        "The entry host cannot be reached: {0}; check that it runs and its peer address is right."
    )]
    Unreachable(Unreached),
    /// The connection ended or the answer did not come in time; the call may have been carried out.
    #[error("The entry host did not answer; the call may have been carried out.")]
    AnswerLost,
    /// The peer refused the call.
    #[error("The entry host refused the call ({code}): {message}")]
    Refused {
        /// The JSON-RPC error code.
        code: i32,
        /// The reason and its remedy.
        message: String,
    },
    /// The answer is not what was expected.
    #[error(
        "The entry host's answer cannot be read: {0}; run the same version on every entry host."
    )]
    Malformed(String),
}

/// Why there is no connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreached {
    /// The connection was refused. The process may run on behind a cut that resets connections.
    Refused,
    /// Any other cause.
    Other(String),
}

impl std::fmt::Display for Unreached {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused => f.write_str("the connection was refused"),
            Self::Other(cause) => f.write_str(cause),
        }
    }
}

impl From<&std::io::Error> for Unreached {
    fn from(e: &std::io::Error) -> Self {
        match e.kind() {
            std::io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Other(e.to_string()),
        }
    }
}
