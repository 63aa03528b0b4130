//! Whether a holder of the lease still coordinates, asked of its process.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_peer::{Error, Link, PeerServer, Router, Unreached, call_channel};
use serde::{Deserialize, Serialize};

use super::lease::LeaseRow;

const METHOD: &str = "standing";

/// How long a process may take to tell its standing.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// What a process tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// One run of the process.
    pub incarnation: u64,
    /// The term in which it coordinates or tries to; 0 for none.
    pub term: u64,
}

/// What is known of the process that holds or held the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// It coordinates.
    Leads,
    /// It surely gives no more orders.
    Over,
    /// It does not tell.
    Unknown,
}

/// Answers other entry hosts for ever.
pub fn serve(addr: SocketAddr, incarnation: u64, term: Rc<Cell<u64>>) -> std::io::Result<()> {
    let (tx, mut rx) = call_channel();
    let mut router = Router::default();
    router.route(METHOD, tx);
    monoio::spawn(PeerServer::bind(addr)?.run(Rc::new(router)));
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            if let Some(((), reply)) = call.parse() {
                reply.send(Ok(Standing { incarnation, term: term.get() }));
            }
        }
    });
    Ok(())
}

/// Asks the process that a lease names.
pub async fn ask(row: &LeaseRow) -> Holder {
    let Ok(addr) = row.address.parse() else { return Holder::Unknown };
    // A connection of its own: a kept one may have gone silent.
    match Link::start(addr).call::<Standing>(METHOD, &(), ANSWER_TIME).await {
        Ok(it) if it.incarnation == row.incarnation && it.term == row.term => Holder::Leads,
        Ok(_) => Holder::Over,
        Err(Error::Unreachable(Unreached::Closed)) => Holder::Over,
        Err(_) => Holder::Unknown,
    }
}
