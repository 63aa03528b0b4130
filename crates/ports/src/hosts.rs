//! The platform's list of live and leaving hosts. It lags behind the truth.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::HostName;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

const SERVICE: &str = "host list";

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It runs.
    Live,
    /// It was asked to stop and finishes what it runs.
    Leaving,
    /// It is gone.
    Gone,
}

/// One line of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostReport {
    /// The host.
    pub host: HostName,
    /// What the platform says of it.
    pub liveness: Liveness,
}

/// A client of the host list over HTTP.
pub struct HostListClient {
    client: JsonClient,
}

impl HostListClient {
    /// A client of the list at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, time: Duration) -> Self {
        Self { client: JsonClient::new(addr, Bounds::default(), time) }
    }

    /// Reads the list. Hosts that it does not name are gone.
    pub async fn list(&self) -> Result<Vec<HostReport>> {
        self.client.get("/hosts").await.map_err(|e| Error::from_call(SERVICE, e))
    }
}
