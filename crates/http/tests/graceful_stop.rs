//! Requests that are sent around a graceful stop.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use fuchsiamill_http::{
    Bounds, Handler, Incoming, Response, Server, ShutdownHandle, shutdown_pair,
};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder, time::sleep};

const HANDLE_TIME: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers with the path, after a while.
struct Slow;

impl Handler for Slow {
    async fn handle(&self, incoming: Incoming) -> Response {
        sleep(HANDLE_TIME).await;
        Response::text(StatusCode::OK, format!("path {}", incoming.request.target))
    }
}

/// Starts a server. The sender stops it.
fn serve() -> (SocketAddr, mpsc::Sender<()>) {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (stop_tx, stop_rx) = mpsc::channel::<()>();
    thread::spawn(move || {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        runtime.unwrap().block_on(async move {
            let server =
                Server::bind("127.0.0.1:0".parse().unwrap(), Bounds::default(), Rc::new(Slow));
            let server = server.unwrap();
            addr_tx.send(server.local_addr().unwrap()).unwrap();
            let (stop, shutdown) = shutdown_pair();
            monoio::spawn(stop_when_told(stop, stop_rx));
            server.run(shutdown).await;
        })
    });
    (addr_rx.recv().unwrap(), stop_tx)
}

async fn stop_when_told(stop: ShutdownHandle, told: mpsc::Receiver<()>) {
    while told.try_recv().is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    stop.stop();
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a request that was read behind another one and is dropped by a stop.
#[test]
fn requests_read_before_a_stop_are_answered() {
    let (addr, stop) = serve();
    let mut stream = connect(addr);
    stream.write_all(b"GET /1 HTTP/1.1\r\n\r\n").unwrap();
    thread::sleep(HANDLE_TIME / 6);
    stream
        .write_all(b"POST /2 HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\n\r\n")
        .unwrap();
    thread::sleep(HANDLE_TIME / 6);
    stop.send(()).unwrap();
    let answers = read_all(&mut stream);
    for path in ["path /1", "path /2", "path /3"] {
        assert!(answers.contains(path), "{path}: {answers}");
    }
}

/// Guards against a request whose last part comes shortly after the stop and is dropped.
#[test]
fn request_that_is_arriving_at_a_stop_is_answered() {
    let (addr, stop) = serve();
    let mut stream = connect(addr);
    stream.write_all(b"GET /1 HTTP/1.1\r\nx: ").unwrap();
    thread::sleep(Duration::from_millis(50));
    stop.send(()).unwrap();
    thread::sleep(Duration::from_millis(100));
    stream.write_all(b"y\r\n\r\n").unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.contains("path /1"), "{answer}");
}
