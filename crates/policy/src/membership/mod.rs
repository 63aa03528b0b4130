//! Which entry hosts are there, which may serve, and which of them owns a pool.
//!
//! One [`Membership`] an entry host, fed with heartbeats, table reads and view messages. It keeps
//! no state beyond the process: a host that starts anew counts for nobody until the standing time
//! has passed and it has caught up.

mod heartbeat;
mod rendezvous;
mod standing;
mod timing;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fuchsiamill_model::{EntryName, Incarnation, Moment, Version};

pub use heartbeat::{Heartbeat, HeartbeatAction, Mode, TableRead};
pub use rendezvous::{highest_weight, owner};
pub use standing::Standing;
pub use timing::Timing;
pub use view::{Ack, Proposal, Tenure, TenureId, View, ViewAction, ViewId};

const MOST_SENT: usize = 64;

/// What one entry host knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: EntryName,
    incarnation: Incarnation,
    timing: Timing,
    started: Moment,
    leaving: Leaving,
    record: BTreeSet<EntryName>,
    version: Version,
    heard_version: Version,
    table_read: Option<Moment>,
    own_read: Option<OwnRead>,
    read_since_start: Option<Version>,
    caught_up: CaughtUp,
    peers: BTreeMap<EntryName, Peer>,
    sent: VecDeque<(u64, Moment)>,
    next_seq: u64,
    views: view::Views,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    No,
    Yes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CaughtUp {
    NotYet,
    Done,
}

#[derive(Clone, Copy, Debug)]
struct OwnRead {
    began: Moment,
    version: Version,
}

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    mode: Mode,
    seq: u64,
    last_heard: Moment,
    /// When this host sent the last heartbeat that the peer echoed while it counted.
    support: Option<Moment>,
    version: Version,
}

impl Membership {
    /// The membership of a host that starts at `now`. `first_seq` is random, so that an echo meant
    /// for an earlier incarnation is not taken for an answer to this one.
    pub fn new(
        me: EntryName,
        incarnation: Incarnation,
        timing: Timing,
        now: Moment,
        first_seq: u64,
    ) -> Self {
        Self {
            me,
            incarnation,
            timing,
            started: now,
            leaving: Leaving::No,
            record: BTreeSet::new(),
            version: Version::default(),
            heard_version: Version::default(),
            table_read: None,
            own_read: None,
            read_since_start: None,
            caught_up: CaughtUp::NotYet,
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
            next_seq: first_seq,
            views: view::Views::default(),
        }
    }

    /// This host's name.
    pub fn me(&self) -> &EntryName {
        &self.me
    }

    /// Sets the entry hosts on record.
    pub fn set_record(&mut self, record: impl IntoIterator<Item = EntryName>) {
        self.record = record.into_iter().collect();
    }

    /// The entry hosts on record.
    pub fn record(&self) -> &BTreeSet<EntryName> {
        &self.record
    }

    /// The least number of hosts that is more than half of the record.
    pub fn majority(&self) -> usize {
        self.record.len() / 2 + 1
    }

    /// Takes note that this host has applied the configuration up to `version`.
    pub fn applied(&mut self, version: Version) {
        self.version = self.version.max(version);
        self.heard_version = self.heard_version.max(version);
    }

    /// The version that this host has applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The newest version that any host has told of.
    pub fn heard_version(&self) -> Version {
        self.heard_version
    }

    /// Takes note of this host's own read of the table, which began at `began` and showed `version`.
    pub fn table_read(&mut self, now: Moment, began: Moment, version: Version) {
        self.observe(now);
        self.heard_version = self.heard_version.max(version);
        self.table_read = self.table_read.max(Some(began));
        self.own_read = Some(OwnRead { began, version });
        self.note_read(began, version);
    }

    /// Tells the others from now on that this host is leaving, so that they give its pools away.
    pub fn leave(&mut self) {
        self.leaving = Leaving::Yes;
    }

    /// How this host counts for the others.
    pub fn mode(&self, now: Moment) -> Mode {
        if self.leaving == Leaving::Yes {
            return Mode::Leaving;
        }
        let silent = now.since(self.started) >= self.timing.standing_with_drift();
        let is_current = self.version >= self.heard_version;
        if silent && is_current && self.has_caught_up(now) {
            Mode::Counting
        } else {
            Mode::Starting
        }
    }

    /// The peers that were heard within the suspicion time, with the version each has told.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = (&EntryName, Mode, Version)> {
        let suspect = self.timing.suspect;
        let live = move |peer: &Peer| now.since(peer.last_heard) < suspect;
        self.peers
            .iter()
            .filter(move |(_, peer)| live(peer))
            .map(|(name, peer)| (name, peer.mode, peer.version))
    }

    /// The incarnation of a peer as last heard.
    pub fn incarnation_of(&self, peer: &EntryName) -> Option<&Incarnation> {
        if peer == &self.me {
            return Some(&self.incarnation);
        }
        self.peers.get(peer).map(|it| &it.incarnation)
    }

    /// Notes at `now` what has come about by itself; called before new evidence is taken.
    fn observe(&mut self, now: Moment) {
        if self.caught_up == CaughtUp::NotYet && self.has_caught_up(now) {
            self.caught_up = CaughtUp::Done;
        }
        self.observe_majority(now);
    }

    fn note_read(&mut self, began: Moment, version: Version) {
        if began >= self.started {
            self.read_since_start = self.read_since_start.max(Some(version));
        }
    }

    fn has_caught_up(&self, now: Moment) -> bool {
        if self.version == Version::default() {
            return false;
        }
        if self.read_since_start.is_some_and(|version| self.version >= version) {
            return true;
        }
        // Support echoes a heartbeat of this incarnation, so what told it was sent after the start.
        let supports =
            |name: &EntryName| self.peers.get(name).is_some_and(|it| it.support.is_some());
        let live = self.live_peers(now).map(|(name, ..)| name);
        let heard = live.filter(|it| self.record.contains(*it) && supports(it)).count();
        heard > self.record.len() - self.majority() && self.version >= self.heard_version
    }
}
