//! The object store: whole values by name, for what is too large for a row.

use std::{net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

const SERVICE: &str = "object store";

/// A client of the object store over HTTP.
pub struct ObjectClient {
    client: JsonClient,
}

impl ObjectClient {
    /// A client of the store at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, time: Duration) -> Self {
        Self { client: JsonClient::new(addr, Bounds::default(), time) }
    }

    /// Writes an object. Names are written once, so a repeat after a lost answer is harmless.
    pub async fn put<T: Serialize>(&self, name: &str, value: &T) -> Result<()> {
        let target = format!("/objects/{name}");
        self.client.post(&target, value).await.map_err(|e| Error::from_call(SERVICE, e))
    }

    /// Reads an object, or `None` when there is none.
    pub async fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>> {
        let target = format!("/objects/{name}");
        self.client.get(&target).await.map_err(|e| Error::from_call(SERVICE, e))
    }

    /// Removes an object; one that is not there counts as removed.
    pub async fn delete(&self, name: &str) -> Result<()> {
        let target = format!("/objects/{name}");
        self.client.delete(&target).await.map_err(|e| Error::from_call(SERVICE, e))
    }
}
