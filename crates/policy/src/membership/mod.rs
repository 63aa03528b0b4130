//! Which entry hosts are alive, which of them may serve, and which one owns each pool.
//!
//! Each entry host has one [`Membership`], which handles heartbeats, table reads and view messages. It
//! has no persistent state: a restarted host does not count towards majorities until the standing time
//! has passed and the host has caught up.

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

/// Rounds of heartbeats whose sending time is kept; an echo of an older round is not evidence.
const MAX_SENT_ROUNDS: usize = 64;

/// One entry host's knowledge of the others.
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
    /// Creates the membership of a host that starts at `now`.
    ///
    /// `first_seq` has to be random, so that an echo to an earlier incarnation does not match a heartbeat
    /// of this one.
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

    /// Returns this host's name.
    pub fn me(&self) -> &EntryName {
        &self.me
    }

    /// Sets the entry hosts on record in the configuration.
    pub fn set_record(&mut self, record: impl IntoIterator<Item = EntryName>) {
        self.record = record.into_iter().collect();
    }

    /// Returns the entry hosts on record.
    pub fn record(&self) -> &BTreeSet<EntryName> {
        &self.record
    }

    /// Returns the smallest number of hosts that is more than half of those on record.
    pub fn majority(&self) -> usize {
        self.record.len() / 2 + 1
    }

    /// Records that this host has applied the configuration up to `version`.
    pub fn applied(&mut self, version: Version) {
        self.version = self.version.max(version);
        self.heard_version = self.heard_version.max(version);
    }

    /// Returns the configuration version that this host has applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the newest configuration version that this host has applied, read or heard of.
    pub fn heard_version(&self) -> Version {
        self.heard_version
    }

    /// Records this host's own read of the table, which started at `began` and returned `version`.
    pub fn table_read(&mut self, now: Moment, began: Moment, version: Version) {
        self.update(now);
        self.heard_version = self.heard_version.max(version);
        self.table_read = self.table_read.max(Some(began));
        self.own_read = Some(OwnRead { began, version });
        self.record_read(began, version);
    }

    /// Reports this host as leaving from now on, so that the others take over its pools.
    pub fn leave(&mut self) {
        self.leaving = Leaving::Yes;
    }

    /// Returns this host's role in majorities.
    pub fn mode(&self, now: Moment) -> Mode {
        if self.leaving == Leaving::Yes {
            return Mode::Leaving;
        }
        let has_waited = now.since(self.started) >= self.timing.standing_with_drift();
        let is_current = self.version >= self.heard_version;
        if has_waited && is_current && self.has_caught_up(now) {
            Mode::Counting
        } else {
            Mode::Starting
        }
    }

    /// Returns the peers that were heard within the suspicion time, each with the version that it reported.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = (&EntryName, Mode, Version)> {
        let suspect = self.timing.suspect;
        let live = move |peer: &Peer| now.since(peer.last_heard) < suspect;
        self.peers
            .iter()
            .filter(move |(_, peer)| live(peer))
            .map(|(name, peer)| (name, peer.mode, peer.version))
    }

    /// Returns the incarnation of this host or of a peer as last heard; `None` for a peer never heard.
    pub fn incarnation_of(&self, peer: &EntryName) -> Option<&Incarnation> {
        if peer == &self.me {
            return Some(&self.incarnation);
        }
        self.peers.get(peer).map(|it| &it.incarnation)
    }

    /// Updates the state that depends on time. Has to be called before new evidence is recorded.
    fn update(&mut self, now: Moment) {
        if self.caught_up == CaughtUp::NotYet && self.has_caught_up(now) {
            self.caught_up = CaughtUp::Done;
        }
        self.update_support(now);
    }

    fn record_read(&mut self, began: Moment, version: Version) {
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
        // Support comes from an echo of this incarnation's heartbeats, so it was sent after this host's start.
        let supports =
            |name: &EntryName| self.peers.get(name).is_some_and(|it| it.support.is_some());
        let live = self.live_peers(now).map(|(name, ..)| name);
        let supporting = live.filter(|it| self.record.contains(*it) && supports(it)).count();
        supporting > self.record.len() - self.majority() && self.version >= self.heard_version
    }
}
