//! The retention of claims and the index by which expired claims are deleted.
//!
//! Each batch of claims writes one index row whose key begins with the hour of the write. The sweep
//! reads only the oldest hours. It deletes an index row and the claims that the row names in one
//! conditional write, so that two concurrent sweeps never delete a newer claim on the same key.

use fuchsiamill_model::{Incarnation, Millisecond, WallTime};
use serde::{Deserialize, Serialize};

use super::{key::ClaimKey, row::ClaimId};

/// The minimum time for which a claim is kept.
pub const RETENTION: Millisecond = 24 * HOUR;

const HOUR: Millisecond = 3_600_000;
const PREFIX: &str = "claim-index/";

/// The hour in which a claim was made, by its writer's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket(u64);

impl Bucket {
    /// Returns the bucket of a point in time.
    pub fn at(now: WallTime) -> Self {
        Self(now.0 / HOUR)
    }

    /// Returns the half-open range of index keys whose claims are past their retention.
    pub fn expired_range(now: WallTime) -> (String, String) {
        let last_kept = now.0.saturating_sub(RETENTION) / HOUR;
        (PREFIX.into(), format!("{PREFIX}{last_kept:010}"))
    }
}

/// The key of an index row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IndexKey(String);

impl IndexKey {
    /// Returns the key of a batch's index row; `number` is the batch's number within its process.
    pub fn new(bucket: Bucket, entry: &Incarnation, number: u64) -> Self {
        Self(format!("{PREFIX}{:010}/{entry}/{number}", bucket.0))
    }

    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The value of an index row: the claims of one batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexRow {
    /// The key and the id of each claim.
    pub claims: Vec<(ClaimKey, ClaimId)>,
}
