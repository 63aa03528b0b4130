//! Many callers that send large bodies at once.

mod common;

use std::{
    fs,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use common::fleet::{Fleet, KEY, Process, job};

const PATIENCE: Duration = Duration::from_secs(20);

/// Callers of one client account.
const CALLERS: usize = 100;

/// The length of a body whose last byte does not come.
const BODY_BYTES: usize = 2 * 1024 * 1024;

/// The memory of the smallest entry hosts in use, in KiB.
const SMALLEST_HOST_KIB: u64 = 160 * 1024;

/// Sends a head and most of a body; returns the open connection, or `None` if the request was refused before that.
fn send_unfinished(front: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(front).expect("a connection");
    connection.set_write_timeout(Some(PATIENCE)).expect("a timeout");
    let head = format!(
        "POST /jobs/{number:016x} HTTP/1.1\r\nhost: {}\r\nx-api-key: {KEY}\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
        front.ip()
    );
    let sent = connection
        .write_all(head.as_bytes())
        .and_then(|()| connection.write_all(&vec![b' '; BODY_BYTES - 1]));
    match sent.map_err(|e| e.kind()) {
        Ok(()) => Some(connection),
        Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => None,
        Err(e) => panic!("the body is neither taken nor refused: {e}"),
    }
}

/// The most memory that a process has had, in KiB.
fn peak_kib(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid())).expect("a status");
    let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// The bodies of one client account took an entry host over its memory, which ended the requests of all others.
#[test]
fn large_bodies_of_one_account_do_not_take_the_memory_of_all() {
    let fleet = Fleet::start(1, 2);
    let front = fleet.entries[0].front;
    let connections: Vec<_> = (0..CALLERS).map(|it| send_unfinished(front, it)).collect();
    thread::sleep(Duration::from_millis(500));
    let peak = peak_kib(&fleet.entries[0]);
    assert!(peak < SMALLEST_HOST_KIB, "{peak} KiB");
    fleet.accept(&job(50, &[2]), PATIENCE).expect("a job of another caller is accepted");
    fleet.check();
    drop(connections);
}
