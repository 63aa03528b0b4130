//! The other entry hosts: heartbeats, standing, views and calls.

mod rpc;
mod task;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_model::{
    Configuration, EntryName, FastMap, Incarnation, Millisecond, Moment, PoolName, Version,
};
use fuchsiamill_peer::{Link, Router, Unreached};
use fuchsiamill_policy::membership::{Membership, Mode, Timing, View};
use fuchsiamill_settings::Settings;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use crate::{clock::Clock, cx::Cx};

pub use fuchsiamill_policy::membership::{Standing, Tenure, TenureId};

/// The longest wait for an answer of a peer.
pub const CALL_TIME: Duration = Duration::from_secs(2);

/// A peer as the command line and the configuration task see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Its name.
    pub name: EntryName,
    /// How it counts.
    pub mode: Mode,
    /// The newest configuration version that it has told.
    pub version: Version,
}

/// A handle to the cluster task.
pub struct ClusterHandle {
    me: EntryName,
    clock: Clock,
    heartbeat: Millisecond,
    settled_peers: FastMap<EntryName, SocketAddr>,
    membership: RefCell<Membership>,
    links: RefCell<FastMap<EntryName, Link>>,
    addresses: RefCell<FastMap<EntryName, SocketAddr>>,
    view: watch::Sender<View>,
    newer: watch::Sender<Option<(EntryName, Version)>>,
    round: Cell<u64>,
    inbox: RefCell<Option<rpc::Inbox>>,
}

impl ClusterHandle {
    /// A handle whose task is not started yet.
    pub fn new(
        settings: &Settings,
        clock: Clock,
        incarnation: Incarnation,
        router: &mut Router,
    ) -> Self {
        let timing = Timing {
            standing: settings.timing.standing_ms,
            suspect: settings.timing.suspect_ms,
            drift_percent: settings.timing.drift_percent,
        };
        let me = settings.entry.name.clone();
        let first_seq = fastrand::u64(..1 << 32);
        let membership = Membership::new(me.clone(), incarnation, timing, clock.now(), first_seq);
        let settled_peers =
            settings.peers.0.iter().map(|(name, addr)| (name.clone(), *addr)).collect();
        let handle = Self {
            me,
            clock,
            heartbeat: settings.timing.heartbeat_ms,
            settled_peers,
            membership: RefCell::new(membership),
            links: RefCell::default(),
            addresses: RefCell::default(),
            view: watch::channel(View::default()).0,
            newer: watch::channel(None).0,
            round: Cell::new(0),
            inbox: RefCell::new(Some(rpc::Inbox::routed(router))),
        };
        handle.set_record(&Configuration::default());
        handle
    }

    /// Starts the task.
    pub fn start(&self, cx: &Rc<Cx>) {
        let inbox = self.inbox.borrow_mut().take().expect("the task starts once");
        task::start(cx, inbox);
    }

    /// This host's name.
    pub fn me(&self) -> &EntryName {
        &self.me
    }

    /// Takes note of a read of the table that began at `began` and led to `version`.
    pub fn table_read(&self, began: Moment, version: Version) {
        self.membership.borrow_mut().table_read(self.clock.now(), began, version);
    }

    /// Takes note of the configuration that was applied.
    pub fn applied(&self, config: &Configuration) {
        self.membership.borrow_mut().applied(config.version);
        self.set_record(config);
    }

    /// Whether this entry host may serve now.
    pub fn standing(&self) -> Standing {
        self.membership.borrow().standing(self.clock.now())
    }

    /// Who may give out a pool's slots now.
    pub fn tenure(&self, pool: &PoolName) -> Tenure {
        self.membership.borrow_mut().tenure(self.clock.now(), pool)
    }

    /// The unbroken time of majority support that this host is in; `None` when it has none.
    pub fn majority_term(&self) -> Option<u64> {
        self.membership.borrow_mut().majority_term(self.clock.now())
    }

    /// The owner of a pool in the installed view; whether it may grant now only it can say.
    pub fn owner(&self, pool: &PoolName) -> Option<EntryName> {
        self.view.borrow().owner(pool).cloned()
    }

    /// The installed view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Follows the peer that told last of a newer configuration than this host has applied.
    pub fn follow_newer(&self) -> watch::Receiver<Option<(EntryName, Version)>> {
        self.newer.subscribe()
    }

    /// The entry hosts on record.
    pub fn record(&self) -> Vec<EntryName> {
        self.membership.borrow().record().iter().cloned().collect()
    }

    /// The peers that were heard a short time ago.
    pub fn live_peers(&self) -> Vec<LivePeer> {
        let membership = self.membership.borrow();
        let live = membership.live_peers(self.clock.now());
        live.map(|(name, mode, version)| LivePeer { name: name.clone(), mode, version }).collect()
    }

    /// The peers that are shutting down and were heard within the suspicion time.
    pub fn leaving_peers(&self) -> Vec<EntryName> {
        let leaving = self.live_peers().into_iter().filter(|it| it.mode == Mode::Leaving);
        leaving.map(|it| it.name).collect()
    }

    /// How this host counts for the others.
    pub fn mode(&self) -> Mode {
        self.membership.borrow().mode(self.clock.now())
    }

    /// The incarnation of an entry host as last heard.
    pub fn incarnation_of(&self, entry: &EntryName) -> Option<Incarnation> {
        self.membership.borrow().incarnation_of(entry).cloned()
    }

    /// Tells the others that this host is leaving, so that they take its pools over.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave();
    }

    /// Calls a method of a peer.
    pub async fn call<R: DeserializeOwned>(
        &self,
        peer: &EntryName,
        method: &str,
        params: &impl Serialize,
    ) -> fuchsiamill_peer::Result<R> {
        self.call_within(peer, method, params, CALL_TIME).await
    }

    /// Calls a method of a peer and waits at most `time`.
    pub async fn call_within<R: DeserializeOwned>(
        &self,
        peer: &EntryName,
        method: &str,
        params: &impl Serialize,
        time: Duration,
    ) -> fuchsiamill_peer::Result<R> {
        let Some(link) = self.link(peer) else {
            let cause = format!("no peer address of '{peer}' is known");
            return Err(fuchsiamill_peer::Error::Unreachable(Unreached::Other(cause)));
        };
        link.call(method, params, time).await
    }

    /// Sends a peer a notification; whether it arrives is not known.
    pub fn notify(&self, peer: &EntryName, method: &str, params: &impl Serialize) {
        if let Some(link) = self.link(peer) {
            link.notify(method, params);
        }
    }

    /// The bytes sent to all peers so far.
    pub fn bytes_sent(&self) -> u64 {
        self.links.borrow().values().map(Link::bytes_sent).sum()
    }

    /// Addresses in the settings go before those on record: they say how this host reaches a peer.
    fn set_record(&self, config: &Configuration) {
        let mut addresses: FastMap<_, _> =
            config.entry_hosts.iter().map(|(name, addr)| (name.clone(), *addr)).collect();
        let record: Vec<EntryName> = match addresses.is_empty() {
            true => self.settled_peers.keys().cloned().collect(),
            false => addresses.keys().cloned().collect(),
        };
        addresses.extend(self.settled_peers.iter().map(|(name, addr)| (name.clone(), *addr)));
        let before = std::mem::replace(&mut *self.addresses.borrow_mut(), addresses);
        let addresses = self.addresses.borrow();
        self.links.borrow_mut().retain(|name, _| before.get(name) == addresses.get(name));
        self.membership.borrow_mut().set_record(record);
    }

    fn peers(&self) -> Vec<EntryName> {
        self.addresses.borrow().keys().filter(|it| *it != &self.me).cloned().collect()
    }

    fn link(&self, peer: &EntryName) -> Option<Link> {
        if let Some(link) = self.links.borrow().get(peer) {
            return Some(link.clone());
        }
        let link = Link::start(*self.addresses.borrow().get(peer)?);
        self.links.borrow_mut().insert(peer.clone(), link.clone());
        Some(link)
    }
}
