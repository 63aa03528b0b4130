//! Connections to backend servers: one exchange at a time, never used again after a failure.

mod health;

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, Connection, ExchangeError, Request, Response};
use fuchsiamill_model::FastMap;
use fuchsiamill_settings::Settings;
use monoio::time::Instant;

pub use health::{BackendHealth, ListReading, Take, said};

const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Below the time after which backend servers usually close an idle connection.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// A host's backend server.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The idle connections that may be kept to it.
    pub most_idle: usize,
}

type Result<T> = std::result::Result<T, ExchangeError>;

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A kept one; the backend server may just have closed it.
    Kept,
    /// A new one, so that a failure after it opened is the backend server's.
    New,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// The idle connections to every backend server.
pub struct Backends {
    bounds: Bounds,
    idle: RefCell<FastMap<SocketAddr, Vec<Idle>>>,
}

impl Backends {
    /// No connections yet.
    pub fn new(settings: &Settings) -> Self {
        let bounds = Bounds {
            body_bytes: settings.callers.body_bytes,
            body_time: Duration::from_millis(settings.callers.longest_deadline_ms),
            idle_time: Duration::from_millis(settings.callers.longest_deadline_ms),
            ..Bounds::default()
        };
        Self { bounds, idle: RefCell::default() }
    }

    /// Opens a connection, or takes a kept one. Nothing is sent yet.
    pub async fn open(&self, server: Server, freshness: Freshness) -> Result<Open<'_>> {
        let kept = match freshness {
            Freshness::Kept => self.kept(server.addr),
            Freshness::New => None,
        };
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::connect(server.addr, self.bounds, CONNECT_TIME).await?,
        };
        Ok(Open { backends: self, server, connection })
    }

    fn kept(&self, backend: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&backend)?;
        idle.retain(|it| it.since.elapsed() < IDLE_TIME);
        idle.pop().map(|it| it.connection)
    }

    fn keep(&self, server: Server, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, idle| {
            idle.retain(|it| it.since.elapsed() < IDLE_TIME);
            !idle.is_empty()
        });
        let idle = idle.entry(server.addr).or_default();
        if connection.is_reusable() && idle.len() < server.most_idle {
            idle.push(Idle { connection, since: Instant::now() });
        }
    }
}

/// An open connection on which nothing of the request was sent.
pub struct Open<'a> {
    backends: &'a Backends,
    server: Server,
    connection: Connection,
}

impl Open<'_> {
    /// Sends `request` and reads the whole answer before `deadline`.
    pub async fn exchange(mut self, request: Request, deadline: Instant) -> Result<Response> {
        let response = self.connection.exchange(request, deadline).await?;
        self.backends.keep(self.server, self.connection);
        Ok(response)
    }
}
