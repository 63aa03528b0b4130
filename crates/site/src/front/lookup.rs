//! Reads of a job's state and of the counts that the coordinator keeps.

use std::{cell::RefCell, time::Duration};

use fuchsiamill_fleet::{JobRecord, Name, Stage};
use fuchsiamill_http::Response;
use fuchsiamill_model::{FastMap, units::Moment};
use fuchsiamill_platform::{Key, Row, count_reply, state_reply};
use http::StatusCode;
use monoio::time::sleep;
use serde::{Deserialize, Serialize};

use super::{Front, Inserted, Limits};
use crate::tables;

/// The pause between two tries of a read.
const READ_PAUSE: Duration = Duration::from_millis(60);

/// A board older than this is not told: the counts may be two seconds old.
const BOARD_AGE_MS: u64 = 1_900;

/// How long a board that was read is used for other requests.
const BOARD_CACHE_MS: u64 = 300;

/// What the coordinator tells the other entry hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Board {
    /// When it was written, on the store's clock.
    pub at_ms: u64,
    /// Jobs of each queue of which nothing has started.
    pub waiting: FastMap<Name, u64>,
}

/// The last board that was read, the store's clock then, and when that was.
pub type BoardCache = RefCell<Option<(Board, u64, Moment)>>;

impl Front {
    /// Tells where a job stands.
    pub(super) async fn state(&self, id: &Name, deadline: Moment) -> Response {
        let Some(progress) = self.read_row(&tables::progress_key(id), deadline).await else {
            return self.unreadable();
        };
        if let Some(row) = progress {
            return match serde_json::from_slice::<JobRecord>(&row.value) {
                Ok(record) => state_reply(record.stage),
                Err(e) => {
                    tracing::error!(event = "progress-unreadable", job = %id, error = %e);
                    Response::empty(StatusCode::INTERNAL_SERVER_ERROR)
                }
            };
        }
        match self.read_row(&tables::job_key(id), deadline).await {
            None => self.unreadable(),
            Some(Some(_)) => state_reply(Stage::Queued),
            Some(None) => Response::empty(StatusCode::GONE),
        }
    }

    /// Records the wish to cancel a job.
    pub(super) async fn cancel(&self, id: &Name, limits: Limits) -> Response {
        match self.read_row(&tables::job_key(id), limits.hold).await {
            None => return self.unreadable(),
            Some(None) => return Response::empty(StatusCode::GONE),
            Some(Some(_)) => {}
        }
        let outcome = self.insert(tables::cancel_key(id), b"{}".to_vec(), limits).await;
        tracing::info!(event = "cancel-asked", job = %id, outcome = super::outcome_word(&outcome));
        match outcome {
            Inserted::Stored | Inserted::Exists(_) => Response::empty(StatusCode::OK),
            Inserted::Refused => self.unreadable(),
            Inserted::Unknown => Response::empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Tells how many jobs of a queue wait.
    pub(super) async fn count(&self, queue: &Name, deadline: Moment) -> Response {
        loop {
            if let Some(waiting) = self.fresh_count(queue) {
                return count_reply(waiting);
            }
            match self.read_board().await {
                true if self.fresh_count(queue).is_some() => {}
                _ if self.clock.now() + READ_PAUSE.as_millis() as u64 >= deadline => {
                    return self.unreadable();
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
        let is_fresh = since_read <= BOARD_CACHE_MS && age <= BOARD_AGE_MS;
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

    /// A row, tried until the deadline; `None` when the store gave no answer.
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

    fn unreadable(&self) -> Response {
        self.come_back("the store does not answer")
    }
}
