//! Measures how long the demand of a pool has been above its own slots, or well below them.

use fuchsiamill_model::{Millisecond, Moment};

use super::PoolLoad;

const PERCENT: u64 = 100;

/// The times since which the demand of a pool is high or low. Demand between the two thresholds is neither.
#[derive(Clone, Debug, Default)]
pub struct Hysteresis {
    high_since: Option<Moment>,
    low_since: Option<Moment>,
}

impl Hysteresis {
    /// Records the load of the pool at one moment.
    pub fn record(&mut self, load: &PoolLoad, low_percent: u32, now: Moment) {
        let low_threshold = u64::from(load.own_slots) * u64::from(low_percent) / PERCENT;
        let is_high = load.demand > load.own_slots;
        let is_low = u64::from(load.demand) <= low_threshold;
        self.high_since = is_high.then(|| self.high_since.unwrap_or(now));
        self.low_since = is_low.then(|| self.low_since.unwrap_or(now));
    }

    /// Returns how long demand has been above the pool's own slots; `None` if it is not.
    pub fn high_for(&self, now: Moment) -> Option<Millisecond> {
        self.high_since.map(|since| now.since(since))
    }

    /// Returns how long demand has been low enough to do without lent hosts; `None` if it is not.
    pub fn low_for(&self, now: Moment) -> Option<Millisecond> {
        self.low_since.map(|since| now.since(since))
    }
}
