//! Heartbeats, which every entry host sends to each other one at a fixed interval.

use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, Version};
use serde::{Deserialize, Serialize};

use super::{MAX_SENT_ROUNDS, Membership, OwnRead, Peer, ViewId};

/// A host's role in majorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mode {
    /// The host started a short time ago or has not caught up; it does not count towards majorities.
    #[serde(rename = "s")]
    Starting,
    /// The host counts towards majorities.
    #[serde(rename = "c")]
    Counting,
    /// The host is shutting down; it counts towards majorities but may own no pool.
    #[serde(rename = "l")]
    Leaving,
}

impl Mode {
    /// Returns whether the host counts towards majorities.
    pub fn counts(self) -> bool {
        self != Mode::Starting
    }
}

/// A read of the table, as reported by the host that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableRead {
    /// The time from the start of the read to the sending of the heartbeat.
    pub age: Millisecond,
    /// The configuration version that was read.
    pub version: Version,
}

/// A heartbeat of one host to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Heartbeat {
    /// The sender.
    pub from: EntryName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number, which grows with every round.
    pub seq: u64,
    /// The sequence number of the last heartbeat that the sender received from the addressee, if any.
    pub echo: Option<u64>,
    /// The sender's mode.
    pub mode: Mode,
    /// The newest configuration version that the sender has applied.
    pub version: Version,
    /// The newest view that the sender has promised.
    pub promised: ViewId,
    /// The newest view that the sender knows to be installed.
    pub installed: ViewId,
    /// The sender's own latest read of the table; `None` before the first.
    pub table_read: Option<TableRead>,
}

/// The wire form of a heartbeat: a tuple, because field names would be most of its bytes. The
/// installed view is `None` when it equals the promised one.
type Wire = (
    EntryName,
    Incarnation,
    u64,
    Option<u64>,
    Mode,
    Version,
    ViewId,
    Option<ViewId>,
    Option<(Millisecond, Version)>,
);

impl From<Heartbeat> for Wire {
    fn from(it: Heartbeat) -> Wire {
        let installed = Some(it.installed).filter(|id| *id != it.promised);
        let read = it.table_read.map(|read| (read.age, read.version));
        (
            it.from,
            it.incarnation,
            it.seq,
            it.echo,
            it.mode,
            it.version,
            it.promised,
            installed,
            read,
        )
    }
}

impl From<Wire> for Heartbeat {
    fn from(wire: Wire) -> Heartbeat {
        let (from, incarnation, seq, echo, mode, version, promised, installed, read) = wire;
        let installed = installed.unwrap_or_else(|| promised.clone());
        let table_read = read.map(|(age, version)| TableRead { age, version });
        Heartbeat { from, incarnation, seq, echo, mode, version, promised, installed, table_read }
    }
}

/// What the receiver of a heartbeat has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing.
    Nothing,
    /// Fetch the configuration from the sender, which has a newer one.
    NewerConfiguration,
    /// Fetch the installed view from the sender, which has a newer one.
    NewerView,
}

impl Membership {
    /// Starts a round of heartbeats at `now` and returns its sequence number.
    pub fn begin_round(&mut self, now: Moment) -> u64 {
        self.update(now);
        let seq = self.next_seq;
        self.next_seq += 1;
        self.sent.push_back((seq, now));
        if self.sent.len() > MAX_SENT_ROUNDS {
            self.sent.pop_front();
        }
        seq
    }

    /// Returns the heartbeat of round `seq` for one peer.
    pub fn heartbeat(&self, now: Moment, seq: u64, to: &EntryName) -> Heartbeat {
        let to_report =
            |read: &OwnRead| TableRead { age: now.since(read.began), version: read.version };
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation.clone(),
            seq,
            echo: self.peers.get(to).map(|it| it.seq),
            mode: self.mode(now),
            version: self.version,
            promised: self.views.promised_id(),
            installed: self.views.installed_id(),
            table_read: self.own_read.as_ref().map(to_report),
        }
    }

    /// Records a heartbeat that arrived at `now`.
    pub fn handle_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) -> HeartbeatAction {
        self.update(now);
        if heartbeat.from == self.me || self.is_outdated(heartbeat) {
            return HeartbeatAction::Nothing;
        }
        let echoed = heartbeat.echo.and_then(|seq| self.sent_at(seq));
        self.record_peer(now, heartbeat, echoed);
        self.heard_version = self.heard_version.max(heartbeat.version);
        self.views.record_heard(&heartbeat.promised, &heartbeat.installed);
        if let (Some(read), Some(sent)) = (heartbeat.table_read, echoed) {
            self.record_peer_read(read, sent);
        }
        if heartbeat.version > self.version {
            return HeartbeatAction::NewerConfiguration;
        }
        if heartbeat.installed > self.views.installed_id() {
            return HeartbeatAction::NewerView;
        }
        HeartbeatAction::Nothing
    }

    /// Records a read that a peer reports.
    ///
    /// The start of the read is taken as `age` before `echoed`, when this host sent the heartbeat that the
    /// peer echoes. The peer sent its message later than that, so the estimate is never later than
    /// the true start.
    fn record_peer_read(&mut self, read: TableRead, echoed: Moment) {
        self.heard_version = self.heard_version.max(read.version);
        if read.age > echoed.0 {
            return;
        }
        let began = echoed - read.age;
        self.table_read = self.table_read.max(Some(began));
        self.record_read(began, read.version);
    }

    fn sent_at(&self, seq: u64) -> Option<Moment> {
        self.sent.iter().find(|(it, _)| *it == seq).map(|(_, at)| *at)
    }

    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.from);
        known.is_some_and(|it| it.incarnation == heartbeat.incarnation && it.seq >= heartbeat.seq)
    }

    fn record_peer(&mut self, now: Moment, heartbeat: &Heartbeat, echoed: Option<Moment>) {
        let support = echoed.filter(|_| heartbeat.mode.counts());
        let known =
            self.peers.get(&heartbeat.from).filter(|it| it.incarnation == heartbeat.incarnation);
        let support = support.max(known.and_then(|it| it.support));
        let peer = Peer {
            incarnation: heartbeat.incarnation.clone(),
            mode: heartbeat.mode,
            seq: heartbeat.seq,
            last_heard: now,
            support,
            version: heartbeat.version,
        };
        self.peers.insert(heartbeat.from.clone(), peer);
    }
}
