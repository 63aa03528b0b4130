//! The bytes of bodies that a server holds for all its connections.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use fuchsiamill_http::{Bounds, Handler, Incoming, Response, Server, shutdown_pair};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder};

const BODY_BYTES: usize = 20_000;
const PATIENCE: Duration = Duration::from_secs(5);

struct Count;

impl Handler for Count {
    async fn handle(&self, incoming: Incoming) -> Response {
        Response::text(StatusCode::OK, incoming.request.body.len().to_string())
    }
}

/// Serves on a thread of its own; at most two bodies of [`BODY_BYTES`] fit.
fn serve() -> SocketAddr {
    serve_bodies(BODY_BYTES)
}

fn serve_bodies(body_bytes: usize) -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let bounds = Bounds { body_bytes, held_body_bytes: 2 * BODY_BYTES, ..Bounds::default() };
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(async {
            let server = Server::bind("127.0.0.1:0".parse().unwrap(), bounds, Rc::new(Count));
            let server = server.unwrap();
            tx.send(server.local_addr().unwrap()).unwrap();
            let (_stop, shutdown) = shutdown_pair();
            server.run(shutdown).await;
        });
    });
    rx.recv().unwrap()
}

/// Sends the head of a request with a body of `length` bytes, and the first `sent` of these.
fn send(addr: SocketAddr, length: usize, sent: usize) -> TcpStream {
    let mut connection = TcpStream::connect(addr).unwrap();
    connection.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    connection.write_all(head.as_bytes()).unwrap();
    connection.write_all(&vec![b'x'; sent]).unwrap();
    connection
}

/// Sends a request of [`BODY_BYTES`] without its last byte.
fn send_unfinished(addr: SocketAddr) -> TcpStream {
    send(addr, BODY_BYTES, BODY_BYTES - 1)
}

fn finish(mut connection: TcpStream) -> String {
    connection.write_all(b"x").unwrap();
    read_status(&mut connection)
}

fn read_status(connection: &mut TcpStream) -> String {
    let mut buf = [0; 12];
    connection.read_exact(&mut buf).unwrap();
    String::from_utf8_lossy(&buf).into_owned()
}

/// Bodies that are under way together took as much memory as their connections allowed. Small ones are still served.
#[test]
fn bodies_beyond_the_bound_are_refused_until_others_are_answered() {
    let addr = serve();
    let (first, second) = (send_unfinished(addr), send_unfinished(addr));
    thread::sleep(Duration::from_millis(100));
    assert_eq!(read_status(&mut send(addr, BODY_BYTES, 0)), "HTTP/1.1 503");
    assert_eq!(read_status(&mut send(addr, 1, 1)), "HTTP/1.1 200");
    assert_eq!(finish(first), "HTTP/1.1 200");
    assert_eq!(finish(second), "HTTP/1.1 200");
    let until = Instant::now() + PATIENCE;
    while finish(send_unfinished(addr)) != "HTTP/1.1 200" {
        assert!(Instant::now() < until, "the bytes are still counted");
    }
}

/// Where the largest body is larger than all that is held, each chunked request was refused for ever.
#[test]
fn chunked_body_is_served_under_a_bound_smaller_than_the_largest_body() {
    let mut connection = TcpStream::connect(serve_bodies(10 * BODY_BYTES)).unwrap();
    connection.set_read_timeout(Some(PATIENCE)).unwrap();
    let request =
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    connection.write_all(request).unwrap();
    assert_eq!(read_status(&mut connection), "HTTP/1.1 200");
}
