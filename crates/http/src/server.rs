//! A bounded HTTP/1.1 server.

mod connection;

use std::{cell::Cell, future::Future, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use http::StatusCode;
use monoio::net::TcpStream;
use tokio::sync::watch;

use connection::ServerConnection;

use crate::{
    accept::Acceptor,
    bounds::Bounds,
    error::Malformed,
    held::HeldBytes,
    message::{Request, Response},
};

/// Answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, incoming: Incoming) -> impl Future<Output = Response>;

    /// A connection was accepted; `open` counts it and the others that are still open.
    fn accepted(&self, _open: usize) {}

    /// The answer to what could not be understood as a request.
    fn refuse(&self, malformed: Malformed) -> Response {
        let status = match malformed {
            Malformed::Idle | Malformed::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Malformed::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::TooManyConnections | Malformed::Overloaded => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Malformed::Garbage | Malformed::Cut => StatusCode::BAD_REQUEST,
        };
        Response::empty(status)
    }
}

/// A request as it came in.
pub struct Incoming {
    /// The request.
    pub request: Request,
    /// The peer's address.
    pub peer: SocketAddr,
    /// Tells when the peer has gone.
    pub hangup: Hangup,
}

/// Tells when the peer of a request has closed its connection.
#[derive(Clone, Debug)]
pub struct Hangup(watch::Receiver<Presence>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    There,
    Gone,
}

impl Hangup {
    /// Waits until the peer has gone; for ever when it stays to the end of the request.
    pub async fn wait(&mut self) {
        if self.0.wait_for(|it| *it == Presence::Gone).await.is_err() {
            std::future::pending().await
        }
    }

    /// Whether the peer has gone.
    pub fn is_gone(&self) -> bool {
        *self.0.borrow() == Presence::Gone
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Stopping,
}

/// Stops a server gracefully.
#[derive(Clone, Debug)]
pub struct ShutdownHandle(watch::Sender<Phase>);

impl ShutdownHandle {
    /// Stops accepting; idle connections close, running exchanges finish.
    pub fn stop(&self) {
        self.0.send_replace(Phase::Stopping);
    }
}

/// The server's side of a [`ShutdownHandle`].
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<Phase>);

impl Shutdown {
    async fn wait(&mut self) {
        if self.0.wait_for(|it| *it == Phase::Stopping).await.is_err() {
            std::future::pending().await
        }
    }

    fn is_stopping(&self) -> bool {
        *self.0.borrow() == Phase::Stopping
    }
}

/// A handle to stop a server and the server's side of it.
pub fn shutdown_pair() -> (ShutdownHandle, Shutdown) {
    let (tx, rx) = watch::channel(Phase::Running);
    (ShutdownHandle(tx), Shutdown(rx))
}

/// A listening server.
pub struct Server<H> {
    acceptor: Acceptor,
    bounds: Bounds,
    handler: Rc<H>,
    open: Rc<Cell<usize>>,
    held: Rc<HeldBytes>,
}

impl<H: Handler + 'static> Server<H> {
    /// Binds `addr`; port 0 takes a free port.
    pub fn bind(addr: SocketAddr, bounds: Bounds, handler: Rc<H>) -> io::Result<Self> {
        let acceptor = Acceptor::bind(addr)?;
        let held = HeldBytes::new(bounds.held_body_bytes);
        Ok(Self { acceptor, bounds, handler, open: Rc::default(), held })
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.acceptor.local_addr()
    }

    /// Accepts until it is stopped, then waits for the connections that are still open.
    pub async fn run(self, mut shutdown: Shutdown) {
        loop {
            let (stream, peer) = {
                let accept = pin!(self.acceptor.accept());
                let stop = pin!(shutdown.wait());
                match select(accept, stop).await {
                    Either::Left((accepted, _)) => accepted,
                    Either::Right(_) => break,
                }
            };
            self.spawn(stream, peer, shutdown.clone());
        }
        drop(self.acceptor);
        while self.open.get() > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn spawn(&self, stream: TcpStream, peer: SocketAddr, shutdown: Shutdown) {
        let _ = stream.set_nodelay(true);
        let open = Open::new(self.open.clone());
        self.handler.accepted(open.count());
        if open.count() > self.bounds.connections + self.bounds.refused_connections() {
            tracing::debug!(event = "connection-dropped", %peer);
            return;
        }
        let (handler, held) = (self.handler.clone(), self.held.clone());
        let connection = ServerConnection::new(stream, peer, self.bounds, handler, held);
        if open.count() > self.bounds.connections {
            monoio::spawn(async move {
                let _open = open;
                connection.refuse_whole(Malformed::TooManyConnections).await;
            });
            return;
        }
        monoio::spawn(async move {
            let _open = open;
            connection.run(shutdown).await;
        });
    }
}

struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }

    fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
