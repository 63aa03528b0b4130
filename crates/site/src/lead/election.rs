//! Watches the lease and takes it when it is free or its holder has stopped or fallen silent.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::Store;
use monoio::time::sleep;

use super::{
    RENEW_INTERVAL_MS,
    entries::{Entries, MAX_FULL_RATE_POLLERS, POLL_INTERVAL_MS},
    lease::{Lease, LeaseRow, TakeOutcome, decode},
    standing::{HolderState, query_holder},
};
use crate::{clock::Clock, tables};

/// Attempts of many entry hosts to take a free lease are spread over this time. A partition of the store commits about
/// 150 transactions a second, and an attempt that queues behind others times out unanswered.
const TAKE_SPREAD_MS: u64 = 250;

/// The poll interval while the holder's state is uncertain or the lease is free but not yet taken.
const RECHECK_INTERVAL_MS: u64 = 100;

/// A holder is silent if its row stays unchanged for this long: several times [`RENEW_INTERVAL_MS`], after
/// which a holder rewrites the row.
const SILENCE_MS: u64 = 1_000;

/// The same for a holder that also refuses connections.
pub(super) const REFUSING_SILENCE_MS: u64 = 2 * RENEW_INTERVAL_MS;

/// A slow store delays the holder's writes, so this many usual response times of the store are added to
/// these times.
const SILENCE_RESPONSE_TIMES: u32 = 6;

/// A process that has just left the lease to a stronger entry host leaves it for this many times the usual delay.
const YIELDED_DELAY_FACTOR: Millisecond = 3;

/// The state of the lease as one poll finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    /// The holder coordinates.
    Held,
    /// The holder does not answer, but its row has not been unchanged for long enough.
    Uncertain,
    /// The lease can be taken; with what is known about its former holder.
    Free(HolderState),
}

/// Competes for the lease on behalf of one entry host.
pub struct Election {
    pub store: Rc<Store>,
    pub clock: Clock,
    /// The lease row with which this process takes the lease, except for its term.
    pub own: LeaseRow,
    /// The term that this process reports to other entry hosts; 0 for none.
    pub term: Rc<Cell<u64>>,
    /// The other entry hosts; much stronger ones take a free lease first.
    pub entries: Entries,
    /// Whether this process has just left the lease to a stronger entry host. That one may know of hosts that are
    /// stronger still, and leave the lease to them for a while.
    pub has_yielded: bool,
}

/// The lease as won, and its former holder.
pub struct WonLease {
    pub lease: Lease,
    /// The lease row of the former holder.
    pub former: LeaseRow,
    /// What is known about the former holder.
    pub holder_state: HolderState,
    /// When this process first saw the former holder's last write of the row.
    pub last_write_seen: Moment,
    /// When this process found that the former holder does not coordinate or does not answer.
    pub noticed: Moment,
    /// When this process found that it holds the lease.
    pub taken: Moment,
}

/// An attempt to take the lease that the store did not answer.
struct UnansweredTake {
    row: LeaseRow,
    /// The version of the lease row that the attempt replaces. Once the row has another one, the attempt can no longer
    /// take effect.
    after: u64,
    former: LeaseRow,
    holder_state: HolderState,
}

/// What this process has observed about the lease.
#[derive(Default)]
struct Observations {
    /// The last version of the row, and when this process first saw it.
    last: Option<(u64, Moment)>,
    /// Since when the holder has been found not to coordinate or not to answer, without an answer since.
    noticed: Option<Moment>,
    /// Since when the lease has been free to take.
    free_since: Option<Moment>,
    unanswered: Option<UnansweredTake>,
}

enum NextStep {
    Won(Box<WonLease>),
    Pause(u64),
}

impl Observations {
    fn unchanged_since(&mut self, version: u64, now: Moment) -> Moment {
        let since = match self.last {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.last = Some((version, since));
        since
    }

    fn note_state(&mut self, state: LeaseState, now: Moment) {
        match state {
            LeaseState::Held => self.noticed = None,
            LeaseState::Uncertain | LeaseState::Free(_) => {
                self.noticed.get_or_insert(now);
            }
        }
    }
}

impl Election {
    /// Returns once this process holds the lease.
    pub async fn win(&self) -> WonLease {
        let mut observed = Observations::default();
        loop {
            let next = match self.read().await {
                Ok((row, version, store_ms)) => {
                    self.next_step(&mut observed, row, version, store_ms).await
                }
                Err(e) => {
                    // A row that could not be read says nothing about how long the holder has been silent.
                    observed.last = None;
                    tracing::debug!(event = "read-failed", what = "lease", error = %e);
                    NextStep::Pause(POLL_INTERVAL_MS)
                }
            };
            match next {
                NextStep::Won(won) => return *won,
                NextStep::Pause(ms) => {
                    sleep(Duration::from_millis(ms + fastrand::u64(0..ms / 4))).await;
                }
            }
        }
    }

    /// Reads the lease row; returns the row, its version and the store's clock.
    async fn read(&self) -> fuchsiamill_platform::Result<(LeaseRow, u64, u64)> {
        let (row, store_ms) = self.store.read_row(&tables::lease_key()).await?;
        let (row, version) =
            row.map_or_else(Default::default, |it| (decode(&it.value), it.version));
        Ok((row, version, store_ms))
    }

    async fn next_step(
        &self,
        observed: &mut Observations,
        row: LeaseRow,
        version: u64,
        store_ms: u64,
    ) -> NextStep {
        if let Some(it) = observed.unanswered.take_if(|it| it.row == row) {
            let lease = Lease::from_unanswered_take(self.store.clone(), row, version, store_ms);
            return self.won(observed, lease, it.former, it.holder_state);
        }
        if observed.unanswered.take_if(|it| it.after != version).is_some() {
            self.term.set(0);
        }
        let since = observed.unchanged_since(version, self.clock.now());
        let state = self.lease_state(&row, since).await;
        let now = self.clock.now();
        observed.note_state(state, now);
        let holder_state = match state {
            LeaseState::Free(holder_state) => holder_state,
            state => {
                observed.free_since = None;
                let poll_interval_ms = self.entries.borrow().poll_interval_ms();
                return NextStep::Pause(if state == LeaseState::Held {
                    poll_interval_ms
                } else {
                    RECHECK_INTERVAL_MS
                });
            }
        };
        let since = *observed.free_since.get_or_insert(now);
        let take_delay_ms = self.entries.borrow().take_delay_ms();
        let share = if self.has_yielded { YIELDED_DELAY_FACTOR } else { 1 };
        if now.since(since) < take_delay_ms * share || !self.is_unchanged(version).await {
            return NextStep::Pause(RECHECK_INTERVAL_MS);
        }
        self.take(observed, (row, version), holder_state).await
    }

    /// Returns whether the lease row still has `version`. If there may be many entry hosts, waits a random time first,
    /// in which another one may take the lease.
    async fn is_unchanged(&self, version: u64) -> bool {
        if self.entries.borrow().are_at_most(MAX_FULL_RATE_POLLERS) {
            return true;
        }
        sleep(Duration::from_millis(fastrand::u64(0..TAKE_SPREAD_MS))).await;
        self.read().await.is_ok_and(|it| it.1 == version)
    }

    /// Returns whether a holder in this state, whose row is unchanged since this moment, leaves the lease to others. The
    /// row was read before the holder was asked; if the holder has written it since, the take fails.
    fn is_silent(&self, holder_state: HolderState, unchanged_since: Moment) -> bool {
        let margin = self.store.typical_latency() * SILENCE_RESPONSE_TIMES;
        let silence_ms = match holder_state {
            HolderState::Refusing => REFUSING_SILENCE_MS,
            _ => SILENCE_MS,
        };
        self.clock.now().since(unchanged_since) >= silence_ms + margin.as_millis() as u64
    }

    async fn lease_state(&self, row: &LeaseRow, unchanged_since: Moment) -> LeaseState {
        let was_self = row.holder == self.own.holder && row.incarnation != self.own.incarnation;
        if row.holder.is_empty() || was_self {
            return LeaseState::Free(HolderState::Stopped);
        }
        match query_holder(row).await {
            HolderState::Stopped => LeaseState::Free(HolderState::Stopped),
            it if self.is_silent(it, unchanged_since) => LeaseState::Free(HolderState::Unknown),
            HolderState::Refusing | HolderState::Unknown => LeaseState::Uncertain,
            HolderState::Active => LeaseState::Held,
        }
    }

    async fn take(
        &self,
        observed: &mut Observations,
        (former, version): (LeaseRow, u64),
        holder_state: HolderState,
    ) -> NextStep {
        // Whether pools are limited holds on until this process knows better.
        let (term, limited) = (former.term + 1, former.limited);
        let row = LeaseRow { term, change: 0, limited, ..self.own.clone() };
        // Set before the row is written: a process that reads the new row and asks must not be told an older term.
        self.term.set(row.term);
        match Lease::try_take(self.store.clone(), row.clone(), version).await {
            TakeOutcome::Held(lease) => return self.won(observed, lease, former, holder_state),
            // An earlier unanswered attempt may have taken the lease; the next poll finds out.
            TakeOutcome::Conflict if observed.unanswered.is_some() => {}
            TakeOutcome::Conflict => self.term.set(0),
            TakeOutcome::Unanswered => {
                observed.unanswered =
                    Some(UnansweredTake { row, after: version, former, holder_state });
            }
        }
        NextStep::Pause(RECHECK_INTERVAL_MS)
    }

    fn won(
        &self,
        observed: &Observations,
        lease: Lease,
        former: LeaseRow,
        holder_state: HolderState,
    ) -> NextStep {
        tracing::info!(event = "lease-taken", term = lease.term(), former = %former.holder);
        let taken = self.clock.now();
        let noticed = observed.noticed.unwrap_or(taken);
        let last_write_seen = observed.last.map_or(noticed, |it| it.1);
        NextStep::Won(Box::new(WonLease {
            lease,
            former,
            holder_state,
            last_write_seen,
            noticed,
            taken,
        }))
    }
}
