//! Follows changes of the tables of jobs and workers on behalf of the coordinator.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::timing::without_drift;
use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::{FeedAnswer, Row, Store};
use futures_util::{StreamExt, stream};
use monoio::time::sleep;

use super::event::{Event, EventSender};
use crate::clock::Clock;

/// How long one call to a feed waits for new rows. The answer to a call may tell only that the rows are known as of the
/// call, so they may be known as of twice this time ago.
const FEED_WAIT: Duration = Duration::from_millis(500);

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The store returns at most this many rows in one answer, so that more may follow.
const MAX_PAGE_ROWS: usize = 500;

/// The number of partitions that are read at once: the whole table takes a few response times of the store, and uses
/// few connections.
const CONCURRENT_READS: usize = 8;

/// News about a table.
#[derive(Debug)]
pub enum FeedEvent {
    /// Changed rows, in order.
    Rows(Vec<Row>),
    /// All rows of the table, read anew after changes were missed.
    Whole(Vec<Row>),
    /// All changes up to this moment, and maybe later ones, were sent.
    Known(Moment),
}

/// Follows one table.
pub struct Feed {
    pub store: Rc<Store>,
    pub table: &'static str,
    /// The table's partitions.
    pub parts: Vec<String>,
    /// Turns news of this table into an event of the leader's loop.
    pub wrap: fn(FeedEvent) -> Event,
    pub clock: Clock,
    pub event_sender: EventSender,
    /// Whether this process still coordinates; the feed ends once it does not.
    pub is_leading: Rc<Cell<bool>>,
}

/// How far a feed has got.
struct Position {
    /// The version from which it goes on; `None` if the table has to be read anew.
    after: Option<u64>,
    /// Whether the last answer had all changes up to its call.
    is_current: bool,
}

impl Feed {
    /// Follows the table from the version `after` on, until this process no longer coordinates.
    pub async fn run(self, after: u64) {
        let mut position = Position { after: Some(after), is_current: false };
        while self.is_leading.get() {
            position = match position.after {
                Some(version) => self.follow(version, position.is_current).await,
                None => self.read_whole().await,
            };
        }
    }

    async fn follow(&self, version: u64, is_current: bool) -> Position {
        let asked = self.clock.now();
        // A feed that may be behind is not to wait for further changes before it is known to be current.
        let wait = if is_current { FEED_WAIT } else { Duration::ZERO };
        match self.store.feed(self.table, version, wait).await {
            Ok(FeedAnswer::Rows(page)) => {
                let took = Duration::from_millis(self.clock.now().since(asked));
                // An answer without rows at the end of the wait tells that there were none until then.
                let count = page.rows.len() + page.unreadable;
                let waited = count == 0 && took >= wait;
                let known =
                    if waited { asked + without_drift(wait.as_millis() as u64) } else { asked };
                let is_whole = !page.has_more && count < MAX_PAGE_ROWS;
                if !page.rows.is_empty() {
                    self.event_sender.send((self.wrap)(FeedEvent::Rows(page.rows)));
                }
                if is_whole {
                    self.event_sender.send((self.wrap)(FeedEvent::Known(known)));
                }
                Position { after: Some(page.version.max(version)), is_current: is_whole }
            }
            Ok(FeedAnswer::HistoryLost) => {
                tracing::info!(event = "history-lost", table = self.table, version);
                Position { after: None, is_current: false }
            }
            Err(e) => {
                tracing::debug!(event = "feed-failed", table = self.table, error = %e);
                sleep(RETRY_PAUSE).await;
                Position { after: Some(version), is_current: false }
            }
        }
    }

    async fn read_whole(&self) -> Position {
        let asked = self.clock.now();
        match read_table(&self.store, self.table, &self.parts).await {
            Ok(read) => {
                self.event_sender.send((self.wrap)(FeedEvent::Whole(read.rows)));
                self.event_sender.send((self.wrap)(FeedEvent::Known(asked)));
                Position { after: Some(read.version), is_current: false }
            }
            Err(e) => {
                tracing::debug!(event = "read-failed", table = self.table, error = %e);
                sleep(RETRY_PAUSE).await;
                Position { after: None, is_current: false }
            }
        }
    }
}

/// The rows of a table as read.
pub struct TableRead {
    pub rows: Vec<Row>,
    /// The version from which a feed has to go on so as to miss nothing.
    pub version: u64,
    /// The number of rows that exist and cannot be decoded.
    pub unreadable: usize,
}

/// Reads all rows of a table, partition by partition.
pub async fn read_table(
    store: &Store,
    table: &str,
    parts: &[String],
) -> fuchsiamill_platform::Result<TableRead> {
    let mut pages = stream::iter(parts)
        .map(|part| store.read_part(table, part))
        .buffer_unordered(CONCURRENT_READS);
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
