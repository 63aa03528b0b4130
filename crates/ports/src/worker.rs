//! The task agent of a worker: orders in, reports out.

use std::{future::Future, net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::task::{WorkerAnswer, WorkerLoad, WorkerSync};

use crate::error::{Error, Result};

const TASKS: &str = "/v1/tasks";
const SERVICE: &str = "worker agent";
const LARGEST_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A worker's agent as the product uses it.
pub trait Worker {
    /// Gives a batch of orders. On [`Error::AnswerLost`] they may have been carried out, now or later.
    fn sync(&self, sync: &WorkerSync) -> impl Future<Output = Result<WorkerAnswer>>;

    /// Asks how much it runs.
    fn load(&self) -> impl Future<Output = Result<WorkerLoad>>;
}

/// A client of one worker's agent over HTTP.
pub struct WorkerClient {
    client: JsonClient,
}

impl WorkerClient {
    /// A client of the agent at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, time: Duration) -> Self {
        let bounds = Bounds { body_bytes: LARGEST_ANSWER_BYTES, ..Bounds::default() };
        Self { client: JsonClient::new(addr, bounds, time) }
    }

    /// The agent's address.
    pub fn addr(&self) -> SocketAddr {
        self.client.addr()
    }
}

impl Worker for WorkerClient {
    async fn sync(&self, sync: &WorkerSync) -> Result<WorkerAnswer> {
        self.client.post(TASKS, sync).await.map_err(|e| Error::from_call(SERVICE, e))
    }

    async fn load(&self) -> Result<WorkerLoad> {
        self.client.get(TASKS).await.map_err(|e| Error::from_call(SERVICE, e))
    }
}
