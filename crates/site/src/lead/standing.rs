//! The RPC with which entry hosts ask each other whether they coordinate or could.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_peer::{Error, Link, Router, Unreached, call_channel};
use serde::{Deserialize, Serialize};

use super::{entries::EntryRow, lease::LeaseRow};

const METHOD: &str = "standing";

/// The timeout of a call to the holder of the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of a call to a stronger entry host. The answer may wait on the link behind the state that is being
/// loaded.
const PATIENT_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The reply of an entry host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Standing {
    /// Identifies one run of the process.
    pub incarnation: u64,
    /// The term in which the process coordinates or for which it tries to take the lease; 0 for none.
    pub term: u64,
    /// Whether the store has recently answered the process directly.
    pub reaches_store: bool,
    /// The capacity of the entry host, as in its row; 0 from a process that does not report it.
    pub strength: u32,
}

/// What is known about the process that a lease row names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// The process coordinates in the term of the row.
    Active,
    /// The process certainly gives no more orders in that term.
    Stopped,
    /// The process refused the connection: it has ended, or is behind a cut that resets connections.
    Refusing,
    /// The process gave no usable answer.
    Unknown,
}

/// Answers calls of other entry hosts with the result of `standing`.
pub fn serve(router: &mut Router, standing: impl Fn() -> Standing + 'static) {
    let (tx, mut rx) = call_channel();
    router.route(METHOD, tx);
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            if let Some(((), reply)) = call.parse() {
                reply.send(Ok(standing()));
            }
        }
    });
}

async fn call(addr: SocketAddr, within: Duration) -> fuchsiamill_peer::Result<Standing> {
    // Each call opens a new connection, since a kept one may have gone silent unnoticed.
    Link::start(addr).call::<Standing>(METHOD, &(), within).await
}

/// Returns the strength of the entry host that a row names, if its process reaches the store and so could coordinate.
/// The process may have been restarted since the row was read.
pub async fn strength_if_able(row: &EntryRow) -> Option<u32> {
    let reply = call(row.address.parse().ok()?, PATIENT_CALL_TIMEOUT).await.ok()?;
    let is_of_row = reply.incarnation == row.incarnation;
    let strength = if is_of_row { reply.strength.max(row.strength) } else { reply.strength };
    reply.reaches_store.then_some(strength)
}

/// Asks the process that a lease row names whether it still coordinates.
pub async fn query_holder(row: &LeaseRow) -> HolderState {
    let Ok(addr) = row.address.parse() else { return HolderState::Unknown };
    match call(addr, CALL_TIMEOUT).await {
        Ok(it) if it.incarnation == row.incarnation && it.term == row.term => HolderState::Active,
        Ok(_) => HolderState::Stopped,
        Err(Error::Unreachable(Unreached::Refused)) => HolderState::Refusing,
        Err(_) => HolderState::Unknown,
    }
}
