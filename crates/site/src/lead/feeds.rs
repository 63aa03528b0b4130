//! Follows the tables of jobs and workers for the coordinator.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_platform::{FeedAnswer, Row, Store};
use futures_util::{StreamExt, stream};
use monoio::time::sleep;

use super::event::{Event, Teller};

/// How long one call to a feed waits.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Parts that are read at once: all of a table within a few answers of the store, on some connections.
const READS_AT_ONCE: usize = 8;

/// What a feed tells.
#[derive(Debug)]
pub enum FeedEvent {
    /// Changed rows, in order.
    Rows(Vec<Row>),
    /// All rows of the table, since changes were missed.
    Whole(Vec<Row>),
}

/// A feed of one table.
pub struct Feed {
    /// The store.
    pub store: Rc<Store>,
    /// The table.
    pub table: &'static str,
    /// Its parts.
    pub parts: Vec<String>,
    /// What its events are to the coordinator.
    pub wrap: fn(FeedEvent) -> Event,
    /// Where events go.
    pub teller: Teller,
    /// Whether this process still coordinates.
    pub is_leading: Rc<Cell<bool>>,
}

impl Feed {
    /// Follows the table after a version until this process no longer coordinates.
    pub async fn run(self, after: u64) {
        let mut after = Some(after);
        while self.is_leading.get() {
            after = match after {
                Some(version) => self.follow(version).await,
                None => self.read_whole().await,
            };
        }
    }

    async fn follow(&self, version: u64) -> Option<u64> {
        match self.store.feed(self.table, version, FEED_WAIT).await {
            Ok(FeedAnswer::Rows(page)) => {
                if !page.rows.is_empty() {
                    self.teller.tell((self.wrap)(FeedEvent::Rows(page.rows)));
                }
                Some(page.version.max(version))
            }
            Ok(FeedAnswer::HistoryLost) => {
                tracing::info!(event = "history-lost", table = self.table, version);
                None
            }
            Err(e) => {
                tracing::debug!(event = "feed-failed", table = self.table, error = %e);
                sleep(RETRY_PAUSE).await;
                Some(version)
            }
        }
    }

    async fn read_whole(&self) -> Option<u64> {
        match read_table(&self.store, self.table, &self.parts).await {
            Ok(read) => {
                self.teller.tell((self.wrap)(FeedEvent::Whole(read.rows)));
                Some(read.version)
            }
            Err(e) => {
                tracing::debug!(event = "read-failed", table = self.table, error = %e);
                sleep(RETRY_PAUSE).await;
                None
            }
        }
    }
}

/// A table as read.
pub struct TableRead {
    /// Its rows.
    pub rows: Vec<Row>,
    /// The feed misses nothing after it.
    pub version: u64,
    /// Rows that are there and cannot be read.
    pub unreadable: usize,
}

/// Reads all rows of a table.
pub async fn read_table(
    store: &Store,
    table: &str,
    parts: &[String],
) -> fuchsiamill_platform::Result<TableRead> {
    let mut pages = stream::iter(parts)
        .map(|part| store.read_part(table, part))
        .buffer_unordered(READS_AT_ONCE);
    let mut rows = Vec::new();
    let mut version = None;
    let mut unreadable = 0;
    while let Some(page) = pages.next().await {
        let page = page?;
        unreadable += page.unreadable;
        version = Some(version.map_or(page.version, |it: u64| it.min(page.version)));
        rows.extend(page.rows);
    }
    Ok(TableRead { rows, version: version.unwrap_or(0), unreadable })
}
