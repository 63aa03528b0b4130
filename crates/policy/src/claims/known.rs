//! The claims that this process made itself, so that it can answer repeats without the table.

use std::collections::VecDeque;

use fuchsiamill_model::FastMap;

use super::{
    key::ClaimKey,
    row::{ClaimId, ClaimRow, Progress},
    write::RowVersion,
};

/// A claim of this process and the version of its row, once that is known.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The row.
    pub row: ClaimRow,
    /// The version in the table.
    pub version: Option<RowVersion>,
}

/// The claims of this process: all that are under way, and the latest that ended.
#[derive(Debug)]
pub struct Known {
    entries: FastMap<ClaimKey, Entry>,
    ended: VecDeque<(ClaimKey, ClaimId)>,
    most_ended: usize,
}

impl Known {
    /// Remembers at most `most_ended` claims that ended.
    pub fn new(most_ended: usize) -> Self {
        Self { entries: FastMap::default(), ended: VecDeque::new(), most_ended }
    }

    /// The claim on a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// A claim begins.
    pub fn begin(&mut self, key: ClaimKey, row: ClaimRow) {
        self.entries.insert(key, Entry { row, version: None });
    }

    /// The version of a claim's row became known.
    pub fn set_version(&mut self, key: &ClaimKey, id: &ClaimId, version: RowVersion) {
        if let Some(entry) = self.entries.get_mut(key).filter(|it| &it.row.id == id) {
            entry.version = Some(version);
        }
    }

    /// The version of a claim's row, once it is held.
    pub fn version(&self, key: &ClaimKey, id: &ClaimId) -> Option<RowVersion> {
        self.entries.get(key).filter(|it| &it.row.id == id)?.version
    }

    /// A claim's request ended with this row.
    pub fn finish(&mut self, key: &ClaimKey, row: ClaimRow) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row = row;
        }
    }

    /// A claim's end is in the table: it may be forgotten when room is needed.
    pub fn settle(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.get(key) else { return };
        if entry.row.progress == Progress::Claimed {
            return;
        }
        self.ended.push_back((key.clone(), entry.row.id.clone()));
        while self.ended.len() > self.most_ended {
            self.forget_oldest();
        }
    }

    /// A claim is gone.
    pub fn forget(&mut self, key: &ClaimKey, id: &ClaimId) {
        if self.entries.get(key).is_some_and(|it| &it.row.id == id) {
            self.entries.remove(key);
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((key, id)) = self.ended.pop_front() {
            self.forget(&key, &id);
        }
    }
}
