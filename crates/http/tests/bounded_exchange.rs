//! The bounds of the server and of one client connection, over real sockets.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    time::Duration,
};

use fuchsiamill_http::{
    Bounds, Connection, ExchangeError, Handler, Incoming, Malformed, Request, Response, Server,
    shutdown_pair,
};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder, time::Instant};

const BODY_BYTES: usize = 1000;

struct Echo {
    gone: RefCell<Option<mpsc::Sender<&'static str>>>,
}

impl Handler for Echo {
    async fn handle(&self, mut incoming: Incoming) -> Response {
        if incoming.request.path() == "/wait" {
            incoming.hangup.wait().await;
            if let Some(tx) = self.gone.borrow().as_ref() {
                let _ = tx.send("gone");
            }
        }
        Response::text(
            StatusCode::OK,
            format!("{} {}", incoming.request.target, incoming.request.body.len()),
        )
    }

    fn refuse(&self, malformed: Malformed) -> Response {
        Response::text(StatusCode::BAD_REQUEST, format!("{malformed:?}"))
    }
}

fn bounds() -> Bounds {
    Bounds {
        head_bytes: 2048,
        body_bytes: BODY_BYTES,
        head_time: Duration::from_millis(200),
        body_time: Duration::from_millis(200),
        connections: 4,
        ..Bounds::default()
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

fn serve() -> (SocketAddr, mpsc::Receiver<&'static str>) {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (gone_tx, gone_rx) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async move {
            let echo = Echo { gone: RefCell::new(Some(gone_tx)) };
            let server =
                Server::bind("127.0.0.1:0".parse().unwrap(), bounds(), Rc::new(echo)).unwrap();
            addr_tx.send(server.local_addr().unwrap()).unwrap();
            let (_keep, shutdown) = shutdown_pair();
            server.run(shutdown).await;
        })
    });
    (addr_rx.recv().unwrap(), gone_rx)
}

/// Sends raw bytes and reads until the server closes.
fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Answers one connection with raw bytes and closes.
fn answer_with(bytes: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(bytes);
    });
    addr
}

fn exchange(addr: SocketAddr) -> Result<(Response, bool), ExchangeError> {
    block_on(async move {
        let mut connection = Connection::connect(addr, bounds(), Duration::from_secs(5)).await?;
        let deadline = Instant::now() + Duration::from_secs(5);
        let response = connection.exchange(Request::post("/x", "abc"), deadline).await?;
        Ok((response, connection.is_reusable()))
    })
}

#[test]
fn exchanges_follow_on_one_connection() {
    let (addr, _gone) = serve();
    block_on(async move {
        let mut connection =
            Connection::connect(addr, bounds(), Duration::from_secs(5)).await.unwrap();
        for size in [0, 3, BODY_BYTES] {
            let deadline = Instant::now() + Duration::from_secs(5);
            let response = connection
                .exchange(Request::post("/a?b", vec![b'x'; size]), deadline)
                .await
                .unwrap();
            assert_eq!(response.body, format!("/a?b {size}"));
            assert!(connection.is_reusable());
        }
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (addr, _gone) = serve();
    let answer = raw(addr, b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nconnection: close\r\n\r\n");
    let first = answer.find("/1 0").expect("the first answer");
    let second = answer.find("/2 0").expect("the second answer");
    assert!(first < second);
}

#[test]
fn handler_hears_that_its_caller_has_gone() {
    let (addr, gone) = serve();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"GET /wait HTTP/1.1\r\n\r\n").unwrap();
    drop(stream);
    assert_eq!(gone.recv_timeout(Duration::from_secs(10)), Ok("gone"));
}

#[test]
fn ambiguous_framing_is_refused() {
    let (addr, _gone) = serve();
    let heads = [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "content-length: 3\r\ncontent-length: 4",
        "content-length: +3",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    ];
    for head in heads {
        let answer = raw(addr, format!("POST / HTTP/1.1\r\n{head}\r\n\r\nabc").as_bytes());
        assert!(answer.contains("Garbage"), "{head}: {answer}");
    }
}

#[test]
fn bounds_on_size_and_time_hold() {
    let (addr, _gone) = serve();
    let endless_head = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(64 * 1024));
    assert!(raw(addr, endless_head.as_bytes()).contains("TooLarge"));
    let body = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", BODY_BYTES + 1);
    assert!(raw(addr, body.as_bytes()).contains("TooLarge"));
    let endless_chunk =
        format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{}", "0".repeat(64 * 1024));
    let refused = raw(addr, endless_chunk.as_bytes());
    assert!(refused.contains("TooLarge") || refused.contains("Cut"), "{refused}");
    assert!(raw(addr, b"GET / HTTP/1.1\r\nx").contains("TooSlow"));
    assert!(raw(addr, b"POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nab").contains("TooSlow"));
    assert!(raw(addr, b"\x00\x01garbage\r\n\r\n").contains("Garbage"));
}

#[test]
fn connections_over_the_bound_are_refused() {
    let (addr, _gone) = serve();
    let held: Vec<_> =
        (0..bounds().connections).map(|_| TcpStream::connect(addr).unwrap()).collect();
    assert!(raw(addr, b"GET / HTTP/1.1\r\n\r\n").contains("TooManyConnections"));
    drop(held);
}

#[test]
fn cut_answer_is_an_error() {
    let addr = answer_with(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    assert!(matches!(exchange(addr), Err(ExchangeError::Cut)));
    let addr = answer_with(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    assert!(matches!(exchange(addr), Err(ExchangeError::Cut)));
    let addr = answer_with(b"HTTP/1.1 200 OK\r\n\r\nno length");
    assert!(matches!(exchange(addr), Err(ExchangeError::Malformed(_))));
    let addr = answer_with(b"");
    assert!(matches!(exchange(addr), Err(ExchangeError::NoAnswer)));
}

#[test]
fn answer_without_body_ends_at_its_head() {
    let addr = answer_with(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\ncontent-length: 9\r\n\r\n",
    );
    let (response, reusable) = exchange(addr).unwrap();
    assert_eq!(response.status, StatusCode::NO_CONTENT);
    assert!(!reusable);
}
