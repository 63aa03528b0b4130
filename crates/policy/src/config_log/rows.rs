//! The table rows that hold the log.

use fuchsiamill_model::{ChangeId, Version};
use serde::{Deserialize, Serialize};

/// The key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// The key of the snapshot row.
pub const SNAPSHOT_KEY: &str = "config/snapshot";

/// The prefix of every log row.
pub const LOG_PREFIX: &str = "config/log/";

/// Returns the key of a version's log row; keys sort like versions.
pub fn log_key(version: Version) -> String {
    format!("{LOG_PREFIX}{:020}", version.0)
}

/// The value of the head row. Every write to the log is conditional on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest version in the log.
    pub version: Version,
    /// The id of the newest entry; `None` when the log is empty.
    pub id: Option<ChangeId>,
}
