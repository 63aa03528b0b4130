//! For how long a pool has been over its slots, or well below them.

use fuchsiamill_model::{Millisecond, Moment};

use super::PoolLoad;

const PERCENT: u64 = 100;

/// Since when a pool is high or low. Between the two nothing changes.
#[derive(Clone, Debug, Default)]
pub struct Hysteresis {
    high_since: Option<Moment>,
    low_since: Option<Moment>,
}

impl Hysteresis {
    /// Takes note of a load.
    pub fn note(&mut self, load: &PoolLoad, low_percent: u32, now: Moment) {
        let low = u64::from(load.own_slots) * u64::from(low_percent) / PERCENT;
        let is_high = load.demand > load.own_slots;
        let is_low = u64::from(load.demand) <= low;
        self.high_since = is_high.then(|| self.high_since.unwrap_or(now));
        self.low_since = is_low.then(|| self.low_since.unwrap_or(now));
    }

    /// For how long it has been over its own slots, in milliseconds.
    pub fn high_for(&self, now: Moment) -> Option<Millisecond> {
        self.high_since.map(|since| now.since(since))
    }

    /// For how long it has done without lent hosts, in milliseconds.
    pub fn low_for(&self, now: Moment) -> Option<Millisecond> {
        self.low_since.map(|since| now.since(since))
    }
}
