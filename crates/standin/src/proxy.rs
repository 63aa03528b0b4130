//! A fault-injecting TCP proxy: delay, cut, one-way loss, hold then release.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_http::{Bounds, Handler, Incoming, Response};
use http::StatusCode;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio::sync::watch;

use crate::{
    admin::{Route, RouteFault, SetRouteFault},
    reply,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// Starts the proxy's admin port on the current runtime.
pub fn start(listen: SocketAddr) -> io::Result<SocketAddr> {
    reply::serve(listen, Bounds::default(), Rc::<Proxy>::default())
}

#[derive(Default)]
struct Proxy {
    routes: RefCell<BTreeMap<SocketAddr, watch::Sender<RouteFault>>>,
}

impl Handler for Proxy {
    async fn handle(&self, incoming: Incoming) -> Response {
        match incoming.request.path() {
            "/route" => reply::with_body(&incoming.request.body, |route| self.open(route)),
            "/fault" => reply::with_body(&incoming.request.body, |set| self.set(set)),
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Proxy {
    fn open(&self, route: Route) -> Response {
        let listener = match TcpListener::bind(route.listen) {
            Ok(listener) => listener,
            Err(e) => return Response::text(StatusCode::CONFLICT, e.to_string()),
        };
        let Ok(addr) = listener.local_addr() else {
            return Response::empty(StatusCode::CONFLICT);
        };
        let (tx, rx) = watch::channel(RouteFault::None);
        self.routes.borrow_mut().insert(addr, tx);
        monoio::spawn(accept(listener, route.to, rx));
        reply::value(&addr)
    }

    fn set(&self, set: SetRouteFault) -> Response {
        match self.routes.borrow().get(&set.listen) {
            Some(route) => {
                route.send_replace(set.fault);
                reply::value(&())
            }
            None => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

/// Accepts connections, and closes the port while the route refuses them.
async fn accept(mut listener: TcpListener, to: SocketAddr, mut fault: watch::Receiver<RouteFault>) {
    let Ok(addr) = listener.local_addr() else { return };
    let is_refusing = |it: &RouteFault| *it == RouteFault::Refuse;
    loop {
        let mut refusing = fault.clone();
        let accepted = monoio::select! {
            it = listener.accept() => Some(it),
            _ = refusing.wait_for(is_refusing) => None,
        };
        match accepted {
            Some(Ok((client, _))) if *fault.borrow() != RouteFault::Cut => {
                monoio::spawn(join(client, to, fault.clone()));
            }
            Some(Ok(_)) => {}
            Some(Err(_)) => return,
            None => {
                drop(listener);
                if fault.wait_for(|it| !is_refusing(it)).await.is_err() {
                    return;
                }
                listener = match TcpListener::bind(addr) {
                    Ok(it) => it,
                    Err(_) => return,
                };
            }
        }
    }
}

async fn join(client: TcpStream, to: SocketAddr, fault: watch::Receiver<RouteFault>) {
    let Ok(server) = TcpStream::connect_addr(to).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = copy(client_read, server_write, fault.clone(), Way::Forward);
    let back = copy(server_read, client_write, fault.clone(), Way::Back);
    let mut cut = fault;
    monoio::select! {
        _ = async { futures_util::future::join(forward, back).await } => {}
        _ = cut.wait_for(|it| matches!(it, RouteFault::Cut | RouteFault::Refuse)) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Forward,
    Back,
}

async fn copy(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
    mut fault: watch::Receiver<RouteFault>,
    way: Way,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let (read, filled) = from.read(buf).await;
        let Ok(bytes @ 1..) = read else { break };
        // Copied out: a guard that is held over the pause blocks the one who lifts the fault.
        let current = *fault.borrow();
        match current {
            RouteFault::Delay { ms } => sleep(Duration::from_millis(ms)).await,
            RouteFault::Narrow { bytes_per_s } => {
                sleep(Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s))).await;
            }
            _ => {}
        }
        if fault.wait_for(|it| !holds(*it, way)).await.is_err() {
            break;
        }
        let (written, _) = to.write_all(filled[..bytes].to_vec()).await;
        if written.is_err() {
            break;
        }
        buf = filled;
    }
    let _ = to.shutdown().await;
}

fn holds(fault: RouteFault, way: Way) -> bool {
    match fault {
        RouteFault::HoldBoth => true,
        RouteFault::HoldForward => way == Way::Forward,
        RouteFault::HoldBack => way == Way::Back,
        _ => false,
    }
}
