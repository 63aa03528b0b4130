//! The process that holds the lease: it feeds the coordinator with events and carries out its orders.

mod advice;
mod changes;
mod election;
mod entries;
mod event;
mod feeds;
mod hosts;
mod lease;
mod leader;
mod links;
mod load;
mod orders;
mod pools;
mod standing;
mod takeover;

use std::{cell::Cell, rc::Rc};

use fuchsiamill_fleet::Terms;
use fuchsiamill_platform::{AdviceClient, HostClient, Store};
use tokio::sync::watch;

pub use entries::{Entries, EntryRow, Others, follow as follow_entries, strength};
pub use lease::LeaseRow;
pub use standing::{Standing, serve as serve_standing};

use crate::{clock::Clock, config::Intent, metrics::Metrics};
use election::Election;
use leader::Leader;

/// The lease row is changed at least this often.
const RENEW_MS: u64 = 300;

/// What a candidate needs.
#[derive(Clone)]
pub struct Candidate {
    /// The store.
    pub store: Rc<Store>,
    /// The clock.
    pub clock: Clock,
    /// The service that has the hosts, if the site has one.
    pub hosts: Option<Rc<HostClient>>,
    /// The service that knows which workers may run a step, if the site has one.
    pub advice: Option<Rc<AdviceClient>>,
    /// Time limits of the site.
    pub terms: Terms,
    /// What the operator has written.
    pub intent: watch::Receiver<Intent>,
    /// How this process appears in the lease.
    pub own: LeaseRow,
    /// Whether this process was told to stop.
    pub is_stopping: Rc<Cell<bool>>,
    /// The term in which this process coordinates or tries to; 0 for none.
    pub term: Rc<Cell<u64>>,
    /// Entry hosts that should rather coordinate.
    pub entries: Entries,
    /// Counts what is done.
    pub metrics: Rc<Metrics>,
}

impl Candidate {
    /// Competes for the lease and coordinates while it is held, until the process is told to stop.
    pub async fn run(mut self) {
        if self.intent.wait_for(|it| it.config.is_some()).await.is_err() {
            return;
        }
        while !self.is_stopping.get() {
            let election = Election {
                store: self.store.clone(),
                clock: self.clock,
                own: self.own.clone(),
                term: self.term.clone(),
                entries: self.entries.clone(),
            };
            let won = election.win().await;
            let term = won.lease.term();
            self.metrics.coordinates(true);
            let why = Leader::run(self.clone(), won).await;
            self.metrics.coordinates(false);
            self.term.set(0);
            tracing::warn!(event = "lease-left", term, reason = ?why);
        }
    }
}
