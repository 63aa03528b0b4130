//! Relays calls to the store through other entry hosts.
//!
//! The store may refuse single entry hosts while it serves the others, which then make the calls of the refused ones.

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

/// The most entry hosts that are tried with one call.
const MAX_TRIES: usize = 3;

/// Added to the timeout of a call for the round trip to the other entry host.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(60);

/// What the last relayed call showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// The store answered, or nothing is known yet.
    #[default]
    Served,
    /// Other entry hosts answer, but do not reach the store either.
    StoreUnreachable,
    /// No other entry host answers: this one is cut off from the network.
    CutOff,
}

/// Makes calls to the store through other entry hosts.
pub struct Relay {
    entries: Entries,
    links: RefCell<FastMap<SocketAddr, Link>>,
    last_good: Cell<Option<SocketAddr>>,
    reach: Cell<Reach>,
}

impl Relay {
    /// Creates a relay through `entries`.
    pub fn new(entries: Entries) -> Rc<Self> {
        Rc::new(Self {
            entries,
            links: RefCell::default(),
            last_good: Cell::default(),
            reach: Cell::default(),
        })
    }

    /// Returns what the last relayed call showed.
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
        all.truncate(MAX_TRIES);
        all
    }

    async fn try_all(&self, call: RelayedCall) -> RelayOutcome {
        let limit = call.within.duration() + ROUND_TRIP_TIME;
        let candidates = self.candidates();
        let mut reach = if candidates.is_empty() { Reach::default() } else { Reach::CutOff };
        for addr in candidates {
            let link =
                self.links.borrow_mut().entry(addr).or_insert_with(|| Link::start(addr)).clone();
            match link.call::<Option<RelayedAnswer>>(METHOD, &call, limit).await {
                Ok(Some(answer)) => {
                    self.last_good.set(Some(addr));
                    self.reach.set(Reach::Served);
                    return RelayOutcome::Answered(answer);
                }
                Ok(None) => reach = Reach::StoreUnreachable,
                Err(Error::Unreachable(_)) => self.drop_link(addr),
                Err(Error::Refused { message, .. }) => {
                    let limit_ms = limit.as_millis() as u64;
                    tracing::info!(event = "relay-failed", %addr, limit_ms, error = message);
                    self.reach.set(Reach::StoreUnreachable);
                    return RelayOutcome::Unanswered;
                }
                // Either the other entry host or the store did not answer, so the call may have been carried out.
                Err(e) => {
                    let limit_ms = limit.as_millis() as u64;
                    tracing::info!(event = "relay-failed", %addr, limit_ms, error = %e);
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

/// Serves calls to the store that other entry hosts relay to this one.
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
