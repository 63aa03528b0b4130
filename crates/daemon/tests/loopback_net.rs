//! Addresses that tests give to processes.

mod common;

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use common::net::LoopbackNet;

/// Sockets that the stand-ins and the proxy bind to any port, in a site with many routes.
const SOCKETS: usize = 2_000;

/// Threads that start processes.
const STARTERS: usize = 8;

/// Ports that are given out meanwhile.
const GIVEN: usize = 20_000;

/// Every entry host of a site gets its ports before the proxy binds its own.
#[test]
fn given_port_stays_free() {
    let net = LoopbackNet::new();
    let given: Vec<_> = (0..200).map(|_| net.free()).collect();
    let sockets: Vec<_> =
        (0..SOCKETS).map(|_| TcpListener::bind(net.any()).expect("a free port")).collect();
    for addr in given {
        assert!(TcpListener::bind(addr).is_ok(), "{addr} was taken");
    }
    assert_eq!(sockets.len(), SOCKETS);
}

/// A process that another test starts inherits, until it runs its own program, every socket that is open here: a
/// probe that listens would keep the port from the entry host that it is for.
#[test]
fn given_port_is_not_inherited() {
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let status = Command::new("true").status().expect("a process starts");
                    assert!(status.success());
                }
            });
        }
        let net = LoopbackNet::new();
        let taken = (0..GIVEN).map(|_| net.free()).find(|it| TcpListener::bind(it).is_err());
        over.store(true, Ordering::Relaxed);
        assert_eq!(taken, None, "a port that was given out is taken");
    });
}
