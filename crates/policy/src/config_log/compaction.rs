//! When the log is folded into a snapshot, and which entries stay for hosts that lag.

use fuchsiamill_model::{Configuration, Version};

/// Entries kept below a snapshot, for hosts that read the log while it is folded.
const KEPT_ENTRIES: u64 = 256;

const LEAST_ENTRIES: u64 = 512;
const ITEMS_PER_ENTRY: u64 = 4;

/// A snapshot to write, and the log rows that may go once it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compaction {
    /// The version of the snapshot.
    pub snapshot: Version,
    /// The version of the snapshot that it replaces.
    pub replaces: Version,
    /// The last log version that may be removed.
    pub remove_to: Version,
}

/// Whether the log since the snapshot has grown enough to be folded.
///
/// The larger the configuration, the more entries are gathered first, so that the bytes written for
/// snapshots stay in proportion to those of the entries.
pub fn compaction_due(configuration: &Configuration, snapshot: Version) -> Option<Compaction> {
    let items = configuration.hosts.len() + configuration.keys.len() + configuration.teams.len();
    let gathered = configuration.version.0.saturating_sub(snapshot.0);
    if gathered < LEAST_ENTRIES.max(items as u64 / ITEMS_PER_ENTRY) {
        return None;
    }
    Some(Compaction {
        snapshot: configuration.version,
        replaces: snapshot,
        remove_to: Version(configuration.version.0.saturating_sub(KEPT_ENTRIES)),
    })
}
