//! A process out of descriptors; alone in its file, since the limit holds for the whole process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    time::Duration,
};

use fuchsiamill_http::{
    Bounds, Handler, Incoming, Response, Server, accept::failures, shutdown_pair,
};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder};
use rustix::process::{Resource, getrlimit, setrlimit};

const DESCRIPTORS: u64 = 80;

/// The time limit for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

struct Ok200;

impl Handler for Ok200 {
    async fn handle(&self, _: Incoming) -> Response {
        Response::empty(StatusCode::OK)
    }
}

fn serve_twice() -> [SocketAddr; 2] {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        runtime.unwrap().block_on(async move {
            let (_keep, shutdown) = shutdown_pair();
            let bind =
                || Server::bind("127.0.0.1:0".parse().unwrap(), Bounds::default(), Rc::new(Ok200));
            let (one, other) = (bind().unwrap(), bind().unwrap());
            tx.send([one.local_addr().unwrap(), other.local_addr().unwrap()]).unwrap();
            monoio::spawn(one.run(shutdown.clone()));
            other.run(shutdown).await;
        })
    });
    rx.recv().unwrap()
}

fn is_answered(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut buf = [0; 1024];
    stream.read(&mut buf).is_ok_and(|it| buf[..it].starts_with(b"HTTP/1.1 200"))
}

/// Guards against an accept loop that spins out of descriptors and holds the thread for ever.
#[test]
fn failing_accept_does_not_keep_the_thread() {
    let [one, other] = serve_twice();
    let mut kept = TcpStream::connect(other).unwrap();
    assert!(is_answered(&mut kept));
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = Some(DESCRIPTORS);
    setrlimit(Resource::Nofile, limit).unwrap();
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect(one) {
        held.push(stream);
    }
    assert!(is_answered(&mut kept), "another listener is served meanwhile");
    assert!(failures() > 0, "the case: an accept fails");
    drop(held);
    let mut fresh = TcpStream::connect(one).unwrap();
    assert!(is_answered(&mut fresh), "new connections are served once descriptors are free");
}
