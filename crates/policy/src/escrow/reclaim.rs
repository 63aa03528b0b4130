//! Finds the holdings of processes that are gone and whose work has certainly ended.

use fuchsiamill_model::{EntryName, FastMap, Incarnation, Moment};

use super::{EscrowRow, EscrowTiming, HolderId};

/// Measures how long each holder in the row has been without a live process.
#[derive(Clone, Debug, Default)]
pub struct Reclaimer {
    gone_since: FastMap<HolderId, Moment>,
}

impl Reclaimer {
    /// Returns the holders of `row` that may be reclaimed. `live` has the processes in the installed view.
    ///
    /// A holder is gone once a view without its process is installed. Units that it granted or lent
    /// may stay in use for [`EscrowTiming::reclaim_after`] after that.
    pub fn observe(
        &mut self,
        now: Moment,
        row: &EscrowRow,
        live: &FastMap<EntryName, Incarnation>,
        timing: &EscrowTiming,
    ) -> Vec<HolderId> {
        let is_gone = |id: &HolderId| live.get(&id.entry) != Some(&id.incarnation);
        self.gone_since.retain(|id, _| is_gone(id) && row.held.contains_key(id));
        let gone = row.held.keys().filter(|id| is_gone(id));
        let mut reclaimable = Vec::new();
        for id in gone {
            let since = *self.gone_since.entry(id.clone()).or_insert(now);
            if now.since(since) > timing.reclaim_after() {
                reclaimable.push(id.clone());
            }
        }
        reclaimable
    }

    /// Discards all times. Without majority standing the own view does not prove that a process is gone.
    pub fn lose_standing(&mut self) {
        self.gone_since.clear();
    }
}
