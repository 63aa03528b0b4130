//! Requests for a job's state, its cancellation and the counts of waiting jobs.

use std::{cell::RefCell, time::Duration};

use fuchsiamill_fleet::{JobRecord, JobSpec, Name, Stage, admission::Capacities};
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
    /// Answers a request for a job's state by a team, or by anybody. A job of another team does not exist for it.
    pub(super) async fn state(&self, id: &Name, team: Option<&Name>, deadline: Moment) -> Response {
        let Some(progress) = self.read_row(&tables::progress_key(id), deadline).await else {
            return self.store_unavailable();
        };
        if let Some(row) = progress {
            return match serde_json::from_slice::<JobRecord>(&row.value) {
                Ok(record) if team.is_some_and(|it| !record.is_of(it)) => {
                    Response::empty(StatusCode::GONE)
                }
                Ok(record) => state_reply(record.stage),
                Err(e) => {
                    tracing::error!(event = "progress-unreadable", job = %id, error = %e);
                    Response::empty(StatusCode::INTERNAL_SERVER_ERROR)
                }
            };
        }
        match self.read_row(&tables::job_key(id), deadline).await {
            None => self.store_unavailable(),
            Some(Some(row)) if team.is_some_and(|it| is_of_another(&row, it)) => {
                Response::empty(StatusCode::GONE)
            }
            Some(Some(_)) => state_reply(Stage::Queued),
            Some(None) => Response::empty(StatusCode::GONE),
        }
    }

    /// Stores a request to cancel a job, whether or not the job is there: its post may still be under way, and 410
    /// acknowledges the cancellation like 200. The job of another team does not exist for a team.
    pub(super) async fn cancel(
        &self,
        id: &Name,
        queue: &Name,
        team: Option<&Name>,
        limits: Limits,
    ) -> Response {
        // Half of the time is left for the request itself.
        let now = self.clock.now();
        let read_until = now + limits.hold.since(now) / 2;
        let Some(job) = self.read_row(&tables::job_key(id), read_until).await else {
            return self.store_unavailable();
        };
        if let (Some(row), Some(team)) = (&job, team)
            && is_of_another(row, team)
        {
            return Response::empty(StatusCode::GONE);
        }
        let outcome = self.insert(tables::cancel_key(id), b"{}".to_vec(), limits).await;
        let posted_to =
            job.as_ref().and_then(|row| serde_json::from_slice::<JobSpec>(&row.value).ok());
        let (job_queue, job_team) = posted_to.map(|it| (it.queue, it.team)).unwrap_or_default();
        tracing::info!(
            event = "cancel-asked",
            job = %id,
            %queue,
            team = team.map_or("", Name::as_str),
            %job_queue,
            %job_team,
            outcome = super::outcome_label(&outcome),
        );
        match outcome {
            Inserted::Stored | Inserted::Exists(_) => {
                self.cancellations.borrow_mut().note(id.clone(), self.clock.now());
                self.cancel_reply(id, job.is_some(), limits).await
            }
            Inserted::Refused => self.store_unavailable(),
            Inserted::Unknown => Response::empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Answers a stored cancellation. It holds even if the store does not tell in time whether the job is there.
    async fn cancel_reply(&self, id: &Name, was_there: bool, limits: Limits) -> Response {
        if was_there {
            return Response::empty(StatusCode::OK);
        }
        let left = Duration::from_millis(limits.deadline.since(self.clock.now()));
        let key = tables::job_key(id);
        let job = timeout(left, self.read_row(&key, limits.hold)).await.ok().flatten();
        match job {
            Some(None) => Response::empty(StatusCode::GONE),
            Some(Some(_)) | None => Response::empty(StatusCode::OK),
        }
    }

    /// Answers a request for the number of waiting jobs in a queue.
    pub(super) async fn count(&self, queue: &Name, deadline: Moment) -> Response {
        loop {
            if let Some(waiting) = self.fresh_count(queue) {
                return count_reply(waiting);
            }
            match self.read_board().await {
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

    async fn read_board(&self) -> bool {
        let asked = self.clock.now();
        match self.store.read_row(&tables::board_key()).await {
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
            match self.store.read_row(key).await {
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

/// Returns whether the row of a job is that of another team.
fn is_of_another(row: &Row, team: &Name) -> bool {
    serde_json::from_slice::<JobSpec>(&row.value).is_ok_and(|it| !it.is_of(team))
}
