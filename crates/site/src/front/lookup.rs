//! Requests for a job's state, its cancellation and the counts of waiting jobs.

use std::{cell::RefCell, time::Duration};

use fuchsiamill_fleet::{
    Cancellation, JobOwner, JobRecord, JobScope, JobSpec, Name, Stage, admission::Capacities,
};
use fuchsiamill_http::Response;
use fuchsiamill_model::{FastMap, units::Moment};
use fuchsiamill_platform::{Key, Row, count_reply, state_reply};
use http::StatusCode;
use monoio::time::{sleep, timeout};
use serde::{Deserialize, Serialize};

use super::{Front, Inserted, Limits};
use crate::tables;

/// The pause between two attempts at a read.
const READ_PAUSE: Duration = Duration::from_millis(60);

/// The greatest age of a board whose counts are served: counts may be at most two seconds old.
const MAX_BOARD_AGE_MS: u64 = 1_900;

/// How long a board that was read is reused for other requests.
const BOARD_CACHE_MS: u64 = 300;

/// The row of queue counts that the coordinator writes for the other entry hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Board {
    /// When the board was written, on the store's clock.
    pub at_ms: u64,
    /// The number of jobs in each queue of which no task has started.
    pub waiting: FastMap<Name, u64>,
    /// The capacities of full pools; `None` while no pool is limited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admission: Option<Capacities>,
}

/// The last board that was read, the store's clock in its answer, and the moment at which the read was sent.
pub type BoardCache = RefCell<Option<(Board, u64, Moment)>>;

impl Front {
    /// Answers a request for a job's state. A job outside of the scopes does not exist for the caller.
    pub(super) async fn state(&self, id: &Name, scopes: &[JobScope], deadline: Moment) -> Response {
        let Some(progress) = self.read_row(&tables::progress_key(id), deadline).await else {
            return self.store_unavailable();
        };
        let record = match progress.map(|row| serde_json::from_slice::<JobRecord>(&row.value)) {
            None => None,
            Some(Ok(record)) => Some(record),
            Some(Err(e)) => {
                tracing::error!(event = "progress-unreadable", job = %id, error = %e);
                return Response::empty(StatusCode::INTERNAL_SERVER_ERROR);
            }
        };
        let is_own = |it: &JobRecord| {
            !it.team.is_empty() && scopes.contains(&JobScope::Team(it.team.clone()))
        };
        // The record names the team only; the queue is in the row of the job.
        if let Some(own) = record.as_ref().filter(|it| is_own(it)) {
            return state_reply(own.stage);
        }
        match self.read_row(&tables::job_key(id), deadline).await {
            None => self.store_unavailable(),
            Some(Some(row)) if scope_of(&row, scopes).is_some() => {
                let team = owner_of(&row).unwrap_or_default().team;
                let own = record.filter(|it| it.may_be_of(&team));
                state_reply(own.map_or(Stage::Queued, |it| it.stage))
            }
            Some(_) => Response::empty(StatusCode::GONE),
        }
    }

    /// Stores a request to cancel a job, whether or not the job is there: its post may still be under way, and 410
    /// acknowledges the cancellation like 200. A job outside of the scopes does not exist for the caller, and the stored
    /// request does not apply to it.
    pub(super) async fn cancel(&self, id: &Name, scopes: &[JobScope], limits: Limits) -> Response {
        // Half of the time is left for the request itself.
        let now = self.clock.now();
        let read_until = now + limits.hold.since(now) / 2;
        let Some(job) = self.read_row(&tables::job_key(id), read_until).await else {
            return self.store_unavailable();
        };
        let scope = match &job {
            Some(row) => scope_of(row, scopes),
            None => scopes.first(),
        };
        let Some(scope) = scope else {
            let owner = job.as_ref().and_then(owner_of);
            tracing::info!(event = "cancel-of-another", job = %id, scopes = ?scopes, owner = ?owner);
            return Response::empty(StatusCode::GONE);
        };
        let request = Cancellation { job: id.clone(), scope: scope.clone() };
        let key = match &job {
            Some(_) => tables::cancel_key_of_job(id),
            None => tables::cancel_key(&request),
        };
        let outcome = self.insert(key, tables::cancel_value(scope), limits).await;
        let outcome_label = super::outcome_label(&outcome);
        tracing::info!(event = "cancel-asked", job = %id, scope = ?scope, outcome = outcome_label);
        match outcome {
            Inserted::Stored | Inserted::Exists(_) => {
                let is_there = job.is_some();
                self.cancellations.borrow_mut().note(request, self.clock.now());
                self.cancel_reply(id, scope, is_there, limits).await
            }
            Inserted::Refused => self.store_unavailable(),
            Inserted::Unknown => Response::empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Answers a stored cancellation. It holds even if the store does not tell in time whether the job is there.
    async fn cancel_reply(
        &self,
        id: &Name,
        scope: &JobScope,
        was_there: bool,
        limits: Limits,
    ) -> Response {
        if was_there {
            return Response::empty(StatusCode::OK);
        }
        let left = Duration::from_millis(limits.deadline.since(self.clock.now()));
        let key = tables::job_key(id);
        let job = timeout(left, self.read_row(&key, limits.hold)).await.ok().flatten();
        let is_own = |row: &Row| scope_of(row, std::slice::from_ref(scope)).is_some();
        match job {
            Some(row) if !row.as_ref().is_some_and(is_own) => Response::empty(StatusCode::GONE),
            Some(_) | None => Response::empty(StatusCode::OK),
        }
    }

    /// Answers a request for the number of waiting jobs in a queue.
    pub(super) async fn count(&self, queue: &Name, deadline: Moment) -> Response {
        loop {
            if let Some(waiting) = self.fresh_count(queue) {
                return count_reply(waiting);
            }
            match self.read_board(deadline).await {
                true if self.fresh_count(queue).is_some() => {}
                _ if self.clock.now() + READ_PAUSE.as_millis() as u64 >= deadline => {
                    return self.store_unavailable();
                }
                _ => sleep(READ_PAUSE).await,
            }
        }
    }

    fn fresh_count(&self, queue: &Name) -> Option<u64> {
        let cache = self.board.borrow();
        let (board, store_ms, read) = cache.as_ref()?;
        let since_read = self.clock.now().since(*read);
        let age = store_ms.saturating_sub(board.at_ms) + since_read;
        let is_fresh = since_read <= BOARD_CACHE_MS && age <= MAX_BOARD_AGE_MS;
        is_fresh.then(|| board.waiting.get(queue).copied().unwrap_or(0))
    }

    async fn read_board(&self, deadline: Moment) -> bool {
        let asked = self.clock.now();
        let wait = Duration::from_millis(deadline.since(asked));
        match self.store.read_row_for_caller(&tables::board_key(), wait).await {
            Ok((Some(row), now_ms)) => match serde_json::from_slice(&row.value) {
                Ok(board) => {
                    *self.board.borrow_mut() = Some((board, now_ms, asked));
                    true
                }
                Err(e) => {
                    tracing::error!(event = "board-unreadable", error = %e);
                    false
                }
            },
            Ok((None, _)) => false,
            Err(e) => {
                tracing::debug!(event = "read-failed", what = "board", error = %e);
                false
            }
        }
    }

    /// Reads a row, retrying until the deadline. The outer `None` means that the store did not answer, the inner one
    /// that there is no such row.
    async fn read_row(&self, key: &Key, deadline: Moment) -> Option<Option<Row>> {
        loop {
            if self.store.is_silent() {
                return None;
            }
            let wait = Duration::from_millis(deadline.since(self.clock.now()));
            match self.store.read_row_for_caller(key, wait).await {
                Ok((row, _)) => return Some(row),
                Err(e) => tracing::debug!(event = "read-failed", key = %key.key, error = %e),
            }
            if self.clock.now() + READ_PAUSE.as_millis() as u64 >= deadline {
                return None;
            }
            sleep(READ_PAUSE).await;
        }
    }

    fn store_unavailable(&self) -> Response {
        self.retry_later("the store does not answer")
    }
}

/// Returns the first scope that the job in a row is in.
fn scope_of<'a>(row: &Row, scopes: &'a [JobScope]) -> Option<&'a JobScope> {
    let owner = owner_of(row)?;
    scopes.iter().find(|it| it.includes(&owner))
}

/// Returns whose job is in a row; `None` if the row cannot be decoded.
fn owner_of(row: &Row) -> Option<JobOwner> {
    let spec = serde_json::from_slice::<JobSpec>(&row.value)
        .inspect_err(|e| tracing::error!(event = "job-unreadable", job = %row.key.key, error = %e));
    spec.ok().map(|it| JobOwner::from(&it))
}
