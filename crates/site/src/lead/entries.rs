//! Rows in which entry hosts publish their address and strength, so that the strongest ones coordinate.

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_fleet::Name;
use fuchsiamill_model::units::Millisecond;
use fuchsiamill_platform::{Store, Tx};
use monoio::time::sleep;
use serde::{Deserialize, Serialize};

use crate::tables;

/// The pause between two reads of the other entry hosts' rows.
const READ_PAUSE: Duration = Duration::from_secs(8);

/// Added to [`READ_PAUSE`] for each other entry host, so that the reads cost at most 3 KB a second whatever their
/// number.
const ROW_PAUSE: Duration = Duration::from_millis(50);

/// The least pause after a failed call. A random time of up to the same length is added, so that many entry hosts do
/// not retry at once.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The first writes of entry hosts that start together are spread over this time. A partition of the store commits
/// about 150 transactions a second, and the rows are not urgent: they are needed only for a change of the coordinator
/// and during faults of the store.
const PUBLISH_SPREAD_MS: u64 = 1_500;

/// An entry host is much stronger than another if its strength is more than this percentage of the other's.
const MUCH_STRONGER_PERCENT: u64 = 130;

/// The interval at which each of up to [`MAX_FULL_RATE_POLLERS`] entry hosts polls the lease.
pub const POLL_INTERVAL_MS: Millisecond = 400;

/// If there are more entry hosts than this, each polls less often, so that the load on the lease row and its holder
/// does not grow with their number. The interval of the strongest ones depends on their own number only, since weaker
/// ones leave a free lease to them.
pub const MAX_FULL_RATE_POLLERS: u64 = 8;

/// Weaker entry hosts leave a free lease to the strongest ones for two of their poll intervals, each of which may be a
/// quarter longer. In per cent of one interval.
const TAKE_DELAY_PERCENT: u64 = 250;

/// The row of one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryRow {
    /// The address at which the entry host takes calls of other entry hosts.
    pub address: Name,
    /// Identifies one run of its process.
    pub incarnation: u64,
    /// Its capacity in thousandths of a processor, reduced if its network link is the bottleneck.
    pub strength: u32,
}

/// Thousandths of a processor that one megabit per second of the network link can keep busy.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// Returns the strength of an entry host, in thousandths of a processor.
pub fn strength(processors: f64, link_mbps: f64) -> u32 {
    (processors * 1_000.0).min(link_mbps * MILLICORES_PER_MBPS) as u32
}

/// The other entry hosts, and how this one compares with them.
#[derive(Debug, Default)]
pub struct OtherEntries {
    /// Whether the rows were read at least once.
    is_read: bool,
    /// All other entry hosts.
    pub all: Vec<EntryRow>,
    /// Entry hosts that are much stronger than this one.
    pub stronger: Vec<EntryRow>,
    /// The strength of this entry host.
    own_strength: u32,
    /// The number of entry hosts, this one included, than which no other is much stronger.
    strongest: u64,
}

impl OtherEntries {
    /// Compares `own` with the rows of all entry hosts.
    pub fn from_rows(own: &EntryRow, rows: Vec<EntryRow>) -> Self {
        let all: Vec<_> = rows.into_iter().filter(|it| it.address != own.address).collect();
        let best = all.iter().map(|it| it.strength).fold(own.strength, u32::max);
        let is_strongest = |it: &&EntryRow| !is_much_stronger(best, it.strength);
        let strongest = all.iter().chain([own]).filter(is_strongest).count() as u64;
        let is_stronger = |it: &&EntryRow| is_much_stronger(it.strength, own.strength);
        let stronger = all.iter().filter(is_stronger).cloned().collect();
        Self { is_read: true, all, stronger, own_strength: own.strength, strongest }
    }

    /// Returns the number of known entry hosts, this one included.
    pub fn count(&self) -> u64 {
        self.all.len() as u64 + 1
    }

    /// Returns whether there are certainly at most `most` entry hosts, this one included.
    pub fn are_at_most(&self, most: u64) -> bool {
        self.is_read && self.count() <= most
    }

    /// Returns whether an entry host of this strength is much stronger than this one.
    pub fn is_weaker_than(&self, strength: u32) -> bool {
        is_much_stronger(strength, self.own_strength)
    }

    /// Returns the interval at which this entry host polls the lease.
    pub fn poll_interval_ms(&self) -> Millisecond {
        match self.stronger.is_empty() {
            true => poll_interval_ms_of(self.strongest),
            false => poll_interval_ms_of(self.count()),
        }
    }

    /// Returns how long this entry host leaves a free lease to stronger ones. Before the first read there may be
    /// some, so it waits then too.
    pub fn take_delay_ms(&self) -> Millisecond {
        match self.is_read && self.stronger.is_empty() {
            true => 0,
            false => poll_interval_ms_of(self.strongest) * TAKE_DELAY_PERCENT / 100,
        }
    }
}

fn poll_interval_ms_of(pollers: u64) -> Millisecond {
    POLL_INTERVAL_MS.max(POLL_INTERVAL_MS * pollers / MAX_FULL_RATE_POLLERS)
}

fn is_much_stronger(one: u32, other: u32) -> bool {
    u64::from(one) * 100 > u64::from(other) * MUCH_STRONGER_PERCENT
}

/// The other entry hosts as last read, shared by the tasks of the process.
pub type Entries = Rc<RefCell<OtherEntries>>;

/// Reads the rows of the other entry hosts, publishes this one's, then reads them periodically, forever.
pub async fn publish_and_follow(store: Rc<Store>, name: Name, own: EntryRow, entries: Entries) {
    // After a restart of all entry hosts, the rows of their former processes show who is strong before any is
    // rewritten.
    refresh(&store, &own, &entries).await;
    let value = serde_json::to_vec(&own).expect("a row serialises to JSON");
    let puts = vec![(tables::entry_key(&name), value)];
    let tx = Tx { puts, ..Tx::default() };
    sleep(Duration::from_millis(fastrand::u64(0..PUBLISH_SPREAD_MS))).await;
    while let Err(e) = store.commit(&tx).await {
        tracing::debug!(event = "entry-not-told", error = %e);
        sleep(retry_pause()).await;
    }
    loop {
        let others = refresh(&store, &own, &entries).await;
        sleep(READ_PAUSE + ROW_PAUSE * others).await;
    }
}

/// Reads the rows, retrying until the store answers; returns the number of other entry hosts.
async fn refresh(store: &Store, own: &EntryRow, entries: &Entries) -> u32 {
    loop {
        match read(store).await {
            Ok(rows) => {
                let others = OtherEntries::from_rows(own, rows);
                let count = others.all.len() as u32;
                *entries.borrow_mut() = others;
                return count;
            }
            Err(e) => {
                tracing::debug!(event = "read-failed", what = "entries", error = %e);
                sleep(retry_pause()).await;
            }
        }
    }
}

fn retry_pause() -> Duration {
    RETRY_PAUSE.mul_f64(1.0 + fastrand::f64())
}

async fn read(store: &Store) -> fuchsiamill_platform::Result<Vec<EntryRow>> {
    let page = store.read_part(tables::COORDINATOR, tables::ENTRY_PART).await?;
    let rows = page.rows.iter().filter_map(|it| {
        serde_json::from_slice(&it.value)
            .inspect_err(
                |e| tracing::error!(event = "entry-unreadable", key = %it.key.key, error = %e),
            )
            .ok()
    });
    Ok(rows.collect())
}
