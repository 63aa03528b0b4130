//! Spreading entries to the other entry hosts and asking what they know.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_api::ConfigStatus;
use fuchsiamill_model::{Configuration, EntryName, LogEntry, Moment, Version};
use fuchsiamill_policy::config_log::{Since, VersionReport};
use fuchsiamill_ports::RowVersion;
use futures_util::{
    future::join_all,
    stream::{FuturesUnordered, StreamExt},
};
use tokio::sync::{mpsc, oneshot};

use super::{
    store::HeadRow,
    task::{Message, Task},
    wire::{AskVersion, ENTRIES, Entries, Known, News, SEEN, Seen, VERSION},
};
use crate::cx::Cx;

const ANSWER_TIME: Duration = Duration::from_secs(2);
const STATUS_TIME: Duration = Duration::from_millis(700);

/// The standing times after which a host asks about a change that another one has written.
const PATIENCE_OF_READERS: u64 = 2;

/// Tells every peer, without an answer.
pub fn notify(cx: &Cx, seen: &Seen) {
    for peer in peers(cx) {
        cx.cluster.notify(&peer, SEEN, seen);
    }
}

/// The other entry hosts on record.
pub fn peers(cx: &Cx) -> Vec<EntryName> {
    cx.cluster.record().into_iter().filter(|name| name != cx.cluster.me()).collect()
}

/// The configuration of a site whose table is empty: the settings' entry hosts are on record.
pub fn first_configuration(cx: &Cx) -> Configuration {
    let mut entry_hosts: BTreeMap<EntryName, SocketAddr> = cx.settings.peers.0.clone();
    let me = &cx.settings.entry;
    entry_hosts.entry(me.name.clone()).or_insert(me.peer);
    Configuration {
        version: Version(1),
        entry_version: Version(1),
        entry_hosts,
        ..Configuration::default()
    }
}

/// What a host that has applied `version` still needs.
pub fn news(task: &Task, version: Version) -> News {
    let (snapshot, entries) = match task.replica.since(version) {
        Since::Entries(entries) => (None, entries),
        Since::Snapshot(snapshot) => (Some(snapshot), Vec::new()),
    };
    News { snapshot, entries, row: row_of(task.head), accepted: task.acceptance.accepted() }
}

/// The row version, when it is known.
pub fn row_of(head: HeadRow) -> Option<RowVersion> {
    match head {
        HeadRow::At(row) => Some(row),
        HeadRow::Absent | HeadRow::Unknown => None,
    }
}

impl Task {
    /// Pushes an entry that was just written to every peer. Once a majority knows it, those that
    /// answered are asked again, so that a moment is known at which all of them knew it.
    pub(super) fn push(&mut self, entry: &Rc<LogEntry>) {
        let pushed = Rc::new(Entries {
            from: self.cx.settings.entry.name.clone(),
            entries: vec![entry.clone()],
            row: row_of(self.head),
        });
        let majority = self.cx.cluster.record().len() / 2 + 1;
        let (cx, tx, version) = (self.cx.clone(), self.tx.clone(), entry.version);
        monoio::spawn(async move {
            let mut answers: FuturesUnordered<_> =
                peers(&cx).into_iter().map(|peer| push_to(&cx, peer, &pushed, &tx)).collect();
            let mut knowing = Vec::new();
            let mut known = 1;
            while let Some(answer) = answers.next().await {
                let Some(peer) = answer else { continue };
                known += 1;
                knowing.push(peer);
                if known >= majority {
                    for peer in knowing.drain(..) {
                        let (cx, tx) = (cx.clone(), tx.clone());
                        monoio::spawn(async move { ask_version(&cx, &peer, version, &tx).await });
                    }
                }
            }
        });
    }

    /// Asks every peer for its version while a change waits to be accepted. The host that wrote
    /// it asks at each heartbeat, the others only when it takes long.
    pub(super) fn poll_if_pending(&mut self, now: Moment) {
        if !self.acceptance.is_pending() {
            self.appends.pending_since = None;
            return;
        }
        let timing = &self.cx.settings.timing;
        let since = *self.appends.pending_since.get_or_insert(now);
        let is_mine = self.appends.awaits_acceptance();
        let is_long = now.since(since) > timing.standing_ms * PATIENCE_OF_READERS;
        let is_due = now.since(self.appends.polled) >= timing.heartbeat_ms;
        let is_new = self.acceptance.accepted() == Version::default();
        if !is_due || !(is_mine || is_long || is_new) {
            return;
        }
        self.appends.polled = now;
        for peer in peers(&self.cx) {
            let (cx, tx, version) = (self.cx.clone(), self.tx.clone(), self.replica.heard());
            monoio::spawn(async move {
                ask_version(&cx, &peer, version, &tx).await;
            });
        }
        self.tell_itself();
    }

    pub(super) fn status(&mut self, reply: oneshot::Sender<ConfigStatus>) {
        let me = self.cx.settings.entry.name.clone();
        let mut status = ConfigStatus {
            version: self.replica.version(),
            accepted: self.acceptance.accepted(),
            hosts: BTreeMap::from([(me, Some(self.replica.version()))]),
        };
        let peers = peers(&self.cx);
        let (cx, tx, version) = (self.cx.clone(), self.tx.clone(), self.replica.heard());
        monoio::spawn(async move {
            let asks = peers.iter().map(|peer| ask_version(&cx, peer, version, &tx));
            let limited = asks.map(|ask| monoio::time::timeout(STATUS_TIME, ask));
            let answers = join_all(limited).await;
            for (peer, answer) in peers.iter().zip(answers) {
                status.hosts.insert(peer.clone(), answer.ok().flatten());
            }
            let _ = reply.send(status);
        });
    }
}

/// Pushes entries to one peer; answers its name when it has them.
async fn push_to(
    cx: &Cx,
    peer: EntryName,
    pushed: &Entries,
    tx: &mpsc::UnboundedSender<Message>,
) -> Option<EntryName> {
    let echo = cx.clock.now();
    let answer = cx.cluster.call_within::<Known>(&peer, ENTRIES, pushed, ANSWER_TIME).await;
    let _ = tx.send(Message::Told(told(&peer, answer.ok()?, echo)));
    Some(peer)
}

/// Asks one peer for its version; answers what it has applied.
async fn ask_version(
    cx: &Cx,
    peer: &EntryName,
    version: Version,
    tx: &mpsc::UnboundedSender<Message>,
) -> Option<Version> {
    let asked = AskVersion { from: cx.settings.entry.name.clone(), version };
    let echo = cx.clock.now();
    let answer = cx.cluster.call_within::<Known>(peer, VERSION, &asked, ANSWER_TIME).await;
    let known = answer.ok()?;
    let applied = known.applied;
    let _ = tx.send(Message::Told(told(peer, known, echo)));
    Some(applied)
}

fn told(peer: &EntryName, known: Known, echo: Moment) -> VersionReport {
    VersionReport {
        host: peer.clone(),
        incarnation: known.incarnation,
        version: known.applied,
        echo,
    }
}
