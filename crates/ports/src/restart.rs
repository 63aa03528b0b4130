//! The platform's restarts of hosts. Asking again with the same id is safe: it restarts once.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::HostName;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

const SERVICE: &str = "host restart service";

/// An order to restart a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RestartOrder {
    /// The host.
    pub host: HostName,
    /// The id of this restart; one id restarts the host once.
    pub id: String,
}

/// How far a restart is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartState {
    /// It goes on.
    Running,
    /// The host is back.
    Done,
}

/// A client of the restarts over HTTP.
pub struct RestartClient {
    client: JsonClient,
}

impl RestartClient {
    /// A client of the service at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, time: Duration) -> Self {
        Self { client: JsonClient::new(addr, Bounds::default(), time) }
    }

    /// Orders a restart, or asks how far it is when its id was ordered before.
    pub async fn restart(&self, order: &RestartOrder) -> Result<RestartState> {
        self.client.post("/hosts/restart", order).await.map_err(|e| Error::from_call(SERVICE, e))
    }
}
