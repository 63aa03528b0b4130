//! One host's copy of the configuration. Entries are applied strictly in order; the version never decreases.

use std::{collections::VecDeque, rc::Rc};

use fuchsiamill_model::{ChangeId, Configuration, Error, LogEntry, Version};

/// Maximum number of recent entries kept in memory.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// The result of applying entries or a snapshot to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// They contained nothing new.
    Nothing,
    /// The replica has advanced to this version.
    Applied(Version),
    /// Entries are missing; the entries after this version have to be fetched.
    Gap(Version),
    /// An entry is invalid for the applied configuration; the replica stays behind and must not serve.
    Invalid(Error),
}

/// What a host at some version needs to catch up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// These entries, in order; empty when the host is up to date.
    Entries(Vec<Rc<LogEntry>>),
    /// A snapshot, because the entries after the host's version are no longer all kept.
    Snapshot(Rc<Configuration>),
}

/// One host's copy of the configuration, with the latest entries.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    current: Rc<Configuration>,
    recent: VecDeque<Rc<LogEntry>>,
    heard: Version,
}

impl Replica {
    /// Creates a replica from a snapshot.
    pub fn new(snapshot: Configuration) -> Self {
        Self { heard: snapshot.version, current: Rc::new(snapshot), recent: VecDeque::new() }
    }

    /// Returns the applied configuration.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.current
    }

    /// Returns the applied version.
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// Returns the newest version that this host has heard of, applied or not.
    pub fn heard(&self) -> Version {
        self.heard
    }

    /// Returns whether the newest version heard of is applied.
    pub fn is_current(&self) -> bool {
        self.heard == self.current.version
    }

    /// Records a version that was reported by another host or read from the table.
    pub fn note_version(&mut self, version: Version) {
        self.heard = self.heard.max(version);
    }

    /// Applies entries in order, skipping those already applied; stops at a gap or an invalid entry.
    pub fn apply(&mut self, entries: impl IntoIterator<Item = Rc<LogEntry>>) -> ApplyOutcome {
        let before = self.version();
        for entry in entries {
            self.note_version(entry.version);
            if entry.version <= self.version() {
                continue;
            }
            if entry.version > self.version().next() {
                return ApplyOutcome::Gap(self.version());
            }
            if let Err(e) = Rc::make_mut(&mut self.current).apply(&entry) {
                return ApplyOutcome::Invalid(e);
            }
            self.remember(entry);
        }
        if self.version() == before {
            ApplyOutcome::Nothing
        } else {
            ApplyOutcome::Applied(self.version())
        }
    }

    /// Replaces the configuration by a snapshot if the snapshot is newer.
    pub fn install(&mut self, snapshot: Rc<Configuration>) -> ApplyOutcome {
        self.note_version(snapshot.version);
        if snapshot.version <= self.version() {
            return ApplyOutcome::Nothing;
        }
        self.current = snapshot;
        self.recent.clear();
        ApplyOutcome::Applied(self.version())
    }

    /// Returns what a host that has applied `version` needs to catch up.
    pub fn since(&self, version: Version) -> Since {
        let missing = self.version().0.saturating_sub(version.0) as usize;
        if missing > self.recent.len() {
            return Since::Snapshot(self.current.clone());
        }
        Since::Entries(self.recent.range(self.recent.len() - missing..).cloned().collect())
    }

    /// Returns the recent entry with this id.
    pub fn find(&self, id: &ChangeId) -> Option<&Rc<LogEntry>> {
        self.recent.iter().rev().find(|entry| &entry.id == id)
    }

    /// Returns the entries after a version; `None` when they are no longer all kept.
    pub fn entries_after(&self, version: Version) -> Option<impl Iterator<Item = &Rc<LogEntry>>> {
        let missing = self.version().0.saturating_sub(version.0) as usize;
        let from = self.recent.len().checked_sub(missing)?;
        Some(self.recent.range(from..))
    }

    fn remember(&mut self, entry: Rc<LogEntry>) {
        if self.recent.len() == MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
    }
}
