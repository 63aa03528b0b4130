//! Reading the log from the table, in turn with the other hosts, and from peers when behind.
//!
//! Each host waits longer than the read time by a random part, and starts anew when another host
//! tells that it has read; so about one host reads at a time, however many there are.

use std::time::Duration;

use fuchsiamill_model::{EntryName, Moment};
use fuchsiamill_policy::config_log::ApplyOutcome;
use fuchsiamill_ports::Result;

use super::{
    spread,
    store::{self, LogRead, Rest},
    task::{Message, Task},
    wire::{AskSince, News, SINCE, Seen},
};
use crate::{cluster::Standing, cx::Cx};

const FETCH_TIME: Duration = Duration::from_secs(5);
const FETCH_PAUSE_MS: u64 = 100;

/// When to read, and whom to ask.
#[derive(Debug, Default)]
pub struct Reads {
    due: Moment,
    own: Moment,
    reading: bool,
    fetching: bool,
    fetch_due: Moment,
    source: Option<EntryName>,
}

impl Reads {
    /// Starts the wait anew, as somebody has just read.
    pub fn postpone(&mut self, cx: &Cx) {
        let wait = cx.settings.timing.store_read_ms;
        self.due = cx.clock.now() + wait + fastrand::u64(0..=wait / 2);
    }

    /// Takes note of a peer that knows more than this host.
    pub fn ask(&mut self, peer: EntryName) {
        self.source = Some(peer);
    }
}

impl Task {
    /// Reads the table when it is this host's turn, or when it lacks evidence of its own.
    pub(super) fn read_if_due(&mut self, now: Moment) {
        let is_stale = self.cx.cluster.standing() != Standing::Serving;
        let own_due = self.reads.own + self.cx.settings.timing.store_read_ms / 2;
        let is_due = now >= self.reads.due || (is_stale && now >= own_due);
        if !is_due || self.reads.reading {
            return;
        }
        self.reads.reading = true;
        self.reads.own = now;
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let applied = self.replica.version();
        monoio::spawn(async move {
            let read = store::read_log(&*cx.table, applied).await;
            let _ = tx.send(Message::Read(now, read));
        });
    }

    pub(super) fn read_ended(&mut self, began: Moment, read: Result<LogRead>) {
        self.reads.reading = false;
        self.reads.postpone(&self.cx);
        let Ok(read) = read else {
            self.cx.metrics.event("config_reads_failed");
            return;
        };
        self.cx.metrics.event("config_reads");
        let rest = read.rest;
        let is_empty = read.snapshot.is_none() && read.entries.is_empty();
        if is_empty && self.replica.version().0 == 0 {
            return self.write_first();
        }
        let offer = self.take(read);
        if rest == Rest::More {
            self.reads.due = began;
            return;
        }
        if matches!(offer, ApplyOutcome::Nothing | ApplyOutcome::Applied(_)) {
            let version = self.replica.version();
            self.cx.cluster.table_read(began, version);
            let from = self.cx.settings.entry.name.clone();
            spread::notify(&self.cx, &Seen::Table { from, version });
        }
    }

    /// Writes the record of entry hosts from the settings into an empty table.
    fn write_first(&mut self) {
        let first = spread::first_configuration(&self.cx);
        let cx = self.cx.clone();
        monoio::spawn(async move {
            if store::write_genesis(&*cx.table, &first).await.is_ok() {
                log::info!("the table was empty; the settings' entry hosts are on record now");
            }
        });
        self.reads.due = self.cx.clock.now();
    }

    /// Asks a peer when this host has nothing, or heard of more than it has.
    pub(super) fn fetch_if_behind(&mut self, now: Moment) {
        let is_behind = self.replica.version().0 == 0 || !self.replica.is_current();
        if !is_behind || self.reads.fetching || now < self.reads.fetch_due {
            return;
        }
        let Some(peer) = self.next_source() else { return };
        self.reads.fetching = true;
        self.reads.fetch_due = now + FETCH_PAUSE_MS;
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let asked =
            AskSince { from: self.cx.settings.entry.name.clone(), version: self.replica.version() };
        monoio::spawn(async move {
            let news = cx.cluster.call_within::<News>(&peer, SINCE, &asked, FETCH_TIME).await;
            let _ = tx.send(Message::News(news.ok()));
        });
    }

    fn next_source(&mut self) -> Option<EntryName> {
        self.reads.source.take().or_else(|| fastrand::choice(spread::peers(&self.cx)))
    }

    pub(super) fn news(&mut self, news: Option<News>) {
        self.reads.fetching = false;
        let Some(news) = news else { return };
        let mut read = LogRead::entries(news.entries, news.row);
        if let Some(snapshot) = news.snapshot {
            read.newest = snapshot.version;
            read.snapshot = Some(snapshot);
        }
        self.take(read);
        self.acceptance.accept(news.accepted);
        self.publish_accepted();
    }
}
