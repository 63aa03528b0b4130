//! Answers to asks for a slot.

use fuchsiamill_model::{Millisecond, Problem, ProblemKind};

use super::{Action, Answer, Ticket};

/// The time after which a refused caller should try again, in milliseconds.
const RETRY_AFTER: Millisecond = 1_000;

pub(super) fn answer(ticket: Ticket, answer: Answer) -> Action {
    Action::Answer { ticket, answer }
}

pub(super) fn refused(kind: ProblemKind, detail: impl Into<String>) -> Answer {
    Answer::Refused { problem: Problem::not_run(kind, detail).retry_after(RETRY_AFTER) }
}
