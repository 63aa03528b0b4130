//! Idempotency keys: the task that writes claims to the platform's table, and its handle.

mod answer;
mod commit;
mod reader;
mod repeat;
mod rpc;
mod sweep;
mod task;
mod watchers;

use fuchsiamill_http::Response;
use fuchsiamill_model::{Millisecond, Moment, Problem, ProblemKind, WallTime};
use fuchsiamill_policy::claims::{
    Claim, ClaimId, ClaimKey, ClaimRow, ClaimUpdate, Held, RequestDigest, Sent, Verdict,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use reader::Question;
use watchers::Watcher;

pub use repeat::claim;
pub use sweep::sweep;
pub use task::{Config, start};

const RETRY_AFTER: Millisecond = 2_000;

/// What the task is asked for.
enum Command {
    Claim { wanted: Wanted, tx: oneshot::Sender<Answered> },
    End { key: ClaimKey, work: ClaimUpdate },
    Keep { claim: Box<Claim<Sent>>, response: Box<Response> },
    Kept { key: ClaimKey, work: ClaimUpdate },
    Watch(Watcher),
    Settle { tx: oneshot::Sender<Settled> },
}

/// What is seen of a claim that another request made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case", deny_unknown_fields)]
enum Seen {
    /// Its request may still run.
    Running,
    /// Its row.
    Row {
        /// The row.
        row: ClaimRow,
    },
    /// There is none any more.
    Gone,
}

/// A claim that is asked for.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The row's key.
    pub key: ClaimKey,
    /// What is asked.
    pub request: RequestDigest,
    /// When the request stops waiting, on the wall clock, for the notice to repeats.
    pub deadline: WallTime,
    /// When the claim is given up.
    pub give_up: Moment,
}

/// How a claim was answered.
enum Answered {
    Held(Box<Claim<Held>>),
    Taken(ClaimRow),
    Unavailable,
    Full,
}

/// What a request may do after it asked for its claim.
#[derive(Debug)]
pub enum Claimed {
    /// It may be sent, once.
    Held(Box<Claim<Held>>),
    /// Another request with the same key came first: its answer.
    Replay(Response),
    /// It is not sent.
    Refused(Problem),
}

enum Asked {
    Taken(ClaimRow),
    Ended(Claimed),
}

/// A handle of the task.
#[derive(Clone)]
pub struct Claims {
    tx: mpsc::UnboundedSender<Command>,
    questions: mpsc::UnboundedSender<Question>,
    answers: answer::Answers,
}

/// All that was handed in before has reached the table.
struct Settled;

impl Claims {
    /// Claims an idempotency key before its request may be sent.
    pub async fn claim(&self, wanted: Wanted, now: WallTime) -> Claimed {
        let request = wanted.request;
        match self.ask(wanted).await {
            Asked::Taken(row) => self.taken(&row, request, now).await,
            Asked::Ended(claimed) => claimed,
        }
    }

    async fn ask(&self, wanted: Wanted) -> Asked {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Claim { wanted, tx });
        match rx.await {
            Ok(Answered::Held(claim)) => Asked::Ended(Claimed::Held(claim)),
            Ok(Answered::Taken(row)) => Asked::Taken(row),
            Ok(Answered::Full) => Asked::Ended(Claimed::Refused(overloaded())),
            Ok(Answered::Unavailable) | Err(_) => Asked::Ended(Claimed::Refused(unavailable())),
        }
    }

    /// Waits for the end of a claim of this process; `None` when too many wait.
    async fn ended(&self, key: ClaimKey, id: ClaimId) -> Option<Seen> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Watch(Watcher { key, id, tx }));
        rx.await.ok()
    }

    /// Reads a claim's row, together with others.
    async fn read(&self, key: ClaimKey) -> Seen {
        let (tx, rx) = oneshot::channel();
        let _ = self.questions.send(Question { key, tx });
        rx.await.unwrap_or(Seen::Running)
    }

    /// The request was not sent and never will be: a repeat may run.
    pub fn release(&self, claim: Claim<Held>) {
        let (key, work) = claim.release();
        let _ = self.tx.send(Command::End { key, work });
    }

    /// The request was sent and this is the whole answer, to be kept for repeats.
    pub fn answered(&self, claim: Claim<Sent>, response: &Response) {
        let response = Box::new(response.clone());
        let _ = self.tx.send(Command::Keep { claim: Box::new(claim), response });
    }

    /// The request was sent and its answer was lost.
    pub fn lost(&self, claim: Claim<Sent>, detail: &str) -> Problem {
        let (key, work, problem) = claim.lost(detail);
        let _ = self.tx.send(Command::End { key, work });
        problem
    }

    /// Waits until every claim, end and release handed in before has reached the table.
    pub async fn settle(&self) {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Settle { tx });
        let _ = rx.await;
    }

    async fn taken(&self, row: &ClaimRow, request: RequestDigest, now: WallTime) -> Claimed {
        match row.verdict(request, now) {
            Verdict::Refuse(problem) => Claimed::Refused(problem),
            Verdict::Replay(answer) => match self.answers.replay(answer).await {
                Some(response) => Claimed::Replay(response),
                None => Claimed::Refused(answer_unreadable()),
            },
        }
    }
}

fn unavailable() -> Problem {
    let detail = "The table service did not confirm the claim in time; this request was not sent, \
                  and whether an earlier one with the same idempotency key ran cannot be read.";
    Problem::unknown(ProblemKind::StoreUnavailable, detail).retry_after(RETRY_AFTER)
}

fn overloaded() -> Problem {
    let detail = "Too many claims wait for the table service; this request was not sent, and \
                  whether an earlier one with the same idempotency key ran was not read.";
    Problem::unknown(ProblemKind::Overloaded, detail).retry_after(RETRY_AFTER)
}

fn answer_unreadable() -> Problem {
    let detail = "The first request with this idempotency key ran; its answer cannot be read now.";
    Problem::unknown(ProblemKind::StoreUnavailable, detail).retry_after(RETRY_AFTER)
}
