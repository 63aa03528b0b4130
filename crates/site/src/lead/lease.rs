//! The coordinator's lease: a row that every change of the coordinator rewrites under the condition that nobody else
//! has.

use std::{rc::Rc, time::Duration};

use fuchsiamill_fleet::Name;
use fuchsiamill_platform::{Key, Row, Store, Tx, TxAnswer};
use monoio::time::sleep;
use serde::{Deserialize, Serialize};

use crate::tables;

/// The first pause after a change that the store refused; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// The value of the lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRow {
    /// The entry host that holds it; empty when it was given back.
    pub holder: Name,
    /// One run of that entry host's process.
    pub incarnation: u64,
    /// Where the holder takes calls of other entry hosts.
    pub address: Name,
    /// Counts holders; also the fence of their orders.
    pub term: u64,
    /// Counts the holder's changes.
    pub change: u64,
}

/// Why a lease is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost;

/// What became of a try to take the lease.
pub enum Taken {
    /// It is held.
    Held(Lease),
    /// Somebody else was first.
    Missed,
    /// Unknown: the lease may name this process now, or do so later.
    Unanswered,
}

/// A lease that is held.
pub struct Lease {
    store: Rc<Store>,
    row: LeaseRow,
    version: u64,
    store_ms: u64,
}

impl Lease {
    /// Writes `row` over what was seen under `version` (0 for none).
    pub async fn take(store: Rc<Store>, row: LeaseRow, version: u64) -> Taken {
        let tx = Tx {
            expected: vec![(tables::lease_key(), version)],
            puts: vec![(tables::lease_key(), encode(&row))],
            drops: Vec::new(),
        };
        match store.commit(&tx).await {
            Ok(TxAnswer::Done { version, now_ms }) => {
                Taken::Held(Self { store, row, version, store_ms: now_ms })
            }
            Ok(TxAnswer::Conflict { .. }) => Taken::Missed,
            Err(e) => {
                tracing::debug!(event = "lease-take-failed", error = %e);
                Taken::Unanswered
            }
        }
    }

    /// The lease that an unanswered try took, as read later; nobody has written its row since.
    pub fn taken_before(store: Rc<Store>, row: LeaseRow, version: u64, store_ms: u64) -> Self {
        Self { store, row, version, store_ms }
    }

    /// The fence of the holder's orders.
    pub fn term(&self) -> u64 {
        self.row.term
    }

    /// The store's clock at the last change.
    pub fn store_ms(&self) -> u64 {
        self.store_ms
    }

    /// Makes a change that takes effect only while the lease is held; tries until that is decided.
    pub async fn commit(&mut self, puts: Vec<(Key, Vec<u8>)>, drops: Vec<Key>) -> Result<(), Lost> {
        let next = LeaseRow { change: self.row.change + 1, ..self.row.clone() };
        self.write(next, puts, drops).await
    }

    /// Gives the lease back, so that another entry host takes it at once.
    pub async fn give_back(&mut self) -> Result<(), Lost> {
        let next =
            LeaseRow { holder: Name::default(), change: self.row.change + 1, ..self.row.clone() };
        self.write(next, Vec::new(), Vec::new()).await
    }

    async fn write(
        &mut self,
        next: LeaseRow,
        mut puts: Vec<(Key, Vec<u8>)>,
        drops: Vec<Key>,
    ) -> Result<(), Lost> {
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
                Ok(TxAnswer::Conflict { rows }) => return self.decide(next, &rows),
                Err(e) => tracing::debug!(event = "commit-failed", error = %e),
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// A conflict may come from an earlier try of the same change whose answer was lost.
    fn decide(&mut self, next: LeaseRow, rows: &[Row]) -> Result<(), Lost> {
        let found = rows.iter().find(|it| it.key == tables::lease_key());
        match found.map(|it| (decode(&it.value), it.version)) {
            Some((row, version)) if row == next => {
                self.row = next;
                self.version = version;
                Ok(())
            }
            _ => Err(Lost),
        }
    }
}

fn encode(row: &LeaseRow) -> Vec<u8> {
    serde_json::to_vec(row).expect("a lease serialises to JSON")
}

/// A row of another format reads as one that nobody holds.
pub fn decode(value: &[u8]) -> LeaseRow {
    serde_json::from_slice(value).unwrap_or_else(|e| {
        tracing::error!(event = "lease-unreadable", error = %e);
        LeaseRow::default()
    })
}
