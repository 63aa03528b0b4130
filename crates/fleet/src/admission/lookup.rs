//! What keeps a refusal true: it says that no attempt at a post was or will be stored.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::gate::{Refusal, Verdict};
use crate::Name;

/// How long an entry host remembers an insertion without a definite outcome. Callers have given up by then.
const DOUBT_MS: Millisecond = 120_000;

/// The most ids that are remembered. While there are more, nothing is refused.
const MAX_DOUBTS: usize = 4_096;

/// What is done with a post.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The job is inserted; the store's condition decides whether it was there.
    Insert,
    /// The job's row is read first; the refusal holds if there is none.
    Lookup(Refusal),
}

/// The result of reading a job's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// The row is there.
    Row,
    /// The row is not there.
    Nothing,
    /// The store did not answer in time.
    NoAnswer,
}

/// The outcome for a post after the read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The post repeats an earlier one: answered as an insertion that finds the row.
    Known,
    /// The post is refused.
    Refused(Refusal),
    /// The job is inserted.
    Insert,
}

/// Insertions of this entry host that are under way, or have no definite outcome.
#[derive(Debug, Default)]
pub struct Doubts {
    since: FastMap<Name, Moment>,
}

impl Doubts {
    /// Notes that an insertion begins.
    pub fn begin(&mut self, id: Name, now: Moment) {
        if self.since.len() >= MAX_DOUBTS {
            self.since.retain(|_, since| now.since(*since) <= DOUBT_MS);
        }
        if self.since.len() < MAX_DOUBTS {
            self.since.insert(id, now);
        }
    }

    /// Notes that the outcome of the insertion is known.
    pub fn end(&mut self, id: &Name) {
        self.since.remove(id);
    }

    /// Returns whether an insertion of this job may have been stored, or may yet be.
    pub fn has(&self, id: &Name, now: Moment) -> bool {
        self.since.len() >= MAX_DOUBTS
            || self.since.get(id).is_some_and(|since| now.since(*since) <= DOUBT_MS)
    }
}

/// Returns what is done with a post after the verdict. `is_in_doubt` is [`Doubts::has`]; `is_store_prompt` tells that the store has
/// answered all calls in time for longer than a call of any entry host may take.
pub fn before_refusal(verdict: Verdict, is_in_doubt: bool, is_store_prompt: bool) -> Step {
    match verdict {
        Verdict::Refuse(refusal) if !is_in_doubt && is_store_prompt => Step::Lookup(refusal),
        Verdict::Refuse(_) | Verdict::Admit(_) => Step::Insert,
    }
}

/// Returns the outcome for a post that was to be refused, after the read of its row.
pub fn after_lookup(refusal: Refusal, found: Found) -> Outcome {
    match found {
        Found::Row => Outcome::Known,
        Found::Nothing => Outcome::Refused(refusal),
        Found::NoAnswer => Outcome::Insert,
    }
}
