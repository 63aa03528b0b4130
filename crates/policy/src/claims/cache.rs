//! A cache of this process's own claims, which answers repeats without a read of the table.

use std::collections::VecDeque;

use fuchsiamill_model::FastMap;

use super::{
    key::ClaimKey,
    row::{ClaimId, ClaimRow, Progress},
    write::RowVersion,
};

/// A cached claim.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The row as last written or queued by this process.
    pub row: ClaimRow,
    /// The version of the row in the table; `None` until the claim is held.
    pub version: Option<RowVersion>,
}

/// The claims of this process: all that are in progress, and the latest that ended.
#[derive(Debug)]
pub struct ClaimCache {
    entries: FastMap<ClaimKey, Entry>,
    ended: VecDeque<(ClaimKey, ClaimId)>,
    max_ended: usize,
}

impl ClaimCache {
    /// Creates a cache that keeps at most `max_ended` ended claims.
    pub fn new(max_ended: usize) -> Self {
        Self { entries: FastMap::default(), ended: VecDeque::new(), max_ended }
    }

    /// Returns the claim on a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Adds a claim that is about to be written.
    pub fn insert(&mut self, key: ClaimKey, row: ClaimRow) {
        self.entries.insert(key, Entry { row, version: None });
    }

    /// Records the version of a claim's row.
    pub fn set_version(&mut self, key: &ClaimKey, id: &ClaimId, version: RowVersion) {
        if let Some(entry) = self.entries.get_mut(key).filter(|it| &it.row.id == id) {
            entry.version = Some(version);
        }
    }

    /// Returns the version of a claim's row; `None` until the claim is held.
    pub fn version(&self, key: &ClaimKey, id: &ClaimId) -> Option<RowVersion> {
        self.entries.get(key).filter(|it| &it.row.id == id)?.version
    }

    /// Replaces a claim's row by the row with which its request ended.
    pub fn finish(&mut self, key: &ClaimKey, row: ClaimRow) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row = row;
        }
    }

    /// Records that a claim's end is in the table, which makes the claim evictable.
    pub fn settle(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.get(key) else { return };
        if entry.row.progress == Progress::Claimed {
            return;
        }
        self.ended.push_back((key.clone(), entry.row.id.clone()));
        while self.ended.len() > self.max_ended {
            self.evict_oldest();
        }
    }

    /// Removes a claim, if its id is `id`.
    pub fn forget(&mut self, key: &ClaimKey, id: &ClaimId) {
        if self.entries.get(key).is_some_and(|it| &it.row.id == id) {
            self.entries.remove(key);
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((key, id)) = self.ended.pop_front() {
            self.forget(&key, &id);
        }
    }
}
