//! How long claims are kept and how they go.
//!
//! Each batch of claims carries one index row whose key begins with the hour of the write. The
//! sweep reads the oldest hours only, and removes an index row with the claims that it names in
//! one conditional write, so that two sweepers never remove a claim that was made anew.

use fuchsiamill_model::{Incarnation, Millisecond, WallTime};
use serde::{Deserialize, Serialize};

use super::{key::ClaimKey, row::ClaimId};

/// How long a claim is kept after it was made.
pub const RETENTION: Millisecond = 24 * HOUR;

const HOUR: Millisecond = 3_600_000;
const PREFIX: &str = "claim-index/";

/// The hour in which a claim was made, on its writer's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket(u64);

impl Bucket {
    /// The bucket of a moment.
    pub fn at(now: WallTime) -> Self {
        Self(now.0 / HOUR)
    }

    /// The half-open range of index keys whose claims are past their retention.
    pub fn expired_range(now: WallTime) -> (String, String) {
        let last_kept = now.0.saturating_sub(RETENTION) / HOUR;
        (PREFIX.into(), format!("{PREFIX}{last_kept:010}"))
    }
}

/// The key of an index row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IndexKey(String);

impl IndexKey {
    /// The index row of one batch; `number` is the process's own count of batches.
    pub fn new(bucket: Bucket, entry: &Incarnation, number: u64) -> Self {
        Self(format!("{PREFIX}{:010}/{entry}/{number}", bucket.0))
    }

    /// The key as the table takes it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The claims of one batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexRow {
    /// Each claim's key and its writer's id.
    pub claims: Vec<(ClaimKey, ClaimId)>,
}
