//! One host's copy of the configuration: applied strictly in order, never back.

use std::{collections::VecDeque, rc::Rc};

use fuchsiamill_model::{ChangeId, Configuration, Error, LogEntry, Version};

const RECENT_ENTRIES: usize = 4_096;

/// What came of entries or a snapshot that were offered to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing new was in them.
    Nothing,
    /// The replica moved on to this version.
    Applied(Version),
    /// Entries are missing; they are to be asked for from after this version.
    Gap(Version),
    /// An entry of the log does not apply; the replica stays behind and must not serve.
    Invalid(Error),
}

/// What a host at some version still needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// These entries, in order; none when it is up to date.
    Entries(Vec<Rc<LogEntry>>),
    /// A snapshot, as the entries after its version are no longer kept.
    Snapshot(Rc<Configuration>),
}

/// One host's copy of the configuration, with the entries that led to it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    current: Rc<Configuration>,
    recent: VecDeque<Rc<LogEntry>>,
    heard: Version,
}

impl Replica {
    /// A replica that starts from a snapshot.
    pub fn new(snapshot: Configuration) -> Self {
        Self { heard: snapshot.version, current: Rc::new(snapshot), recent: VecDeque::new() }
    }

    /// The configuration as applied.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.current
    }

    /// The version that is applied.
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// The newest version that this host heard of, applied or not.
    pub fn heard(&self) -> Version {
        self.heard
    }

    /// Whether nothing newer was heard of than what is applied.
    pub fn is_current(&self) -> bool {
        self.heard == self.current.version
    }

    /// Takes note of a version that another host or the table told.
    pub fn note_version(&mut self, version: Version) {
        self.heard = self.heard.max(version);
    }

    /// Applies entries that follow the applied version; skips those already applied.
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

    /// Takes a snapshot that is newer than what is applied; an older one changes nothing.
    pub fn install(&mut self, snapshot: Rc<Configuration>) -> ApplyOutcome {
        self.note_version(snapshot.version);
        if snapshot.version <= self.version() {
            return ApplyOutcome::Nothing;
        }
        self.current = snapshot;
        self.recent.clear();
        ApplyOutcome::Applied(self.version())
    }

    /// What a host that has applied `version` still needs.
    pub fn since(&self, version: Version) -> Since {
        let missing = self.version().0.saturating_sub(version.0) as usize;
        if missing > self.recent.len() {
            return Since::Snapshot(self.current.clone());
        }
        Since::Entries(self.recent.range(self.recent.len() - missing..).cloned().collect())
    }

    /// A recent entry by its writer's id.
    pub fn find(&self, id: &ChangeId) -> Option<&Rc<LogEntry>> {
        self.recent.iter().rev().find(|entry| &entry.id == id)
    }

    /// The entries after a version, or none when they are no longer all kept.
    pub fn entries_after(&self, version: Version) -> Option<impl Iterator<Item = &Rc<LogEntry>>> {
        let missing = self.version().0.saturating_sub(version.0) as usize;
        let from = self.recent.len().checked_sub(missing)?;
        Some(self.recent.range(from..))
    }

    fn remember(&mut self, entry: Rc<LogEntry>) {
        if self.recent.len() == RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
    }
}
