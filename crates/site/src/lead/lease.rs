//! The coordinator's lease: a row that every transaction of the coordinator rewrites, on the condition that no other
//! process has written it since.

use std::{rc::Rc, time::Duration};

use fuchsiamill_fleet::Name;
use fuchsiamill_platform::{CallError, Key, Row, Store, Tx, TxAnswer};
use http::StatusCode;
use monoio::time::sleep;
use serde::{Deserialize, Serialize};

use crate::tables;

/// The pause after the first failed commit; it doubles with each further one, up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// The value of the lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRow {
    /// The entry host that holds the lease; empty after a release.
    pub holder: Name,
    /// Identifies one run of that entry host's process.
    pub incarnation: u64,
    /// The address at which the holder takes calls of other entry hosts.
    pub address: Name,
    /// Grows by one with each taking of the lease; also the fencing token of the holder's orders.
    pub term: u64,
    /// Counts the transactions of the holder.
    pub change: u64,
    /// 1 while a pool is limited, so that entry hosts have to read the board; else 0.
    pub limited: u32,
}

/// The lease is no longer held: another process has written its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLost;

/// The outcome of an attempt to take the lease.
pub enum TakeOutcome {
    /// This process holds the lease.
    Held(Lease),
    /// Another process has written the row first.
    Conflict,
    /// The store did not answer: the row may name this process already, or may come to.
    Unanswered,
}

/// A lease that this process holds.
pub struct Lease {
    store: Rc<Store>,
    row: LeaseRow,
    version: u64,
    store_ms: u64,
}

impl Lease {
    /// Writes `row` on the condition that the lease row still has `version` (0: no row exists).
    pub async fn try_take(store: Rc<Store>, row: LeaseRow, version: u64) -> TakeOutcome {
        let tx = Tx {
            expected: vec![(tables::lease_key(), version)],
            puts: vec![(tables::lease_key(), encode(&row))],
            drops: Vec::new(),
        };
        match store.commit(&tx).await {
            Ok(TxAnswer::Done { version, now_ms }) => {
                TakeOutcome::Held(Self { store, row, version, store_ms: now_ms })
            }
            Ok(TxAnswer::Conflict { .. }) => TakeOutcome::Conflict,
            Err(e) => {
                tracing::debug!(event = "lease-take-failed", error = %e);
                TakeOutcome::Unanswered
            }
        }
    }

    /// Returns the lease that an unanswered attempt turns out to have taken. `row` is the lease row as read later, and
    /// has not been written since the attempt.
    pub fn from_unanswered_take(
        store: Rc<Store>,
        row: LeaseRow,
        version: u64,
        store_ms: u64,
    ) -> Self {
        Self { store, row, version, store_ms }
    }

    /// Returns the term, the fencing token of the holder's orders.
    pub fn term(&self) -> u64 {
        self.row.term
    }

    /// Sets whether a pool is limited, for the next commits.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.row.limited = is_limited.into();
    }

    /// Returns whether a pool was limited at the last commit.
    pub fn is_limited(&self) -> bool {
        self.row.limited > 0
    }

    /// Returns the store's clock at the last commit, in milliseconds.
    pub fn store_ms(&self) -> u64 {
        self.store_ms
    }

    /// Commits a transaction that takes effect only while the lease is held. Retries until the outcome is known.
    pub async fn commit(
        &mut self,
        puts: Vec<(Key, Vec<u8>)>,
        drops: Vec<Key>,
    ) -> Result<(), LeaseLost> {
        let next = LeaseRow { change: self.row.change + 1, ..self.row.clone() };
        self.write(next, puts, drops).await
    }

    /// Releases the lease, so that another entry host can take it at once.
    pub async fn release(&mut self) -> Result<(), LeaseLost> {
        let next =
            LeaseRow { holder: Name::default(), change: self.row.change + 1, ..self.row.clone() };
        self.write(next, Vec::new(), Vec::new()).await
    }

    async fn write(
        &mut self,
        next: LeaseRow,
        mut puts: Vec<(Key, Vec<u8>)>,
        drops: Vec<Key>,
    ) -> Result<(), LeaseLost> {
        puts.push((tables::lease_key(), encode(&next)));
        let tx = Tx { expected: vec![(tables::lease_key(), self.version)], puts, drops };
        let mut pause = FIRST_PAUSE;
        loop {
            match self.store.commit(&tx).await {
                Ok(TxAnswer::Done { version, now_ms }) => {
                    self.row = next;
                    self.version = version;
                    self.store_ms = now_ms;
                    return Ok(());
                }
                Ok(TxAnswer::Conflict { rows }) => return self.resolve_conflict(next, &rows),
                Err(e @ CallError::Refused { status, .. }) if is_permanent(status) => {
                    let (rows, row) = (tx.puts.len(), tx.puts.iter().map(|it| it.1.len()).max());
                    tracing::error!(event = "commit-rejected", rows, longest_row = row, error = %e);
                }
                Err(e) => tracing::debug!(event = "commit-failed", error = %e),
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Handles a conflict, which may come from an earlier attempt at the same transaction whose answer was lost.
    fn resolve_conflict(&mut self, next: LeaseRow, rows: &[Row]) -> Result<(), LeaseLost> {
        let found = rows.iter().find(|it| it.key == tables::lease_key());
        match found.map(|it| (decode(&it.value), it.version)) {
            Some((row, version)) if row == next => {
                self.row = next;
                self.version = version;
                Ok(())
            }
            _ => Err(LeaseLost),
        }
    }
}

/// Returns whether the store would answer the same transaction in the same way again.
fn is_permanent(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS
}

fn encode(row: &LeaseRow) -> Vec<u8> {
    serde_json::to_vec(row).expect("a lease serialises to JSON")
}

/// Decodes a lease row. A row that cannot be decoded counts as held by nobody.
pub fn decode(value: &[u8]) -> LeaseRow {
    serde_json::from_slice(value).unwrap_or_else(|e| {
        tracing::error!(event = "lease-unreadable", error = %e);
        LeaseRow::default()
    })
}
