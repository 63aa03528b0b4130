//! How near running work comes to the shares.

use fuchsiamill_model::{FastMap, Millisecond};

use super::Lane;

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    entitled: f64,
    had: f64,
}

/// Nearness to share of each lane of a pool, over the time in which the pool was full.
///
/// With `r` the lane's running slots and `e` its weighted max-min part of the pool's slots at each
/// moment, nearness is the integral of `min(r, e)` over the integral of `e`: 1 when the lane always
/// had its part, less when others ran in its place.
#[derive(Clone, Debug, Default)]
pub struct Nearness {
    lanes: FastMap<Lane, Sums>,
}

impl Nearness {
    /// Adds a span in which a lane of a full pool was entitled to slots and had some running.
    pub fn add(&mut self, lane: &Lane, entitled: f64, running: f64, span: Millisecond) {
        let sums = self.lanes.entry(lane.clone()).or_default();
        sums.entitled += entitled * span as f64;
        sums.had += running.min(entitled) * span as f64;
    }

    /// The nearness of a lane from 0 to 1, or `None` when it was never entitled to anything.
    pub fn of(&self, lane: &Lane) -> Option<f64> {
        let sums = self.lanes.get(lane)?;
        (sums.entitled > 0.0).then(|| sums.had / sums.entitled)
    }

    /// The lanes that were entitled to something, with their nearness.
    pub fn iter(&self) -> impl Iterator<Item = (&Lane, f64)> {
        self.lanes.keys().filter_map(|lane| Some((lane, self.of(lane)?)))
    }
}
