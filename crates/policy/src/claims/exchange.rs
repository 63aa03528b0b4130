//! The life cycle of one claimed request at its entry host.
//!
//! Only a held claim can be released, and only a held claim turns into "not run". Once a byte may
//! have left, the types leave no way back.

use fuchsiamill_model::{Problem, ProblemKind};

use super::{
    key::ClaimKey,
    row::{Answer, ClaimId, ClaimRow, Progress},
    write::ClaimUpdate,
};

/// The claim is written and no byte has left.
#[derive(Debug)]
pub struct Held;

/// A byte may have left.
#[derive(Debug)]
pub struct Sent;

/// A claim of this process, by how far its request has come.
#[derive(Debug)]
pub struct Claim<S> {
    key: ClaimKey,
    row: ClaimRow,
    _state: S,
}

impl<S> Claim<S> {
    /// The row's key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// The claim's id.
    pub fn id(&self) -> &ClaimId {
        &self.row.id
    }
}

impl Claim<Held> {
    /// A claim that the table confirmed as ours.
    pub fn held(key: ClaimKey, row: ClaimRow) -> Self {
        Self { key, row, _state: Held }
    }

    /// Turns back before a byte left: the row goes, so that a repeat may run.
    pub fn release(self) -> (ClaimKey, ClaimUpdate) {
        (self.key, ClaimUpdate::Release { id: self.row.id })
    }

    /// The next write may let a byte leave.
    pub fn send(self) -> Claim<Sent> {
        Claim { key: self.key, row: self.row, _state: Sent }
    }
}

impl Claim<Sent> {
    /// The whole answer came.
    pub fn answered(self, answer: Answer) -> (ClaimKey, ClaimUpdate) {
        self.finish(Progress::Answered { answer })
    }

    /// The answer was lost, late or cut.
    pub fn lost(self, detail: &str) -> (ClaimKey, ClaimUpdate, Problem) {
        let (key, work) = self.finish(Progress::Unknown);
        (key, work, Problem::unknown(ProblemKind::AnswerLost, detail))
    }

    /// The whole answer came and could not be kept for repeats.
    pub fn answer_not_stored(self) -> (ClaimKey, ClaimUpdate) {
        self.finish(Progress::Unknown)
    }

    fn finish(self, progress: Progress) -> (ClaimKey, ClaimUpdate) {
        let row = ClaimRow { progress, ..self.row };
        (self.key, ClaimUpdate::Finish { row })
    }
}
