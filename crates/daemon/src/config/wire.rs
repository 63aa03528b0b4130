//! Messages about the configuration between entry hosts.

use std::rc::Rc;

use fuchsiamill_model::{Configuration, EntryName, Incarnation, LogEntry, Version};
use fuchsiamill_ports::RowVersion;
use serde::{Deserialize, Serialize};

/// Pushes entries; answered with [`Known`].
pub const ENTRIES: &str = "config.entries";
/// Asks which version a host knows; answered with [`Known`].
pub const VERSION: &str = "config.version";
/// Asks for what follows a version; answered with [`News`].
pub const SINCE: &str = "config.since";
/// Tells that the table was read or that a version was accepted.
pub const SEEN: &str = "config.seen";

/// Entries that are in the table, in order.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries {
    /// The sender.
    pub from: EntryName,
    /// The entries.
    pub entries: Vec<Rc<LogEntry>>,
    /// The version of the head's row at the last entry.
    pub row: Option<RowVersion>,
}

/// Asks which version a host knows.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AskVersion {
    /// The sender.
    pub from: EntryName,
    /// The version that the sender knows.
    pub version: Version,
}

/// What a host knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    /// Its run.
    pub incarnation: Incarnation,
    /// The version that it has applied.
    pub applied: Version,
}

/// Asks for what follows a version.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AskSince {
    /// The sender.
    pub from: EntryName,
    /// The version that the sender has applied.
    pub version: Version,
}

/// What follows a version.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct News {
    /// A snapshot, when the entries are no longer all kept.
    pub snapshot: Option<Rc<Configuration>>,
    /// The entries.
    pub entries: Vec<Rc<LogEntry>>,
    /// The version of the head's row, when it is known for the newest of this.
    pub row: Option<RowVersion>,
    /// The newest accepted version.
    pub accepted: Version,
}

/// What a host has seen, told to all others.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Seen {
    /// It read the table, whose newest version was this.
    Table {
        /// The sender.
        from: EntryName,
        /// The version.
        version: Version,
    },
    /// The log was folded into a snapshot of this version.
    Snapshot {
        /// The sender.
        from: EntryName,
        /// The version.
        version: Version,
    },
    /// A version is accepted.
    Accepted {
        /// The sender.
        from: EntryName,
        /// The version.
        version: Version,
    },
}
