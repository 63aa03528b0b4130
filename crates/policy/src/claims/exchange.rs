//! The life cycle of one claimed request at its entry host, as a typestate.
//!
//! Only a held claim can be released, and only then is the request reported as not run. A claim in
//! state [`Sent`] has no release: a byte of the request may have left.

use fuchsiamill_model::{Problem, ProblemKind};

use super::{
    key::ClaimKey,
    row::{Answer, ClaimId, ClaimRow, Progress},
    write::ClaimUpdate,
};

/// The claim is written and no byte of the request was sent.
#[derive(Debug)]
pub struct Held;

/// A byte of the request may have been sent.
#[derive(Debug)]
pub struct Sent;

/// A claim that this process holds, in state [`Held`] or [`Sent`].
#[derive(Debug)]
pub struct Claim<S> {
    key: ClaimKey,
    row: ClaimRow,
    _state: S,
}

impl<S> Claim<S> {
    /// Returns the key of the claim's row.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// Returns the id of the claim.
    pub fn id(&self) -> &ClaimId {
        &self.row.id
    }
}

impl Claim<Held> {
    /// Creates a claim that the table has confirmed.
    pub fn held(key: ClaimKey, row: ClaimRow) -> Self {
        Self { key, row, _state: Held }
    }

    /// Gives up a request before any byte was sent: the row is deleted, so that a repeat may run.
    pub fn release(self) -> (ClaimKey, ClaimUpdate) {
        (self.key, ClaimUpdate::Release { id: self.row.id })
    }

    /// Marks the request as sent. Call this before the first write to the backend server.
    pub fn send(self) -> Claim<Sent> {
        Claim { key: self.key, row: self.row, _state: Sent }
    }
}

impl Claim<Sent> {
    /// Ends the claim with a complete answer.
    pub fn answered(self, answer: Answer) -> (ClaimKey, ClaimUpdate) {
        self.finish(Progress::Answered { answer })
    }

    /// Ends the claim of a request whose answer was lost, late or truncated.
    pub fn lost(self, detail: &str) -> (ClaimKey, ClaimUpdate, Problem) {
        let (key, update) = self.finish(Progress::Unknown);
        (key, update, Problem::unknown(ProblemKind::AnswerLost, detail))
    }

    /// Ends the claim of a request whose answer is complete but could not be stored for repeats.
    pub fn answer_not_stored(self) -> (ClaimKey, ClaimUpdate) {
        self.finish(Progress::Unknown)
    }

    fn finish(self, progress: Progress) -> (ClaimKey, ClaimUpdate) {
        let row = ClaimRow { progress, ..self.row };
        (self.key, ClaimUpdate::Finish { row })
    }
}
