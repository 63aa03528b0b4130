//! Loopback addresses and blocking HTTP for tests.

use std::{
    cell::Cell,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, Connection, JsonClient, Request, Response};
use http::{HeaderValue, header};
use serde::{Serialize, de::DeserializeOwned};

const TIME: Duration = Duration::from_secs(60);

static SITES: AtomicU32 = AtomicU32::new(0);

/// Ports that are given out lie below those that the system gives to sockets bound to port 0: a stand-in or a proxy
/// that is bound in between cannot take one of them.
const FIRST_PORT: u16 = 10_000;

/// A loopback address of one site's own.
pub struct LoopbackNet {
    ip: Ipv4Addr,
    next: Cell<u16>,
}

impl LoopbackNet {
    /// The next unused address of this process.
    pub fn new() -> Self {
        let site = SITES.fetch_add(1, Ordering::Relaxed) + 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, site as u8);
        Self { ip, next: Cell::new(FIRST_PORT) }
    }

    /// The address with port 0.
    pub fn any(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 0)
    }

    /// The address with a port where nobody listens and that this site gets once only.
    ///
    /// It is probed by a connection, not by listening there: a process that starts meanwhile would inherit the
    /// listener and keep the port.
    pub fn free(&self) -> SocketAddr {
        loop {
            let port = self.next.get();
            self.next.set(port + 1);
            let addr = SocketAddr::new(IpAddr::V4(self.ip), port);
            if TcpStream::connect(addr).is_err() {
                return addr;
            }
        }
    }
}

/// Posts JSON and reads JSON.
pub fn post<T: Serialize, R: DeserializeOwned>(addr: SocketAddr, target: &str, value: &T) -> R {
    let client = JsonClient::new(addr, large_bounds(), TIME);
    block_on(async { client.post(target, value).await }).expect("the stand-in answers")
}

/// Sends a request; `None` when no whole answer came, and then the reason is printed.
pub fn send(addr: SocketAddr, request: Request) -> Option<Response> {
    let answer = block_on(async {
        let mut connection = Connection::connect(addr, large_bounds(), TIME).await?;
        connection.exchange(request, monoio::time::Instant::now() + TIME).await
    });
    answer.inspect_err(|error| eprintln!("no answer of {addr}: {error}")).ok()
}

/// The request with a bearer key.
pub fn with_key(request: Request, key: &str) -> Request {
    request.header(header::AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}")).unwrap())
}

pub(super) fn large_bounds() -> Bounds {
    Bounds { body_bytes: 256 * 1024 * 1024, ..Bounds::default() }
}
