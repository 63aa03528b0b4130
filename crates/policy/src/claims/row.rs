//! The row of a claim, and the answer that a repeat of the request gets from it.

use fuchsiamill_model::{Incarnation, Millisecond, Problem, ProblemKind, WallTime};
use serde::{Deserialize, Serialize};

use super::key::RequestDigest;

/// The retry delay that the answer to a repeat names while the first request runs.
const RUNNING_RETRY_AFTER: Millisecond = 1_000;

/// The id that a writer chooses for its claim, to recognise its own row after a lost answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub String);

impl ClaimId {
    /// Returns the name of the object for the answer's body, which is used when it does not fit into the row.
    pub fn answer_object(&self) -> String {
        format!("claim-answer-{}", self.0)
    }
}

/// The body of a stored answer.
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

/// A backend server's answer, stored for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, without the hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// The body, or where it is stored.
    pub body: Body,
}

/// The last recorded state of the claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Progress {
    /// Its entry host may send the request or has sent it.
    Claimed,
    /// The request ran and was answered.
    Answered {
        /// The stored answer.
        answer: Answer,
    },
    /// The request was sent and no answer is stored for repeats.
    Unknown,
}

/// The value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// The id that the writer chose for this claim.
    pub id: ClaimId,
    /// The incarnation of the entry host that made the claim.
    pub entry: Incarnation,
    /// The digest of the request.
    pub request: RequestDigest,
    /// When the first request stops waiting; the answer to a repeat depends on it.
    pub deadline: WallTime,
    /// The last recorded state of the request.
    pub progress: Progress,
}

/// The answer to a repeat of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The stored answer.
    Replay(Answer),
    /// A problem: the repeat is not sent.
    Refuse(Problem),
}

impl ClaimRow {
    /// Returns whether the end of the request may still be recorded, so that a repeat should wait for it.
    pub fn may_end(&self, request: RequestDigest, now: WallTime) -> bool {
        self.request == request && self.progress == Progress::Claimed && now.0 <= self.deadline.0
    }

    /// Returns the object that the claim may have created in the object store.
    ///
    /// The body is stored before the row names it, so an object may exist unless the row holds the body.
    pub fn possible_object(&self) -> Option<String> {
        match &self.progress {
            Progress::Answered { answer: Answer { body: Body::Text(_) | Body::Binary(_), .. } } => {
                None
            }
            _ => Some(self.id.answer_object()),
        }
    }

    /// Returns the answer to a request that finds this row, written by another request.
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
