//! The conditional writes that claims ask the table for, and what the table may answer.

use super::{
    key::ClaimKey,
    row::{ClaimId, ClaimRow},
};

/// The version of a row in the table.
pub type RowVersion = u64;

/// Names one operation of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// What is to become of a claim that this process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimUpdate {
    /// Its request was not sent: the row goes.
    Release {
        /// The claim.
        id: ClaimId,
    },
    /// Its request was sent: the row tells the end.
    Finish {
        /// The new row.
        row: ClaimRow,
    },
}

/// One write on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Writes the row where there is none.
    Insert(ClaimRow),
    /// Writes the row over the version given.
    Replace(ClaimRow, RowVersion),
    /// Removes the row at the version given.
    Delete(RowVersion),
}

/// One write with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    /// The operation.
    pub id: OpId,
    /// The row.
    pub key: ClaimKey,
    /// The write.
    pub write: Write,
}

/// Writes that the table takes all together or not at all; no two are on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// This process's own count of batches.
    pub number: u64,
    /// The writes.
    pub ops: Vec<Op>,
}

/// What a row held when it was read after a conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The operation whose condition failed.
    pub op: OpId,
    /// The row and its version, or nothing.
    pub row: Option<(ClaimRow, RowVersion)>,
}

/// What became of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect; the version of each row written, in the order of the batch.
    Written(Vec<RowVersion>),
    /// It took no effect, because of these rows.
    Conflict(Vec<Found>),
    /// It certainly took no effect: the table could not be reached or refused it.
    NotSent,
    /// No answer came; it may have taken effect or still take it.
    Lost,
}
