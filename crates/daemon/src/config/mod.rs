//! The configuration: read from the table and applied strictly in order.

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_model::{Configuration, LogEntry, Version};
use fuchsiamill_peer::Router;
use fuchsiamill_platform::{Range, Result, Table};
use monoio::time::sleep;
use tokio::sync::watch;

use crate::cx::Cx;

const SNAPSHOT_KEY: &str = "config/snapshot";
const LOG_PREFIX: &str = "config/log/";
const MOST_ENTRIES: usize = 1000;

/// A handle to the configuration task.
pub struct ConfigHandle {
    tx: watch::Sender<Rc<Configuration>>,
    log: RefCell<Vec<LogEntry>>,
}

impl ConfigHandle {
    /// A handle whose task is not started yet.
    pub fn new(_router: &mut Router) -> Self {
        Self { tx: watch::channel(Rc::default()).0, log: RefCell::default() }
    }

    /// The configuration that is applied.
    pub fn current(&self) -> Rc<Configuration> {
        self.tx.borrow().clone()
    }

    /// Follows the configuration.
    pub fn subscribe(&self) -> watch::Receiver<Rc<Configuration>> {
        self.tx.subscribe()
    }

    /// Starts the task.
    pub fn start(&self, cx: &Rc<Cx>) {
        let cx = cx.clone();
        monoio::spawn(async move {
            let period = Duration::from_millis(cx.settings.timing.store_read_ms);
            loop {
                let began = cx.clock.now();
                if cx.config.read_table(&cx).await.is_ok() {
                    cx.cluster.table_read(began, cx.config.version());
                }
                sleep(period).await;
            }
        });
    }

    /// The version that is applied.
    pub fn version(&self) -> Version {
        self.tx.borrow().version
    }

    async fn read_table(&self, cx: &Cx) -> Result<()> {
        if self.version() == Version::default() {
            self.read_snapshot(cx).await?;
        }
        let start = format!("{LOG_PREFIX}{:020}", self.version().next().0);
        let end = format!("{LOG_PREFIX}:");
        let rows = cx.table.range(&Range { start, end, limit: MOST_ENTRIES }).await?;
        for row in rows {
            if let Ok(entry) = serde_json::from_value::<LogEntry>(row.value) {
                self.apply(cx, entry);
            }
        }
        Ok(())
    }

    async fn read_snapshot(&self, cx: &Cx) -> Result<()> {
        let rows = cx.table.get(&[SNAPSHOT_KEY.to_owned()]).await?;
        let snapshot = rows
            .into_iter()
            .flatten()
            .next()
            .and_then(|row| serde_json::from_value(row.value).ok());
        if let Some(snapshot) = snapshot {
            self.tx.send_replace(Rc::new(snapshot));
        }
        Ok(())
    }

    fn apply(&self, cx: &Cx, entry: LogEntry) {
        let mut next = (*self.current()).clone();
        if next.apply(&entry).is_ok() {
            cx.metrics.config_version.record(next.version.0, &[]);
            self.log.borrow_mut().push(entry);
            self.tx.send_replace(Rc::new(next));
        }
    }
}
