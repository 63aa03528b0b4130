//! Finds holdings whose process is gone and whose work has provably ended.

use fuchsiamill_model::{EntryName, FastMap, Incarnation, Moment};

use super::{EscrowRow, EscrowTiming, HolderId};

/// Times how long each holder has been without a live process.
#[derive(Clone, Debug, Default)]
pub struct Reclaimer {
    gone_since: FastMap<HolderId, Moment>,
}

impl Reclaimer {
    /// The holders of `row` that may be reclaimed, when `live` names the processes of the view.
    ///
    /// A holder is gone once a view without its process is installed. What it granted or lent may
    /// be in use for [`EscrowTiming::reclaim_after`] after that.
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
        let mut ended = Vec::new();
        for id in gone {
            let since = *self.gone_since.entry(id.clone()).or_insert(now);
            if now.since(since) > timing.reclaim_after() {
                ended.push(id.clone());
            }
        }
        ended
    }

    /// Forgets all times; for whoever loses standing, since its view is no evidence any more.
    pub fn lose_standing(&mut self) {
        self.gone_since.clear();
    }
}
