//! Bounded HTTP/1.1 on monoio-http: a server, one client connection and a small JSON client.
//!
//! Bodies are held whole, so that an answer that was cut short is an error and never a short body.
//! Head, body and time are bounded in front of the library's decoder; ambiguous framing is refused.

pub mod accept;
pub mod bounds;
pub mod budget;
pub mod connection;
pub mod error;
pub mod framing;
mod held;
pub mod json;
pub mod message;
pub mod progress;
pub mod server;

pub use bounds::Bounds;
pub use connection::Connection;
pub use error::{ExchangeError, Malformed};
pub use json::JsonClient;
pub use message::{Request, Response};
pub use progress::Progress;
pub use server::{Handler, Hangup, Incoming, Server, ShutdownHandle, shutdown_pair};
