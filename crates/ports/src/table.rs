//! The transactional table service: conditional writes of several rows, and reads.

use std::{future::Future, net::SocketAddr, time::Duration};

use fuchsiamill_http::{Bounds, JsonClient};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, Result};

const SERVICE: &str = "table service";
const LARGEST_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The version of a row: the number of the commit that wrote it last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: RowVersion,
    /// Its value.
    pub value: Value,
}

/// What must hold of a row for a commit to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "must", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Condition {
    /// There is no row with this key.
    Absent {
        /// The key.
        key: String,
    },
    /// The row has this version.
    At {
        /// The key.
        key: String,
        /// The version.
        version: RowVersion,
    },
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// Its key.
    pub key: String,
    /// Its new value.
    pub value: Value,
}

/// Writes that take effect all together, if every condition holds, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Commit {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

impl Commit {
    /// Demands that there is no row with `key`.
    pub fn absent(mut self, key: impl Into<String>) -> Self {
        self.conditions.push(Condition::Absent { key: key.into() });
        self
    }

    /// Demands that the row `key` has `version`, or is absent when that is `None`.
    pub fn at(mut self, key: impl Into<String>, version: Option<RowVersion>) -> Self {
        let key = key.into();
        self.conditions.push(match version {
            Some(version) => Condition::At { key, version },
            None => Condition::Absent { key },
        });
        self
    }

    /// Writes a row.
    pub fn put<T: Serialize>(mut self, key: impl Into<String>, value: &T) -> Self {
        let value = serde_json::to_value(value).expect("domain types serialise to JSON");
        self.puts.push(Put { key: key.into(), value });
        self
    }

    /// Deletes a row.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case", deny_unknown_fields)]
pub enum CommitOutcome {
    /// It took effect.
    Done {
        /// The version of every row that it wrote.
        version: RowVersion,
    },
    /// A condition did not hold; nothing took effect.
    Conflict {
        /// The key of the first such condition.
        key: String,
        /// The row's version, if there is a row.
        found: Option<RowVersion>,
    },
}

/// A range of keys to read, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The first key.
    pub start: String,
    /// The first key after the range.
    pub end: String,
    /// The most rows to return.
    pub limit: usize,
}

impl Range {
    /// All keys that begin with `prefix`.
    pub fn prefix(prefix: &str, limit: usize) -> Self {
        Self { start: prefix.into(), end: format!("{prefix}\u{10ffff}"), limit }
    }
}

/// The table service as the product uses it.
pub trait Table {
    /// Commits writes. On [`Error::AnswerLost`] they may have taken effect.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<CommitOutcome>>;

    /// Reads rows by key, all at one moment; `None` where there is no row.
    fn get(&self, keys: &[String]) -> impl Future<Output = Result<Vec<Option<Row>>>>;

    /// Reads a range of rows.
    fn range(&self, range: &Range) -> impl Future<Output = Result<Vec<Row>>>;
}

/// A client of the table service over HTTP.
pub struct TableClient {
    client: JsonClient,
}

impl TableClient {
    /// A client of the service at `addr` whose calls take at most `time`.
    pub fn new(addr: SocketAddr, time: Duration) -> Self {
        let bounds = Bounds { body_bytes: LARGEST_ANSWER_BYTES, ..Bounds::default() };
        Self { client: JsonClient::new(addr, bounds, time) }
    }
}

impl Table for TableClient {
    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome> {
        self.client.post("/table/commit", commit).await.map_err(|e| Error::from_call(SERVICE, e))
    }

    async fn get(&self, keys: &[String]) -> Result<Vec<Option<Row>>> {
        self.client.post("/table/get", &keys).await.map_err(|e| Error::from_call(SERVICE, e))
    }

    async fn range(&self, range: &Range) -> Result<Vec<Row>> {
        self.client.post("/table/range", range).await.map_err(|e| Error::from_call(SERVICE, e))
    }
}
