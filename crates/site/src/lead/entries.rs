//! What entry hosts tell of themselves, so that the strongest ones coordinate.

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_fleet::Name;
use fuchsiamill_platform::{Store, Tx};
use monoio::time::sleep;
use serde::{Deserialize, Serialize};

use crate::tables;

/// The pause between two reads of the other entry hosts' rows.
const READ_PAUSE: Duration = Duration::from_secs(8);

/// Added to it for each of them, so that their number costs no more than 3 KB a second.
const ROW_PAUSE: Duration = Duration::from_millis(50);

/// The pause after a failed call; up to as much is added, so that many entry hosts do not call at once again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Rows of entry hosts that start together are written over so long: a part of the store makes some 150 changes a
/// second, and only changes of the coordinator, and faults of the store, need them.
const TELL_SPREAD_MS: u64 = 1_500;

/// An entry host is weak beside one that has this much more, in per cent.
const MUCH_STRONGER_PERCENT: u32 = 130;

/// One entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryRow {
    /// Where it takes calls of other entry hosts.
    pub address: Name,
    /// One run of its process.
    pub incarnation: u64,
    /// What it can carry: thousandths of a processor, or less where its link is narrow.
    pub strength: u32,
}

/// Thousandths of a processor that a megabit a second of the link can keep busy.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// The strength of an entry host.
pub fn strength(processors: f64, link_mbps: f64) -> u32 {
    (processors * 1_000.0).min(link_mbps * MILLICORES_PER_MBPS) as u32
}

/// The other entry hosts.
#[derive(Debug, Default)]
pub struct Others {
    /// Whether they were read.
    is_read: bool,
    /// All of them.
    pub all: Vec<EntryRow>,
    /// Those that are much stronger than this one.
    pub stronger: Vec<EntryRow>,
}

impl Others {
    /// Entry hosts in all, this one included, as far as is known.
    pub fn count(&self) -> u64 {
        self.all.len() as u64 + 1
    }

    /// Whether there are surely at most `most`, this one included.
    pub fn are_few(&self, most: u64) -> bool {
        self.is_read && self.count() <= most
    }
}

/// The other entry hosts, as last read.
pub type Entries = Rc<RefCell<Others>>;

/// Tells the others of this entry host, then reads their rows again and again.
pub async fn follow(store: Rc<Store>, name: Name, own: EntryRow, entries: Entries) {
    let value = serde_json::to_vec(&own).expect("a row serialises to JSON");
    let puts = vec![(tables::entry_key(&name), value)];
    let tx = Tx { puts, ..Tx::default() };
    sleep(Duration::from_millis(fastrand::u64(0..TELL_SPREAD_MS))).await;
    while let Err(e) = store.commit(&tx).await {
        tracing::debug!(event = "entry-not-told", error = %e);
        sleep(retry_pause()).await;
    }
    loop {
        match read(&store).await {
            Ok(rows) => {
                let is_stronger =
                    |it: &EntryRow| it.strength * 100 > own.strength * MUCH_STRONGER_PERCENT;
                let stronger = rows.iter().filter(|it| is_stronger(it)).cloned().collect();
                let all = rows.into_iter().filter(|it| it.address != own.address).collect();
                let others = Others { is_read: true, all, stronger };
                let pause = READ_PAUSE + ROW_PAUSE * others.all.len() as u32;
                *entries.borrow_mut() = others;
                sleep(pause).await;
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
