//! A run that may be at a worker.

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::Name;

/// A run that takes room on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// The worker.
    pub worker: Name,
    /// The worker's birth.
    pub born: u64,
    /// What is known of the run.
    pub phase: Phase,
    /// When the last order about it was given.
    pub since: Moment,
    /// When it was last seen at work: running, and with its whole speed if it lasts.
    pub at_work: Option<Moment>,
    /// Its progress in per cent, and since when it is that.
    pub progress: Option<(u32, Moment)>,
    /// The speed that was ordered.
    pub speed: Speed,
    /// When its stop was last ordered, unless that is known to have failed.
    pub stop_ordered: Option<Moment>,
}

/// What is known of a run's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speed {
    /// Nothing else was ordered.
    #[default]
    Full,
    /// This was ordered.
    Ordered(PaceSet),
    /// A former coordinator may have ordered something, or an order was not answered.
    Unknown,
}

impl Speed {
    /// The part of the full speed, in per cent, as far as it is known.
    pub fn percent(self) -> u32 {
        match self {
            Speed::Ordered(it) => it.percent,
            Speed::Full | Speed::Unknown => FULL_PERCENT,
        }
    }
}

/// The full speed, in per cent.
pub const FULL_PERCENT: u32 = 100;

/// An order to work at a part of the full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSet {
    /// When it was given.
    pub at: Moment,
    /// The part, in per cent.
    pub percent: u32,
}

/// How long a report that a task is at work holds; workers with tasks are looked at every second.
const AT_WORK_MS: Millisecond = 2_200;

impl Live {
    /// Whether its users are served by it.
    pub fn is_serving(&self, now: Moment) -> bool {
        let is_fresh = self.at_work.is_some_and(|it| now.since(it) <= AT_WORK_MS);
        is_fresh && self.phase == Phase::Running
    }
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The order waits for its record to be stored.
    Recorded,
    /// The order was sent and not answered.
    Sent,
    /// The worker has it.
    Running,
    /// A stop was sent and not answered.
    Stopping,
    /// The worker has confirmed a stop at this moment; the end is not listed yet.
    StopConfirmed,
    /// An earlier coordinator recorded it; the worker was not asked yet.
    Inherited,
}
