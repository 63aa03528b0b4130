//! The table row of one team and the changes that transactions make to it.

use std::{collections::BTreeMap, fmt};

use fuchsiamill_model::{EntryName, Incarnation, Units, Version};
use serde::{Deserialize, Serialize};

/// One uninterrupted period in which the process of an entry host has majority standing.
///
/// A process that loses standing begins a new term, so that a late reclaim of the old holding
/// cannot remove the new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HolderId {
    /// The entry host.
    pub entry: EntryName,
    /// The process of the entry host.
    pub incarnation: Incarnation,
    /// How often this process has lost standing.
    pub term: u64,
}

impl HolderId {
    /// Returns whether both ids belong to the same process.
    pub fn is_same_process(&self, other: &HolderId) -> bool {
        self.entry == other.entry && self.incarnation == other.incarnation
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.term)
    }
}

impl From<HolderId> for String {
    fn from(id: HolderId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for HolderId {
    type Error = String;

    fn try_from(raw: String) -> Result<Self, String> {
        let malformed = || format!("'{raw}' is not ENTRY/INCARNATION/TERM; repair the escrow row.");
        let mut parts = raw.split('/');
        let (Some(entry), Some(incarnation), Some(term), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed());
        };
        Ok(Self {
            entry: entry.parse().map_err(|_| malformed())?,
            incarnation: incarnation.parse().map_err(|_| malformed())?,
            term: term.parse().map_err(|_| malformed())?,
        })
    }
}

/// The escrow row of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EscrowRow {
    /// The team's upper limit.
    pub limit: Units,
    /// The configuration version that set the limit.
    pub limit_version: Version,
    /// The units that each holder has.
    pub held: BTreeMap<HolderId, Units>,
    /// The units that running tasks of jobs use.
    pub job_units: Units,
}

impl EscrowRow {
    /// Creates a row in which no units are held.
    pub fn new(limit: Units, limit_version: Version) -> Self {
        Self { limit, limit_version, ..Self::default() }
    }

    /// Returns the units that are held or in use by jobs.
    pub fn sum(&self) -> Units {
        let held = self.held.values().fold(0, |sum: Units, units| sum.saturating_add(*units));
        held.saturating_add(self.job_units)
    }

    /// Returns the units that are neither held nor in use by jobs.
    pub fn room(&self) -> Units {
        self.limit.saturating_sub(self.sum())
    }

    /// Returns whether the sum is within the limit. It can be above for a while after the limit was lowered.
    pub fn is_settled(&self) -> bool {
        self.sum() <= self.limit
    }

    /// Returns the units of a holder; 0 if the row does not have the holder.
    pub fn held_by(&self, holder: &HolderId) -> Units {
        self.held.get(holder).copied().unwrap_or(0)
    }

    /// Adds up to `wanted` units to a holder, as far as the limit allows, and returns how many were added.
    pub fn grow(&mut self, holder: &HolderId, wanted: Units) -> Units {
        let added = wanted.min(self.room());
        if added > 0 {
            *self.held.entry(holder.clone()).or_default() += added;
        }
        added
    }

    /// Reduces the units of a holder to `keep`, if it has more.
    pub fn shrink(&mut self, holder: &HolderId, keep: Units) {
        let Some(held) = self.held.get_mut(holder) else { return };
        *held = (*held).min(keep);
        if *held == 0 {
            self.held.remove(holder);
        }
    }

    /// Moves the holdings of earlier terms of the same process to its present term.
    pub fn adopt(&mut self, holder: &HolderId) {
        let earlier = |id: &HolderId| id.is_same_process(holder) && id.term < holder.term;
        let ids: Vec<HolderId> = self.held.keys().filter(|id| earlier(id)).cloned().collect();
        for id in ids {
            let units = self.held.remove(&id).unwrap_or(0);
            *self.held.entry(holder.clone()).or_default() += units;
        }
    }

    /// Removes a holder whose work has certainly ended, and returns its units.
    pub fn reclaim(&mut self, holder: &HolderId) -> Units {
        self.held.remove(holder).unwrap_or(0)
    }

    /// Sets the limit. After a reduction the holders shrink their own holdings to the units in use.
    pub fn set_limit(&mut self, limit: Units, version: Version) {
        self.limit = limit;
        self.limit_version = version;
    }

    /// Adds units for tasks of jobs if there is room for all of them, and returns whether there was.
    pub fn start_jobs(&mut self, units: Units) -> bool {
        if units > self.room() {
            return false;
        }
        self.job_units += units;
        true
    }

    /// Frees the units of ended tasks.
    pub fn end_jobs(&mut self, units: Units) {
        self.job_units = self.job_units.saturating_sub(units);
    }
}
