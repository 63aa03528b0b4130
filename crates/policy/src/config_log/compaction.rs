//! Decides when the log is compacted into a snapshot, and which entries are kept for hosts that lag.

use fuchsiamill_model::{Configuration, Version};

/// Entries kept before a snapshot, for hosts that read the log during a compaction.
const KEPT_ENTRIES: u64 = 256;

/// Minimum number of entries since the last snapshot for a compaction.
const MIN_ENTRIES: u64 = 512;
/// Hosts, keys and teams in the configuration per entry that a compaction needs.
const ITEMS_PER_ENTRY: u64 = 4;

/// A snapshot to write, and the log rows that may be deleted once it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compaction {
    /// The version of the snapshot.
    pub snapshot: Version,
    /// The version of the snapshot that it replaces.
    pub replaces: Version,
    /// The last log version that may be deleted.
    pub remove_to: Version,
}

/// Returns the compaction that is due, if the log has grown enough since the snapshot.
///
/// A larger configuration needs more entries, so that the bytes written for snapshots stay in
/// proportion to the bytes written for entries.
pub fn compaction_due(configuration: &Configuration, snapshot: Version) -> Option<Compaction> {
    let items = configuration.hosts.len() + configuration.keys.len() + configuration.teams.len();
    let entries = configuration.version.0.saturating_sub(snapshot.0);
    if entries < MIN_ENTRIES.max(items as u64 / ITEMS_PER_ENTRY) {
        return None;
    }
    Some(Compaction {
        snapshot: configuration.version,
        replaces: snapshot,
        remove_to: Version(configuration.version.0.saturating_sub(KEPT_ENTRIES)),
    })
}
