//! Watches the lease and takes it when its holder is silent.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::Store;
use monoio::time::sleep;

use super::{
    entries::Entries,
    lease::{Lease, LeaseRow, decode},
    standing::{Holder, ask},
};
use crate::{clock::Clock, tables};

/// The pause between two looks at the lease.
const LOOK_MS: u64 = 400;

/// The pause between two looks while the holder does not tell its standing.
const DOUBT_MS: u64 = 100;

/// A holder changes its row each [`super::RENEW_MS`]; one that misses that several times is silent.
const SILENCE_MS: u64 = 1_000;

/// A slow store delays the holder's changes: this many of its answers are added.
const SILENCE_ANSWERS: u32 = 6;

/// How long a weak entry host leaves a free lease to stronger ones: two of their looks.
const COURTESY_MS: u64 = 900;

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

impl Election {
    /// Returns once this process holds the lease.
    pub async fn win(&self) -> Won {
        let mut last: Option<(u64, Moment)> = None;
        let mut takeable = None;
        loop {
            let mut is_doubtful = false;
            match self.store.read_row(&tables::lease_key()).await {
                Ok((row, _)) => {
                    let (row, version) =
                        row.map_or_else(Default::default, |it| (decode(&it.value), it.version));
                    let now = self.clock.now();
                    let since = match last {
                        Some((seen, since)) if seen == version => since,
                        _ => now,
                    };
                    last = Some((version, since));
                    let look = self.look(&row, now.since(since)).await;
                    is_doubtful = look != Look::Held;
                    takeable = match (look, takeable) {
                        (Look::Held | Look::Doubtful, _) => None,
                        (Look::Takeable(_), None) => Some(now),
                        (_, since) => since,
                    };
                    if let Look::Takeable(holder) = look
                        && takeable.is_some_and(|it| now.since(it) >= self.courtesy_ms())
                        && let Some(lease) = self.take(&row, version).await
                    {
                        return Won { lease, former: row, holder };
                    }
                }
                Err(e) => {
                    // The time without the store says nothing of the holder.
                    last = None;
                    tracing::debug!(event = "read-failed", what = "lease", error = %e);
                }
            }
            let pause = if is_doubtful { DOUBT_MS } else { LOOK_MS };
            sleep(Duration::from_millis(pause + fastrand::u64(0..pause / 4))).await;
        }
    }

    fn silence_ms(&self) -> u64 {
        let answers = self.store.usual_time() * SILENCE_ANSWERS;
        SILENCE_MS + answers.as_millis() as u64
    }

    /// How long to leave a free lease to stronger entry hosts.
    fn courtesy_ms(&self) -> u64 {
        if self.entries.borrow().stronger.is_empty() { 0 } else { COURTESY_MS }
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

    async fn take(&self, seen: &LeaseRow, version: u64) -> Option<Lease> {
        // Told before it is so: a process that reads the new row must not find a former term.
        self.term.set(seen.term + 1);
        let lease = Lease::take(self.store.clone(), (seen, version), &self.own).await;
        match &lease {
            Some(it) => {
                tracing::info!(event = "lease-taken", term = it.term(), former = %seen.holder, version);
            }
            None => self.term.set(0),
        }
        lease
    }
}
