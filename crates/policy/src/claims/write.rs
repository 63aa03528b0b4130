//! The conditional writes of claims to the table, and their outcomes.

use super::{
    key::ClaimKey,
    row::{ClaimId, ClaimRow},
};

/// The version of a row in the table.
pub type RowVersion = u64;

/// The id of an operation, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// A change of a claim that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimUpdate {
    /// The request was not sent: the row is deleted.
    Release {
        /// The id of the claim.
        id: ClaimId,
    },
    /// The request was sent: the row records its end.
    Finish {
        /// The new row.
        row: ClaimRow,
    },
}

/// A conditional write to one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Inserts the row if it is absent.
    Insert(ClaimRow),
    /// Replaces the row if it has this version.
    Replace(ClaimRow, RowVersion),
    /// Deletes the row if it has this version.
    Delete(RowVersion),
}

/// A write with its operation id and its row's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    /// The id of the operation.
    pub id: OpId,
    /// The key of the row.
    pub key: ClaimKey,
    /// The write and its condition.
    pub write: Write,
}

/// Writes that the table applies atomically; no two are to the same row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The number of the batch within its process.
    pub number: u64,
    /// The operations.
    pub ops: Vec<Op>,
}

/// The contents of a row, read after a conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The operation whose condition failed.
    pub op: OpId,
    /// The row and its version; `None` when it is absent.
    pub row: Option<(ClaimRow, RowVersion)>,
}

/// The outcome of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch took effect; these are the new versions of its rows, in the order of the batch.
    Written(Vec<RowVersion>),
    /// The batch had no effect, because the conditions on these rows failed.
    Conflict(Vec<Found>),
    /// The batch certainly had no effect: the table could not be reached or refused it.
    NotSent,
    /// No answer arrived: the batch may have taken effect or may still do so.
    Lost,
}
