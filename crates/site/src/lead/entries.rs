//! What entry hosts tell of themselves, so that the strongest ones coordinate.

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_fleet::Name;
use fuchsiamill_model::units::Millisecond;
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
const MUCH_STRONGER_PERCENT: u64 = 130;

/// The pause between two looks at the lease of up to [`LOOKERS`] entry hosts.
pub const LOOK_MS: Millisecond = 400;

/// Of more entry hosts each looks less often, so that the lease and its holder are asked as often whatever their
/// number. The strongest ones are paced by their own number: weak ones leave a free lease to them.
pub const LOOKERS: u64 = 8;

/// Weak entry hosts leave a free lease for two looks of the stronger ones, each of which may take a quarter longer.
const COURTESY_PERCENT: u64 = 250;

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
    /// How many entry hosts have none that is much stronger, this one included if it is one of them.
    strongest: u64,
}

impl Others {
    /// What `own` makes of the rows of all entry hosts.
    pub fn of(own: &EntryRow, rows: Vec<EntryRow>) -> Self {
        let all: Vec<_> = rows.into_iter().filter(|it| it.address != own.address).collect();
        let best = all.iter().map(|it| it.strength).fold(own.strength, u32::max);
        let is_strongest = |it: &&EntryRow| !is_much_stronger(best, it.strength);
        let strongest = all.iter().chain([own]).filter(is_strongest).count() as u64;
        let is_stronger = |it: &&EntryRow| is_much_stronger(it.strength, own.strength);
        let stronger = all.iter().filter(is_stronger).cloned().collect();
        Self { is_read: true, all, stronger, strongest }
    }

    /// Entry hosts in all, this one included, as far as is known.
    pub fn count(&self) -> u64 {
        self.all.len() as u64 + 1
    }

    /// Whether there are surely at most `most`, this one included.
    pub fn are_few(&self, most: u64) -> bool {
        self.is_read && self.count() <= most
    }

    /// The pause between two looks at the lease.
    pub fn look_ms(&self) -> Millisecond {
        match self.stronger.is_empty() {
            true => look_ms_of(self.strongest),
            false => look_ms_of(self.count()),
        }
    }

    /// How long this entry host leaves a free lease to stronger ones. Until it has read who they are, there may be
    /// some.
    pub fn courtesy_ms(&self) -> Millisecond {
        match self.is_read && self.stronger.is_empty() {
            true => 0,
            false => look_ms_of(self.strongest) * COURTESY_PERCENT / 100,
        }
    }
}

fn look_ms_of(lookers: u64) -> Millisecond {
    LOOK_MS.max(LOOK_MS * lookers / LOOKERS)
}

fn is_much_stronger(one: u32, other: u32) -> bool {
    u64::from(one) * 100 > u64::from(other) * MUCH_STRONGER_PERCENT
}

/// The other entry hosts, as last read.
pub type Entries = Rc<RefCell<Others>>;

/// Reads the rows of the other entry hosts, tells them of this one, then reads again and again.
pub async fn follow(store: Rc<Store>, name: Name, own: EntryRow, entries: Entries) {
    // Those of an earlier life tell who is strong before anybody has told again.
    read_into(&store, &own, &entries).await;
    let value = serde_json::to_vec(&own).expect("a row serialises to JSON");
    let puts = vec![(tables::entry_key(&name), value)];
    let tx = Tx { puts, ..Tx::default() };
    sleep(Duration::from_millis(fastrand::u64(0..TELL_SPREAD_MS))).await;
    while let Err(e) = store.commit(&tx).await {
        tracing::debug!(event = "entry-not-told", error = %e);
        sleep(retry_pause()).await;
    }
    loop {
        let others = read_into(&store, &own, &entries).await;
        sleep(READ_PAUSE + ROW_PAUSE * others).await;
    }
}

/// Reads until it is answered; gives the number of other entry hosts.
async fn read_into(store: &Store, own: &EntryRow, entries: &Entries) -> u32 {
    loop {
        match read(store).await {
            Ok(rows) => {
                let others = Others::of(own, rows);
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
