//! What a refusal tells the caller.

use serde::{Deserialize, Serialize};

use crate::units::Millisecond;

/// Whether refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It certainly did not run and never will for this request.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The kinds of refusal. Each has a stable type that callers may compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request or its head cannot be understood.
    BadRequest,
    /// No key was presented where one is needed.
    KeyMissing,
    /// The key is not known, or was withdrawn.
    KeyRefused,
    /// The path names nothing.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The head or the body is too large.
    TooLarge,
    /// The head or the body came too slowly.
    TooSlow,
    /// A non-idempotent request came without an idempotency key.
    IdempotencyKeyMissing,
    /// The idempotency key came before with another request.
    IdempotencyKeyReused,
    /// The first request of this idempotency key is still running or its outcome is not known.
    DuplicateRequest,
    /// The team's queue is full.
    QueueFull,
    /// The request's deadline passed while it was queued.
    DeadlinePassed,
    /// This entry host cannot be sure of the newest configuration, so it does not serve.
    NotInStanding,
    /// The platform's table service is needed and does not answer.
    StoreUnavailable,
    /// The pool has no host that serves.
    NoCapacity,
    /// The process is shutting down.
    ShuttingDown,
    /// The backend server could not be reached or refused before it ran anything.
    BackendRefused,
    /// The backend server's answer was lost, late or cut after the request had been sent.
    AnswerLost,
    /// The job can never run on the fleet as it is.
    Unplaceable,
    /// Too many connections or requests in progress.
    Overloaded,
}

impl ProblemKind {
    /// The stable last part of the problem's `type`.
    pub fn slug(self) -> &'static str {
        match self {
            ProblemKind::BadRequest => "bad-request",
            ProblemKind::KeyMissing => "key-missing",
            ProblemKind::KeyRefused => "key-refused",
            ProblemKind::NotFound => "not-found",
            ProblemKind::MethodNotAllowed => "method-not-allowed",
            ProblemKind::TooLarge => "too-large",
            ProblemKind::TooSlow => "too-slow",
            ProblemKind::IdempotencyKeyMissing => "idempotency-key-missing",
            ProblemKind::IdempotencyKeyReused => "idempotency-key-reused",
            ProblemKind::DuplicateRequest => "duplicate-request",
            ProblemKind::QueueFull => "queue-full",
            ProblemKind::DeadlinePassed => "deadline-passed",
            ProblemKind::NotInStanding => "not-in-standing",
            ProblemKind::StoreUnavailable => "store-unavailable",
            ProblemKind::NoCapacity => "no-capacity",
            ProblemKind::ShuttingDown => "shutting-down",
            ProblemKind::BackendRefused => "backend-refused",
            ProblemKind::AnswerLost => "answer-lost",
            ProblemKind::Unplaceable => "unplaceable",
            ProblemKind::Overloaded => "overloaded",
        }
    }

    /// The HTTP status that carries the problem.
    pub fn status(self) -> u16 {
        match self {
            ProblemKind::BadRequest | ProblemKind::IdempotencyKeyMissing => 400,
            ProblemKind::KeyMissing | ProblemKind::KeyRefused => 401,
            ProblemKind::NotFound => 404,
            ProblemKind::MethodNotAllowed => 405,
            ProblemKind::TooSlow => 408,
            ProblemKind::DuplicateRequest => 409,
            ProblemKind::TooLarge => 413,
            ProblemKind::IdempotencyKeyReused | ProblemKind::Unplaceable => 422,
            ProblemKind::QueueFull => 429,
            ProblemKind::BackendRefused | ProblemKind::AnswerLost => 502,
            ProblemKind::NotInStanding
            | ProblemKind::StoreUnavailable
            | ProblemKind::NoCapacity
            | ProblemKind::ShuttingDown
            | ProblemKind::Overloaded => 503,
            ProblemKind::DeadlinePassed => 504,
        }
    }

    /// What the caller can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            ProblemKind::BadRequest => "Correct the request before sending it again.",
            ProblemKind::KeyMissing => "Send 'authorization: Bearer KEY' with a key of your team.",
            ProblemKind::KeyRefused => "Ask an operator for a new key.",
            ProblemKind::NotFound => "Check the path and the name of the service or job.",
            ProblemKind::MethodNotAllowed => "Use the method that the 'allow' header names.",
            ProblemKind::TooLarge => "Send a smaller head or body.",
            ProblemKind::TooSlow => "Send the request faster.",
            ProblemKind::IdempotencyKeyMissing => {
                "Send 'idempotency-key' with a value of your own for each piece of work."
            }
            ProblemKind::IdempotencyKeyReused => "Use a new idempotency key for other work.",
            ProblemKind::DuplicateRequest => {
                "Ask again with the same idempotency key for the outcome."
            }
            ProblemKind::QueueFull => "Send again after the time in 'retry-after'.",
            ProblemKind::DeadlinePassed => "Send again later or allow more time.",
            ProblemKind::NotInStanding => "Send again; another entry host may serve.",
            ProblemKind::StoreUnavailable => "Send again after the time in 'retry-after'.",
            ProblemKind::NoCapacity => "Send again after the time in 'retry-after'.",
            ProblemKind::ShuttingDown => "Send again; another entry host serves.",
            ProblemKind::BackendRefused => "Send again after the time in 'retry-after'.",
            ProblemKind::AnswerLost => {
                "Ask again with the same idempotency key, or check before sending the work again."
            }
            ProblemKind::Unplaceable => "Ask for no more than the largest host of the pool offers.",
            ProblemKind::Overloaded => "Open fewer connections, or send again later.",
        }
    }
}

/// A refusal: its kind, whether the work may have run, and when to try again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// The kind.
    pub kind: ProblemKind,
    /// Whether the work may have run.
    pub run: RunState,
    /// One sentence on this case; never holds a key.
    pub detail: String,
    /// When a further try may succeed, where that can be said.
    pub retry_after: Option<Millisecond>,
}

impl Problem {
    /// A refusal of work that certainly did not run.
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self { kind, run: RunState::NotRun, detail: detail.into(), retry_after: None }
    }

    /// A refusal of work that may have run.
    pub fn unknown(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self { kind, run: RunState::Unknown, detail: detail.into(), retry_after: None }
    }

    /// The same refusal with a time after which to try again.
    pub fn retry_after(mut self, span: Millisecond) -> Self {
        self.retry_after = Some(span);
        self
    }
}
