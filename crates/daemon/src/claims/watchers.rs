//! Repeats of a request that wait for the end of its claim at this host.

use fuchsiamill_policy::claims::{Batcher, ClaimId, ClaimKey, Progress};
use tokio::sync::oneshot;

use super::Seen;

/// A repeat that waits.
pub struct Watcher {
    /// The row of the claim.
    pub key: ClaimKey,
    /// The claim.
    pub id: ClaimId,
    /// Where its end is told.
    pub tx: oneshot::Sender<Seen>,
}

/// The repeats that wait at this host, in a bounded number.
pub struct Watchers {
    waiting: Vec<Watcher>,
    most: usize,
}

impl Watchers {
    /// At most `most` repeats wait.
    pub fn new(most: usize) -> Self {
        Self { waiting: Vec::new(), most }
    }

    /// Adds a repeat; one too many is told nothing.
    pub fn add(&mut self, watcher: Watcher) {
        self.waiting.retain(|it| !it.tx.is_closed());
        if self.waiting.len() < self.most {
            self.waiting.push(watcher);
        }
    }

    /// Tells the repeats whose claims have ended or are gone.
    pub fn tell(&mut self, batcher: &Batcher) {
        for watcher in std::mem::take(&mut self.waiting) {
            match seen(batcher, &watcher) {
                Seen::Running => self.waiting.push(watcher),
                ended => drop(watcher.tx.send(ended)),
            }
        }
    }
}

fn seen(batcher: &Batcher, watcher: &Watcher) -> Seen {
    match batcher.known(&watcher.key, &watcher.id) {
        None => Seen::Gone,
        Some(row) if row.progress == Progress::Claimed => Seen::Running,
        Some(row) => Seen::Row { row: row.clone() },
    }
}
