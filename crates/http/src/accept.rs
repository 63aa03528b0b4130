//! Accepts connections, with a pause after each failure.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use monoio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The pause after a failed accept. Out of descriptors, `accept` fails at once each time until some are closed, which the
/// other tasks of the thread do.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// The minimum time between log lines on failures of one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

static FAILURES: AtomicU64 = AtomicU64::new(0);

/// Returns how many accepts have failed on all listeners since the process started.
pub fn failures() -> u64 {
    FAILURES.load(Ordering::Relaxed)
}

/// A listener whose accept waits until a connection could be accepted.
pub struct Acceptor {
    listener: TcpListener,
    logged: Cell<Option<Instant>>,
    /// The failures since the last log line.
    unlogged: Cell<u64>,
}

impl Acceptor {
    /// Binds `addr`; port 0 takes a free port.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        Ok(Self { listener, logged: Cell::default(), unlogged: Cell::default() })
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Waits for the next connection. Failures are counted and logged, each followed by a pause.
    pub async fn accept(&self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(e) => {
                    self.note_failure(&e);
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn note_failure(&self, e: &io::Error) {
        FAILURES.fetch_add(1, Ordering::Relaxed);
        let failed = self.unlogged.get() + 1;
        self.unlogged.set(failed);
        if self.logged.get().is_some_and(|it| it.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged.set(Some(Instant::now()));
        self.unlogged.set(0);
        let addr = self.local_addr().map_or_else(|e| e.to_string(), |it| it.to_string());
        tracing::warn!(event = "accept-failed", %addr, failed, error = %e);
    }
}
