//! Changes that move nothing.

use fuchsiamill_model::{Change, ChangeId, EntryName, Version};
use serde::{Deserialize, Serialize};

/// A change that moves nothing, by a program that keeps teams and keys in step with another system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The caller's own id; the same id acts once.
    pub id: ChangeId,
    /// What is wanted, in words.
    pub intent: String,
    /// The version since which the things changed must be untouched; none when that is all the same.
    #[serde(default)]
    pub basis: Option<Version>,
    /// The changes, all in force together or not at all.
    pub changes: Vec<Change>,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ChangeReport {
    /// It is in force.
    Accepted {
        /// The version.
        version: Version,
    },
    /// It is in the table and will be in force; these hosts have not confirmed it.
    Pending {
        /// The version.
        version: Version,
        /// The hosts.
        waiting: Vec<EntryName>,
    },
    /// The answer of the table was lost; the same id asked again tells.
    InDoubt {
        /// The cause and remedy.
        detail: String,
    },
    /// Another change stands in the way; nothing was changed.
    Conflict {
        /// By whom, what, and the remedy.
        detail: String,
    },
    /// It is refused; nothing was changed.
    Refused {
        /// The reason and remedy.
        detail: String,
    },
    /// The table does not serve; nothing was changed.
    Unavailable {
        /// The cause and remedy.
        detail: String,
    },
}
