//! Whether a holder of the lease still coordinates, asked of its process.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_peer::{Error, Link, Router, Unreached, call_channel};
use serde::{Deserialize, Serialize};

use super::{entries::EntryRow, lease::LeaseRow};

const METHOD: &str = "standing";

/// How long a process may take to tell its standing.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// What a process tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// One run of the process.
    pub incarnation: u64,
    /// The term in which it coordinates or tries to; 0 for none.
    pub term: u64,
    /// Whether the store has answered it lately.
    pub reaches_store: bool,
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

/// Answers other entry hosts; `tell` gives the standing.
pub fn serve(router: &mut Router, tell: impl Fn() -> Standing + 'static) {
    let (tx, mut rx) = call_channel();
    router.route(METHOD, tx);
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            if let Some(((), reply)) = call.parse() {
                reply.send(Ok(tell()));
            }
        }
    });
}

async fn call(addr: SocketAddr) -> fuchsiamill_peer::Result<Standing> {
    // A connection of its own: a kept one may have gone silent.
    Link::start(addr).call::<Standing>(METHOD, &(), ANSWER_TIME).await
}

/// Whether an entry host could coordinate.
pub async fn is_able(row: &EntryRow) -> bool {
    let Ok(addr) = row.address.parse() else { return false };
    call(addr).await.is_ok_and(|it| it.incarnation == row.incarnation && it.reaches_store)
}

/// Asks the process that a lease names.
pub async fn ask(row: &LeaseRow) -> Holder {
    let Ok(addr) = row.address.parse() else { return Holder::Unknown };
    match call(addr).await {
        Ok(it) if it.incarnation == row.incarnation && it.term == row.term => Holder::Leads,
        Ok(_) => Holder::Over,
        Err(Error::Unreachable(Unreached::Closed)) => Holder::Over,
        Err(_) => Holder::Unknown,
    }
}
