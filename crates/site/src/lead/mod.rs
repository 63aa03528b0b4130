//! The coordinating entry host: wins the lease, feeds events to the coordinator and executes its orders.

mod advice;
mod commits;
mod cordons;
mod deleted_rows;
mod durations;
mod election;
mod entries;
mod event;
mod feeds;
mod hosts;
mod lease;
mod leader;
mod links;
mod load;
mod load_log;
mod news;
mod orders;
mod pools;
mod standing;
mod start_queue;
mod takeover;
mod takeover_log;
mod waits;
mod waves;

use std::{cell::Cell, rc::Rc};

use fuchsiamill_fleet::Timing;
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::{AdviceClient, HostClient, Store};
use tokio::sync::watch;

pub use deleted_rows::{DeletedRows, Deletion};
pub use durations::{DurationsRow, encode as encode_durations, read as read_durations};
pub use entries::{
    Entries, EntryRow, OtherEntries, publish_and_follow as publish_and_follow_entries, strength,
};
pub use lease::{LeaseRow, decode as decode_lease};
pub use load_log::{Exchanged, Load, START_LIMITS};
pub use standing::{Standing, serve as serve_standing};
pub use waits::{WaitLog, Waits};
pub use waves::WaveLog;

use crate::{clock::Clock, config::Intent, metrics::Metrics};
use election::Election;
use leader::{Leader, LeaveReason};

/// The holder rewrites the lease row at least this often.
const RENEW_INTERVAL_MS: u64 = 300;

/// How long a process keeps the lease that it left to stronger entry hosts and that none of them took. It doubles each
/// time, since each change of the coordinator costs some starts of tasks.
const FIRST_KEEP_MS: Millisecond = 8_000;
const LONGEST_KEEP_MS: Millisecond = 32_000;

/// An entry host that competes for the lease.
#[derive(Clone)]
pub struct Candidate {
    /// The platform's store, which has the lease row.
    pub store: Rc<Store>,
    /// The process's clock.
    pub clock: Clock,
    /// The service that moves and maintains hosts; `None` if the site has none.
    pub hosts: Option<Rc<HostClient>>,
    /// The advice service, which decides on which workers a step may run; `None` if the site has none.
    pub advice: Option<Rc<AdviceClient>>,
    /// Whether durations are learned from finished runs.
    pub learns_durations: bool,
    /// Time limits of the site.
    pub timing: Timing,
    /// The operator's configuration and maintenance waves.
    pub intent: watch::Receiver<Intent>,
    /// The lease row with which this process takes the lease, except for its term.
    pub own: LeaseRow,
    /// Whether this process is shutting down.
    pub is_stopping: Rc<Cell<bool>>,
    /// The term in which this process coordinates or for which it tries to take the lease; 0 for none.
    pub term: Rc<Cell<u64>>,
    /// The other entry hosts; much stronger ones take precedence as coordinators.
    pub entries: Entries,
    /// Until when this process leaves no lease to a stronger entry host.
    pub keeps_until: Moment,
    /// The process's metrics.
    pub metrics: Rc<Metrics>,
    /// Whether the capacities of pools are published for the admission of jobs.
    pub is_admission_on: bool,
}

impl Candidate {
    /// Competes for the lease and coordinates while this process holds it, until the process is told to stop.
    pub async fn run(mut self) {
        if self.intent.wait_for(|it| it.config.is_some()).await.is_err() {
            return;
        }
        let mut yielded = None;
        let mut keep_ms = 0;
        while !self.is_stopping.get() {
            let election = Election {
                store: self.store.clone(),
                clock: self.clock,
                own: self.own.clone(),
                term: self.term.clone(),
                entries: self.entries.clone(),
                has_yielded: yielded.is_some(),
            };
            let won = election.win().await;
            let term = won.lease.term();
            keep_ms = match yielded == Some(won.former.term) {
                true => (keep_ms * 2).clamp(FIRST_KEEP_MS, LONGEST_KEEP_MS),
                false => 0,
            };
            self.keeps_until = self.clock.now() + keep_ms;
            self.metrics.set_coordinating(true);
            let reason = Leader::run(self.clone(), won).await;
            self.metrics.set_coordinating(false);
            self.term.set(0);
            yielded = (reason == LeaveReason::Yielding).then_some(term);
            tracing::warn!(event = "lease-left", term, reason = ?reason);
        }
    }
}
