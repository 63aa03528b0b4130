//! Logs how long each part of a takeover took.

use fuchsiamill_fleet::Name;
use fuchsiamill_model::units::Moment;

use super::election::WonLease;

/// The moments of a takeover, from the former coordinator's last write to the first start that is sent.
#[derive(Debug)]
pub struct TakeoverLog {
    term: u64,
    former: Name,
    last_write_seen: Moment,
    noticed: Moment,
    taken: Moment,
    loaded: Moment,
    polled: Option<Moment>,
    /// When the record of the first start was sent to the store, right after its placement, and when it was stored.
    recorded: Option<(Moment, Moment)>,
    is_done: bool,
}

impl TakeoverLog {
    /// Starts from the lease that was won, whose state was read at `loaded`.
    pub fn new(won: &WonLease, loaded: Moment) -> Self {
        Self {
            term: won.lease.term(),
            former: won.former.holder.clone(),
            last_write_seen: won.last_write_seen,
            noticed: won.noticed.max(won.last_write_seen),
            taken: won.taken,
            loaded,
            polled: None,
            recorded: None,
            is_done: false,
        }
    }

    /// Notes an answer of a worker.
    pub fn note_polled(&mut self, now: Moment) {
        self.polled.get_or_insert(now);
    }

    /// Notes a start that may be sent, whose record was sent to the store at `placed` and stored at `stored`.
    pub fn note_recorded(&mut self, placed: Moment, stored: Moment) {
        self.recorded.get_or_insert((placed, stored));
    }

    /// Notes that `count` starts were sent to workers or handed to other entry hosts.
    pub fn note_sent(&mut self, count: usize, now: Moment) {
        if self.is_done || count == 0 {
            return;
        }
        let Some((placed, recorded)) = self.recorded else { return };
        let polled = self.polled.unwrap_or(placed);
        self.is_done = true;
        tracing::info!(
            event = "takeover-done",
            term = self.term,
            former = %self.former,
            noticed_ms = self.noticed.since(self.last_write_seen),
            taken_ms = self.taken.since(self.noticed),
            loaded_ms = self.loaded.since(self.taken),
            polled_ms = polled.since(self.loaded),
            placed_ms = placed.since(polled),
            recorded_ms = recorded.since(placed),
            sent_ms = now.since(recorded),
            total_ms = now.since(self.last_write_seen),
        );
    }
}
