//! What can go wrong on a connection, told apart by whether a request may have been run.

use std::io;

/// Why a request from a peer was refused before it was understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The peer closed or stayed idle before it began a message.
    Idle,
    /// The bytes are no HTTP/1.1 message, or its framing is ambiguous.
    Garbage,
    /// The head or the body is over its bound.
    TooLarge,
    /// The head or the body came too slowly.
    TooSlow,
    /// The message was cut short.
    Cut,
    /// The bound on connections is reached.
    TooManyConnections,
    /// The bound on the bytes of bodies that the server holds is reached.
    Overloaded,
}

/// Why an exchange with a server gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection; nothing was sent.
    #[error(
        "No connection to {addr}: {source}; check that the server runs and the address is right."
    )]
    Connect {
        /// The server's address.
        addr: std::net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The request could not be built; nothing was sent.
    #[error("The request cannot be sent: {0}; correct its target or headers.")]
    Request(String),
    /// The connection failed while the request was being sent.
    #[error("The connection failed while sending: {0}; the request may have run.")]
    Send(String),
    /// The connection ended before an answer began.
    #[error("The connection closed before an answer began; the request may have run.")]
    NoAnswer,
    /// The answer was cut short.
    #[error("The answer was cut short; the request may have run.")]
    Cut,
    /// The answer did not come in time.
    #[error("The answer did not come in time; the request may have run.")]
    Late,
    /// The answer's framing is ambiguous, without a length, or not HTTP/1.1.
    #[error("The answer is malformed ({0}); check the server's HTTP framing.")]
    Malformed(String),
    /// The answer is over its bound.
    #[error("The answer is larger than its bound; raise the bound or ask for less.")]
    TooLarge,
}

impl ExchangeError {
    /// Whether the server certainly saw nothing of the request.
    pub fn is_certainly_unsent(&self) -> bool {
        matches!(self, ExchangeError::Connect { .. } | ExchangeError::Request(_))
    }
}
