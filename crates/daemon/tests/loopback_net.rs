//! Addresses that tests give to processes.

mod common;

use std::net::TcpListener;

use common::net::LoopbackNet;

/// Sockets that the stand-ins and the proxy bind to any port, in a site with many routes.
const SOCKETS: usize = 2_000;

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
