//! Heartbeats: what an entry host tells each of the others every period.

use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, Version};
use serde::{Deserialize, Serialize};

use super::{MOST_SENT, Membership, OwnRead, Peer, ViewId};

/// How a host counts for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mode {
    /// It started a short time ago, or has not caught up; it counts for nobody.
    #[serde(rename = "s")]
    Starting,
    /// It counts towards majorities.
    #[serde(rename = "c")]
    Counting,
    /// It is shutting down; it counts, but owns nothing any more.
    #[serde(rename = "l")]
    Leaving,
}

impl Mode {
    /// Whether it counts towards majorities.
    pub fn counts(self) -> bool {
        self != Mode::Starting
    }
}

/// A read of the table as its reader tells others of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableRead {
    /// How long ago it began when the heartbeat was sent.
    pub age: Millisecond,
    /// The version that it showed.
    pub version: Version,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Heartbeat {
    /// The sender.
    pub from: EntryName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Its number, growing with every round.
    pub seq: u64,
    /// The number of the last heartbeat that the sender had from the addressee.
    pub echo: Option<u64>,
    /// How the sender counts.
    pub mode: Mode,
    /// The newest configuration version that the sender has applied.
    pub version: Version,
    /// The newest view that the sender has promised.
    pub promised: ViewId,
    /// The newest view that the sender knows to be installed.
    pub installed: ViewId,
    /// The freshest read of the table by the sender itself.
    pub table_read: Option<TableRead>,
}

/// A heartbeat as it is sent: by position, because member names would be most of its bytes. The
/// installed view is left out when it is the promised one.
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

/// What a heartbeat asks its receiver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing.
    Nothing,
    /// The sender knows a newer configuration: get it from there.
    NewerConfiguration,
    /// The sender knows a newer installed view: get it from there.
    NewerView,
}

impl Membership {
    /// Begins a round of heartbeats at `now`; gives their number.
    pub fn begin_round(&mut self, now: Moment) -> u64 {
        self.observe(now);
        let seq = self.next_seq;
        self.next_seq += 1;
        self.sent.push_back((seq, now));
        if self.sent.len() > MOST_SENT {
            self.sent.pop_front();
        }
        seq
    }

    /// The heartbeat of round `seq` for one peer. The age of a read counts from its beginning.
    pub fn heartbeat(&self, now: Moment, seq: u64, to: &EntryName) -> Heartbeat {
        let told = |read: &OwnRead| TableRead { age: now.since(read.began), version: read.version };
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation.clone(),
            seq,
            echo: self.peers.get(to).map(|it| it.seq),
            mode: self.mode(now),
            version: self.version,
            promised: self.views.promised_id(),
            installed: self.views.installed_id(),
            table_read: self.own_read.as_ref().map(told),
        }
    }

    /// Takes a heartbeat that arrived at `now`.
    pub fn handle_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) -> HeartbeatAction {
        self.observe(now);
        if heartbeat.from == self.me || self.is_outdated(heartbeat) {
            return HeartbeatAction::Nothing;
        }
        let echoed = heartbeat.echo.and_then(|seq| self.sent_at(seq));
        self.note_peer(now, heartbeat, echoed);
        self.heard_version = self.heard_version.max(heartbeat.version);
        self.views.heard(&heartbeat.promised, &heartbeat.installed);
        if let (Some(read), Some(sent)) = (heartbeat.table_read, echoed) {
            self.take_read(read, sent);
        }
        if heartbeat.version > self.version {
            return HeartbeatAction::NewerConfiguration;
        }
        if heartbeat.installed > self.views.installed_id() {
            return HeartbeatAction::NewerView;
        }
        HeartbeatAction::Nothing
    }

    /// A read of a peer is dated from when this host sent the heartbeat that the peer echoes: the
    /// peer's message left after that, and the read began `age` before it left.
    fn take_read(&mut self, read: TableRead, echoed: Moment) {
        self.heard_version = self.heard_version.max(read.version);
        if read.age > echoed.0 {
            return;
        }
        let began = echoed - read.age;
        self.table_read = self.table_read.max(Some(began));
        self.note_read(began, read.version);
    }

    fn sent_at(&self, seq: u64) -> Option<Moment> {
        self.sent.iter().find(|(it, _)| *it == seq).map(|(_, at)| *at)
    }

    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.from);
        known.is_some_and(|it| it.incarnation == heartbeat.incarnation && it.seq >= heartbeat.seq)
    }

    fn note_peer(&mut self, now: Moment, heartbeat: &Heartbeat, echoed: Option<Moment>) {
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
