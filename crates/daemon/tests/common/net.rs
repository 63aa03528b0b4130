//! Loopback addresses and blocking HTTP for tests.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, Connection, JsonClient, Request, Response};
use http::{HeaderValue, header};
use serde::{Serialize, de::DeserializeOwned};

const TIME: Duration = Duration::from_secs(60);

static SITES: AtomicU32 = AtomicU32::new(0);

/// A loopback address of one site's own.
pub struct LoopbackNet {
    ip: Ipv4Addr,
    given: RefCell<BTreeSet<u16>>,
}

impl LoopbackNet {
    /// The next unused address of this process.
    pub fn new() -> Self {
        let site = SITES.fetch_add(1, Ordering::Relaxed) + 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, site as u8);
        Self { ip, given: RefCell::default() }
    }

    /// The address with port 0.
    pub fn any(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 0)
    }

    /// The address with a port that is free now and that this site gets once only.
    pub fn free(&self) -> SocketAddr {
        loop {
            let listener = TcpListener::bind(self.any()).expect("a free port");
            let addr = listener.local_addr().expect("a bound address");
            if self.given.borrow_mut().insert(addr.port()) {
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

/// Sends a request; `None` when no whole answer came.
pub fn send(addr: SocketAddr, request: Request) -> Option<Response> {
    block_on(async {
        let mut connection = Connection::connect(addr, large_bounds(), TIME).await.ok()?;
        connection.exchange(request, monoio::time::Instant::now() + TIME).await.ok()
    })
}

/// The request with a bearer key.
pub fn with_key(request: Request, key: &str) -> Request {
    request.header(header::AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}")).unwrap())
}

fn large_bounds() -> Bounds {
    Bounds { body_bytes: 256 * 1024 * 1024, ..Bounds::default() }
}
