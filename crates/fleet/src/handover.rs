//! Which entry host sends a start.
//!
//! The coordinator sends starts itself while its own calls are on time. Once they are late, its link or its processor
//! carries no more; the entry hosts that accepted the jobs, which have the payloads, then send the starts.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use crate::Name;

/// Starts are handed over for this long after the coordinator's own calls were last late. Switching back sooner would
/// fill its link again.
const HANDOVER_MS: Millisecond = 5_000;

/// The starts that one sender may have under way at first.
const FIRST_STARTS: usize = 16;

/// The least and the most starts that one sender may have under way.
const MIN_STARTS: usize = 4;
const MAX_STARTS: usize = 64;

/// The starts that may wait for a sender, as a multiple of those that it may have under way. Starts beyond that are sent
/// by the coordinator.
const WAITING_FACTOR: usize = 4;

/// A sender that answers later than this is given fewer starts.
const MAX_ANSWER_MS: Millisecond = 250;

/// A sender that did not answer gets no starts for this time.
const AVOID_MS: Millisecond = 2_000;

/// Who sends a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The coordinator.
    Own,
    /// The entry host at this address.
    Other(Name),
}

/// The starts that other entry hosts send for the coordinator.
#[derive(Debug, Default)]
pub struct Handover {
    /// Until when starts are handed over.
    until: Option<Moment>,
    senders: FastMap<Name, SenderLoad>,
}

#[derive(Debug)]
struct SenderLoad {
    /// Starts that wait until the sender has answered others.
    waiting: usize,
    /// Starts that the sender has and has not answered.
    under_way: usize,
    /// The most starts that the sender may have under way.
    most: usize,
    avoid_until: Moment,
}

impl Default for SenderLoad {
    fn default() -> Self {
        Self { waiting: 0, under_way: 0, most: FIRST_STARTS, avoid_until: Moment(0) }
    }
}

impl SenderLoad {
    fn room(&self, now: Moment) -> usize {
        match now < self.avoid_until {
            true => 0,
            false => self.most.saturating_sub(self.under_way + self.waiting),
        }
    }
}

impl Handover {
    /// Notes whether the coordinator's own calls are late.
    pub fn note_lateness(&mut self, is_late: bool, now: Moment) {
        if is_late {
            self.until = Some(now + HANDOVER_MS);
        }
    }

    /// Returns whether starts are handed over.
    pub fn is_active(&self, now: Moment) -> bool {
        self.until.is_some_and(|it| now < it)
    }

    /// Returns how many starts may be sent now, where the coordinator itself may send `own` and there are `others`
    /// other entry hosts.
    pub fn start_room(&self, own: usize, others: usize, now: Moment) -> usize {
        if !self.is_active(now) {
            return own;
        }
        let known: usize = self.senders.values().map(|it| it.room(now)).sum();
        own + known + others.saturating_sub(self.senders.len()) * FIRST_STARTS
    }

    /// Chooses the sender of a start of a job that the entry host at `accepted_by` has accepted. A start for another
    /// entry host waits until [`Handover::take`] returns it.
    pub fn choose(&mut self, accepted_by: &Name, now: Moment) -> Sender {
        if !self.is_active(now) || accepted_by.is_empty() {
            return Sender::Own;
        }
        let load = self.senders.entry(accepted_by.clone()).or_default();
        if now < load.avoid_until || load.waiting >= load.most * WAITING_FACTOR {
            return Sender::Own;
        }
        load.waiting += 1;
        Sender::Other(accepted_by.clone())
    }

    /// Returns how many of the starts that wait for a sender are handed to it now. They are under way until
    /// [`Handover::answered`] or [`Handover::failed`].
    pub fn take(&mut self, sender: &Name) -> usize {
        let Some(load) = self.senders.get_mut(sender) else { return 0 };
        let count = load.most.saturating_sub(load.under_way).min(load.waiting);
        load.waiting -= count;
        load.under_way += count;
        count
    }

    /// Notes that `starts` starts that waited for a sender are not sent.
    pub fn given_up(&mut self, sender: &Name, starts: usize) {
        if let Some(load) = self.senders.get_mut(sender) {
            load.waiting = load.waiting.saturating_sub(starts);
        }
    }

    /// Notes that a sender has answered `starts` starts, which took it `took_ms`.
    pub fn answered(&mut self, sender: &Name, starts: usize, took_ms: Millisecond) {
        let Some(load) = self.senders.get_mut(sender) else { return };
        load.under_way = load.under_way.saturating_sub(starts);
        load.most = match took_ms <= MAX_ANSWER_MS {
            true => (load.most + starts).min(MAX_STARTS),
            false => (load.most / 2).max(MIN_STARTS),
        };
    }

    /// Notes that a sender did not answer `starts` starts, or could not send them.
    pub fn failed(&mut self, sender: &Name, starts: usize, now: Moment) {
        let Some(load) = self.senders.get_mut(sender) else { return };
        load.under_way = load.under_way.saturating_sub(starts);
        load.most = MIN_STARTS;
        load.avoid_until = now + AVOID_MS;
    }
}
