//! The row of a claim and what it means to a repeat of the request.

use fuchsiamill_model::{Incarnation, Millisecond, Problem, ProblemKind, WallTime};
use serde::{Deserialize, Serialize};

use super::key::RequestDigest;

/// How long a repeat is told to wait while the first request runs.
const RUNNING_RETRY_AFTER: Millisecond = 1_000;

/// The id that a writer gives its claim, to find it again when an answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub String);

impl ClaimId {
    /// The object that holds the body of this claim's answer, when it does not fit into the row.
    pub fn answer_object(&self) -> String {
        format!("claim-answer-{}", self.0)
    }
}

/// The body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// In the row, as text.
    Text(String),
    /// In the row, as base 16 digits.
    Binary(String),
    /// In the object store, under this name.
    Object(String),
}

/// A backend server's answer, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, without those that belong to one connection.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// How far the claimed request is known to have come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Progress {
    /// Its entry host may send it, or has sent it.
    Claimed,
    /// It ran and this is the answer.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// It was sent and its outcome will not become known.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// The writer's own id of this claim.
    pub id: ClaimId,
    /// The process that claimed it.
    pub entry: Incarnation,
    /// What was asked.
    pub request: RequestDigest,
    /// When the first request stops waiting, for the notice to repeats.
    pub deadline: WallTime,
    /// How far it is known to have come.
    pub progress: Progress,
}

/// What a repeat of a claimed request is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer that is already known.
    Replay(Answer),
    /// A refusal.
    Refuse(Problem),
}

impl ClaimRow {
    /// Whether a repeat of the request may still learn its end by waiting.
    pub fn may_end(&self, request: RequestDigest, now: WallTime) -> bool {
        self.request == request && self.progress == Progress::Claimed && now.0 <= self.deadline.0
    }

    /// The object that the claim may have left in the object store.
    ///
    /// The body is written before the row names it, so any row but one with its body may have one.
    pub fn possible_object(&self) -> Option<String> {
        match &self.progress {
            Progress::Answered { answer: Answer { body: Body::Text(_) | Body::Binary(_), .. } } => {
                None
            }
            _ => Some(self.id.answer_object()),
        }
    }

    /// What a request that finds this row, written by another, is told.
    pub fn verdict(&self, request: RequestDigest, now: WallTime) -> Verdict {
        if self.request != request {
            return Verdict::Refuse(Problem::unknown(
                ProblemKind::IdempotencyKeyReused,
                "This idempotency key came before with another request, which may have run; this one was not sent.",
            ));
        }
        match &self.progress {
            Progress::Answered { answer } => Verdict::Replay(answer.clone()),
            Progress::Unknown => Verdict::Refuse(Problem::unknown(
                ProblemKind::AnswerLost,
                "The first request with this idempotency key was sent and its answer was lost.",
            )),
            Progress::Claimed if now.0 <= self.deadline.0 => {
                let problem = Problem::unknown(
                    ProblemKind::DuplicateRequest,
                    "The first request with this idempotency key may still be running.",
                );
                Verdict::Refuse(problem.retry_after(RUNNING_RETRY_AFTER))
            }
            Progress::Claimed => Verdict::Refuse(Problem::unknown(
                ProblemKind::DuplicateRequest,
                "The first request with this idempotency key is past its deadline and its outcome was not recorded.",
            )),
        }
    }
}
