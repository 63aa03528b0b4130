//! Measures how near the running work of each lane is to its share.

use fuchsiamill_model::{FastMap, Millisecond};

use super::Lane;

#[derive(Clone, Copy, Debug, Default)]
struct Integrals {
    entitled: f64,
    running: f64,
}

/// Nearness to share of each lane of a pool, over the time in which the pool was full.
///
/// With `r` the lane's running slots and `e` its weighted max-min part of the pool's slots at each
/// moment, nearness is the integral of `min(r, e)` divided by the integral of `e`: 1 if the lane
/// always had its part, less if other lanes ran in its place.
#[derive(Clone, Debug, Default)]
pub struct Nearness {
    lanes: FastMap<Lane, Integrals>,
}

impl Nearness {
    /// Adds a span of time in which a lane of a full pool was entitled to `entitled` slots and used `running`.
    pub fn add(&mut self, lane: &Lane, entitled: f64, running: f64, span: Millisecond) {
        let integrals = self.lanes.entry(lane.clone()).or_default();
        integrals.entitled += entitled * span as f64;
        integrals.running += running.min(entitled) * span as f64;
    }

    /// Returns the nearness of a lane, from 0 to 1; `None` if the lane was never entitled to slots.
    pub fn of(&self, lane: &Lane) -> Option<f64> {
        let integrals = self.lanes.get(lane)?;
        (integrals.entitled > 0.0).then(|| integrals.running / integrals.entitled)
    }

    /// Returns the lanes that were entitled to slots, with their nearness.
    pub fn iter(&self) -> impl Iterator<Item = (&Lane, f64)> {
        self.lanes.keys().filter_map(|lane| Some((lane, self.of(lane)?)))
    }
}
