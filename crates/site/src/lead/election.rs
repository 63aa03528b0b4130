//! Watches the lease and takes it when its holder is silent.

use std::{rc::Rc, time::Duration};

use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::Store;
use monoio::time::sleep;

use super::lease::{Lease, LeaseRow, decode};
use crate::{clock::Clock, tables};

/// The pause between two looks at the lease.
const LOOK_MS: u64 = 400;

/// A holder changes its row each [`super::RENEW_MS`]; one that misses that several times is silent.
const SILENCE_MS: u64 = 1_900;

/// What a look at the lease suggests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Look {
    /// Somebody holds it.
    Held,
    /// It is free, or its holder is silent or a former run of this process.
    Takeable,
}

/// Waits until the lease is taken.
pub struct Election {
    /// The store.
    pub store: Rc<Store>,
    /// The clock.
    pub clock: Clock,
    /// How this process appears in the lease.
    pub own: LeaseRow,
}

impl Election {
    /// Returns the lease once this process holds it.
    pub async fn win(&self) -> Lease {
        let mut last: Option<(u64, Moment)> = None;
        loop {
            match self.store.read_row(&tables::lease_key()).await {
                Ok((row, _)) => {
                    let (lease, version) =
                        row.map_or_else(Default::default, |it| (decode(&it.value), it.version));
                    let now = self.clock.now();
                    let since = match last {
                        Some((seen, since)) if seen == version => since,
                        _ => now,
                    };
                    last = Some((version, since));
                    if self.look(&lease, now.since(since)) == Look::Takeable
                        && let Some(lease) = self.take(lease, version).await
                    {
                        return lease;
                    }
                }
                Err(e) => {
                    // The time without the store says nothing of the holder.
                    last = None;
                    tracing::debug!(event = "read-failed", what = "lease", error = %e);
                }
            }
            sleep(Duration::from_millis(LOOK_MS + fastrand::u64(0..LOOK_MS / 4))).await;
        }
    }

    fn look(&self, row: &LeaseRow, unchanged_ms: u64) -> Look {
        let was_self = row.holder == self.own.holder && row.incarnation != self.own.incarnation;
        if row.holder.is_empty() || was_self || unchanged_ms >= SILENCE_MS {
            Look::Takeable
        } else {
            Look::Held
        }
    }

    async fn take(&self, seen: LeaseRow, version: u64) -> Option<Lease> {
        let former = seen.holder.clone();
        let lease = Lease::take(self.store.clone(), (seen, version), &self.own).await?;
        tracing::info!(event = "lease-taken", term = lease.term(), former = %former, version);
        Some(lease)
    }
}
