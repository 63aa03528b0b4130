//! Connections to backend servers: one exchange at a time, never used again after a failure.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, Connection, ExchangeError, Request, Response};
use fuchsiamill_model::FastMap;
use fuchsiamill_settings::Settings;
use monoio::time::Instant;

const CONNECT_TIME: Duration = Duration::from_secs(1);
const MOST_IDLE: usize = 8;

/// The idle connections to every backend server.
pub struct Backends {
    bounds: Bounds,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
}

impl Backends {
    /// No connections yet.
    pub fn new(settings: &Settings) -> Self {
        let bounds = Bounds { body_bytes: settings.callers.body_bytes, ..Bounds::default() };
        Self { bounds, idle: RefCell::default() }
    }

    /// Sends `request` to `backend` and reads the whole answer before `deadline`.
    pub async fn exchange(
        &self,
        backend: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        let mut connection = self.connection(backend).await?;
        let response = connection.exchange(request, deadline).await?;
        self.keep(backend, connection);
        Ok(response)
    }

    async fn connection(&self, backend: SocketAddr) -> Result<Connection, ExchangeError> {
        let idle = self.idle.borrow_mut().get_mut(&backend).and_then(Vec::pop);
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::connect(backend, self.bounds, CONNECT_TIME).await,
        }
    }

    fn keep(&self, backend: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(backend).or_default();
        if connection.is_reusable() && idle.len() < MOST_IDLE {
            idle.push(connection);
        }
    }
}
