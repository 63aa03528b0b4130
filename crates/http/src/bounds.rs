//! Bounds that a peer on the other end of a connection is held to.

use std::time::Duration;

/// Bounds on one connection and on the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The most bytes of bodies that all connections of a server hold together, from their heads to their answers. Bodies of
    /// up to 8 KiB are not counted.
    pub held_body_bytes: usize,
    /// The longest time for a head, from its first byte.
    pub head_time: Duration,
    /// The longest time for a body, from the end of its head.
    pub body_time: Duration,
    /// The longest time between two messages on one connection.
    pub idle_time: Duration,
    /// The most connections at once.
    pub connections: usize,
}

/// How many connections may be open beyond the bound to be told so, as a divisor of the bound.
const REFUSED_CONNECTIONS_DIVISOR: usize = 32;

impl Bounds {
    /// How many connections beyond [`Bounds::connections`] may be open at once to be refused. Further ones are closed without
    /// an answer.
    pub fn refused_connections(&self) -> usize {
        self.connections / REFUSED_CONNECTIONS_DIVISOR + 1
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            held_body_bytes: usize::MAX,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(60),
            connections: 1024,
        }
    }
}
