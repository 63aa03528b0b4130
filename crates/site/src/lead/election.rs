//! Watches the lease and takes it when its holder is silent.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::Store;
use monoio::time::sleep;

use super::{
    entries::{Entries, LOOK_MS, LOOKERS},
    lease::{Lease, LeaseRow, Taken, decode},
    standing::{Holder, ask},
};
use crate::{clock::Clock, tables};

/// Takes of a free lease by many entry hosts are spread over so long: a part of the store makes some 150 changes a
/// second, and a take that waits behind others is given up as unanswered.
const SPREAD_MS: u64 = 250;

/// The pause between two looks while the holder does not tell its standing.
const DOUBT_MS: u64 = 100;

/// A holder changes its row each [`super::RENEW_MS`]; one that misses that several times is silent.
const SILENCE_MS: u64 = 1_000;

/// A slow store delays the holder's changes: this many of its answers are added.
const SILENCE_ANSWERS: u32 = 6;

/// What a look at the lease suggests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Look {
    /// Somebody holds it.
    Held,
    /// Its holder does not tell, and was not silent for long enough.
    Doubtful,
    /// It can be taken; what is known of its former holder.
    Takeable(Holder),
}

/// Waits until the lease is taken.
pub struct Election {
    /// The store.
    pub store: Rc<Store>,
    /// The clock.
    pub clock: Clock,
    /// How this process appears in the lease.
    pub own: LeaseRow,
    /// The term that this process tells others.
    pub term: Rc<Cell<u64>>,
    /// Entry hosts that should rather coordinate.
    pub entries: Entries,
}

/// The lease, and what is known of its former holder.
pub struct Won {
    /// The lease.
    pub lease: Lease,
    /// The former holder.
    pub former: LeaseRow,
    /// What is known of it.
    pub holder: Holder,
}

/// A try to take the lease that was not answered.
struct Tried {
    row: LeaseRow,
    /// The version that it was to follow on: with another one it never takes effect any more.
    after: u64,
    former: LeaseRow,
    holder: Holder,
}

/// What this process has seen of the lease.
#[derive(Default)]
struct Watch {
    /// The version of the row, and since when it is that.
    last: Option<(u64, Moment)>,
    /// Since when the lease can be taken.
    takeable: Option<Moment>,
    tried: Option<Tried>,
}

enum Next {
    Won(Won),
    Pause(u64),
}

impl Watch {
    fn unchanged_ms(&mut self, version: u64, now: Moment) -> u64 {
        let since = match self.last {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.last = Some((version, since));
        now.since(since)
    }
}

impl Election {
    /// Returns once this process holds the lease.
    pub async fn win(&self) -> Won {
        let mut watch = Watch::default();
        loop {
            let next = match self.read().await {
                Ok((row, version, store_ms)) => {
                    self.consider(&mut watch, row, version, store_ms).await
                }
                Err(e) => {
                    // The time without the store says nothing of the holder.
                    watch.last = None;
                    tracing::debug!(event = "read-failed", what = "lease", error = %e);
                    Next::Pause(LOOK_MS)
                }
            };
            match next {
                Next::Won(won) => return won,
                Next::Pause(ms) => {
                    sleep(Duration::from_millis(ms + fastrand::u64(0..ms / 4))).await;
                }
            }
        }
    }

    /// The row, its version and the store's clock.
    async fn read(&self) -> fuchsiamill_platform::Result<(LeaseRow, u64, u64)> {
        let (row, store_ms) = self.store.read_row(&tables::lease_key()).await?;
        let (row, version) =
            row.map_or_else(Default::default, |it| (decode(&it.value), it.version));
        Ok((row, version, store_ms))
    }

    async fn consider(
        &self,
        watch: &mut Watch,
        row: LeaseRow,
        version: u64,
        store_ms: u64,
    ) -> Next {
        if let Some(it) = watch.tried.take_if(|it| it.row == row) {
            let lease = Lease::taken_before(self.store.clone(), row, version, store_ms);
            return self.won(lease, it.former, it.holder);
        }
        if watch.tried.take_if(|it| it.after != version).is_some() {
            self.term.set(0);
        }
        let now = self.clock.now();
        let unchanged_ms = watch.unchanged_ms(version, now);
        let holder = match self.look(&row, unchanged_ms).await {
            Look::Takeable(holder) => holder,
            look => {
                watch.takeable = None;
                let look_ms = self.entries.borrow().look_ms();
                return Next::Pause(if look == Look::Held { look_ms } else { DOUBT_MS });
            }
        };
        let since = *watch.takeable.get_or_insert(now);
        let courtesy_ms = self.entries.borrow().courtesy_ms();
        if now.since(since) < courtesy_ms || !self.is_still(version).await {
            return Next::Pause(DOUBT_MS);
        }
        self.take(watch, (row, version), holder).await
    }

    /// Whether the lease is unchanged after a time in which others may take it, if they may be many.
    async fn is_still(&self, version: u64) -> bool {
        if self.entries.borrow().are_few(LOOKERS) {
            return true;
        }
        sleep(Duration::from_millis(fastrand::u64(0..SPREAD_MS))).await;
        self.read().await.is_ok_and(|it| it.1 == version)
    }

    fn silence_ms(&self) -> u64 {
        let answers = self.store.typical_latency() * SILENCE_ANSWERS;
        SILENCE_MS + answers.as_millis() as u64
    }

    async fn look(&self, row: &LeaseRow, unchanged_ms: u64) -> Look {
        let was_self = row.holder == self.own.holder && row.incarnation != self.own.incarnation;
        if row.holder.is_empty() || was_self {
            return Look::Takeable(Holder::Over);
        }
        match ask(row).await {
            Holder::Over => Look::Takeable(Holder::Over),
            _ if unchanged_ms >= self.silence_ms() => Look::Takeable(Holder::Unknown),
            Holder::Unknown => Look::Doubtful,
            Holder::Leads => Look::Held,
        }
    }

    async fn take(
        &self,
        watch: &mut Watch,
        (former, version): (LeaseRow, u64),
        holder: Holder,
    ) -> Next {
        let row = LeaseRow { term: former.term + 1, change: 0, ..self.own.clone() };
        // Told before it is so: a process that reads the new row must not find a former term.
        self.term.set(row.term);
        match Lease::take(self.store.clone(), row.clone(), version).await {
            Taken::Held(lease) => return self.won(lease, former, holder),
            // An earlier try may have taken it: the next look tells.
            Taken::Missed if watch.tried.is_some() => {}
            Taken::Missed => self.term.set(0),
            Taken::Unanswered => {
                watch.tried = Some(Tried { row, after: version, former, holder });
            }
        }
        Next::Pause(DOUBT_MS)
    }

    fn won(&self, lease: Lease, former: LeaseRow, holder: Holder) -> Next {
        tracing::info!(event = "lease-taken", term = lease.term(), former = %former.holder);
        Next::Won(Won { lease, former, holder })
    }
}
