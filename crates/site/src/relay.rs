//! The way to the store through other entry hosts.
//!
//! The store may turn single machines away while it serves the others; these make the calls of those meanwhile.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_model::FastMap;
use fuchsiamill_peer::{Error, Failure, Link, Router, call_channel};
use fuchsiamill_platform::{RelayOutcome, RelayedAnswer, RelayedCall, Store, StoreRelay};

use crate::lead::Entries;

const METHOD: &str = "store";

/// Entry hosts that are tried with one call.
const TRIES: usize = 3;

/// Added to the time of a call for the way to the other entry host and back.
const WAY_TIME: Duration = Duration::from_millis(60);

/// What the last call on this way showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Nothing is known, or the store answered.
    #[default]
    Served,
    /// Other entry hosts answer and do not reach the store either.
    StoreAway,
    /// No other entry host answers: this one is cut off.
    CutOff,
}

/// Makes calls through other entry hosts.
pub struct Relay {
    entries: Entries,
    links: RefCell<FastMap<SocketAddr, Link>>,
    last_good: Cell<Option<SocketAddr>>,
    reach: Cell<Reach>,
}

impl Relay {
    /// A way through `entries`.
    pub fn new(entries: Entries) -> Rc<Self> {
        Rc::new(Self {
            entries,
            links: RefCell::default(),
            last_good: Cell::default(),
            reach: Cell::default(),
        })
    }

    /// What the last call on this way showed.
    pub fn reach(&self) -> Reach {
        self.reach.get()
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let entries = self.entries.borrow();
        let mut all: Vec<SocketAddr> =
            entries.all.iter().filter_map(|it| it.address.parse().ok()).collect();
        fastrand::shuffle(&mut all);
        if let Some(good) = self.last_good.get() {
            all.sort_by_key(|it| *it != good);
        }
        all.truncate(TRIES);
        all
    }

    async fn try_all(&self, call: RelayedCall) -> RelayOutcome {
        let time = Duration::from_millis(call.within_ms) + WAY_TIME;
        let candidates = self.candidates();
        let mut reach = if candidates.is_empty() { Reach::default() } else { Reach::CutOff };
        for addr in candidates {
            let link =
                self.links.borrow_mut().entry(addr).or_insert_with(|| Link::start(addr)).clone();
            match link.call::<Option<RelayedAnswer>>(METHOD, &call, time).await {
                Ok(Some(answer)) => {
                    self.last_good.set(Some(addr));
                    self.reach.set(Reach::Served);
                    return RelayOutcome::Answered(answer);
                }
                Ok(None) => reach = Reach::StoreAway,
                Err(Error::Unreachable(_)) => self.drop_link(addr),
                Err(Error::Refused { message, .. }) => {
                    tracing::debug!(event = "relay-failed", %addr, error = message);
                    self.reach.set(Reach::StoreAway);
                    return RelayOutcome::Unanswered;
                }
                // Whether the other entry host or the store did not answer is not known.
                Err(e) => {
                    tracing::debug!(event = "relay-failed", %addr, error = %e);
                    self.drop_link(addr);
                    return RelayOutcome::Unanswered;
                }
            }
        }
        self.reach.set(reach);
        RelayOutcome::Unsent
    }

    fn drop_link(&self, addr: SocketAddr) {
        self.links.borrow_mut().remove(&addr);
        if self.last_good.get() == Some(addr) {
            self.last_good.set(None);
        }
    }
}

impl StoreRelay for Relay {
    fn call(&self, call: RelayedCall) -> Pin<Box<dyn Future<Output = RelayOutcome> + '_>> {
        Box::pin(self.try_all(call))
    }
}

/// Makes calls for other entry hosts.
pub fn serve(router: &mut Router, store: Rc<Store>) {
    let (tx, mut rx) = call_channel();
    router.route(METHOD, tx);
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            let Some((call, reply)) = call.parse::<RelayedCall>() else { continue };
            let store = store.clone();
            monoio::spawn(async move {
                reply.send(match store.relay_call(call).await {
                    None => Ok(None),
                    Some(Ok(answer)) => Ok(Some(answer)),
                    Some(Err(e)) if e.is_certainly_not_executed() => Ok(None),
                    Some(Err(e)) => Err(Failure::refused(e.to_string())),
                });
            });
        }
    });
}
