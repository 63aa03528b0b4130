//! The audit trail: append-only rows in the platform's table.
//!
//! The record of a change is written in the same commit as the change. Records of refused and
//! cancelled intents are written on their own and tried again until the table takes them.

mod rows;

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_api::{AuditFilter, AuditRecord};
use fuchsiamill_ports::{Commit, Range, Result, Table};
use monoio::time::sleep;
use tokio::sync::mpsc;

pub use rows::{key_of, record_of};

use rows::{AUDIT_PREFIX, start_of};

use crate::cx::Cx;

const LONGEST_QUEUE: usize = 10_000;
const PAGE_ROWS: usize = 500;
const RETRY_TIME: Duration = Duration::from_millis(500);

/// A handle to the task that writes records of what changed nothing.
pub struct AuditHandle {
    tx: mpsc::Sender<AuditRecord>,
    rx: RefCell<Option<mpsc::Receiver<AuditRecord>>>,
}

impl Default for AuditHandle {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(LONGEST_QUEUE);
        Self { tx, rx: RefCell::new(Some(rx)) }
    }
}

impl AuditHandle {
    /// Starts the task.
    pub fn start(&self, cx: &Rc<Cx>) {
        if let Some(rx) = self.rx.take() {
            monoio::spawn(write_records(cx.clone(), rx));
        }
    }

    /// Queues a record of an intent that changed nothing.
    pub fn record(&self, cx: &Cx, record: AuditRecord) {
        if self.tx.try_send(record).is_err() {
            cx.metrics.event("audit_records_dropped");
        }
    }

    /// Reads the records that a filter takes, the earliest first.
    pub async fn list(&self, cx: &Cx, filter: &AuditFilter) -> Result<Vec<AuditRecord>> {
        let mut start = start_of(filter.since);
        let end = filter.until.map_or_else(|| format!("{AUDIT_PREFIX}:"), start_of);
        let mut records = Vec::new();
        loop {
            let range = Range { start, end: end.clone(), limit: PAGE_ROWS };
            let rows = cx.table.range(&range).await?;
            let last = rows.last().map(|row| row.key.clone());
            let is_full = rows.len() == PAGE_ROWS;
            let read = rows.into_iter().filter_map(|row| serde_json::from_value(row.value).ok());
            records.extend(read.filter(|record| filter.takes(record)));
            if let Some(limit) = filter.limit {
                records.drain(..records.len().saturating_sub(limit));
            }
            match last {
                Some(last) if is_full => start = format!("{last}\0"),
                _ => return Ok(records),
            }
        }
    }
}

async fn write_records(cx: Rc<Cx>, mut rx: mpsc::Receiver<AuditRecord>) {
    while let Some(record) = rx.recv().await {
        let commit = Commit::default().absent(key_of(&record)).put(key_of(&record), &record);
        while cx.table.commit(&commit).await.is_err() {
            cx.metrics.event("audit_write_retries");
            sleep(RETRY_TIME).await;
        }
    }
}
