//! Forecasts the next peak of a pool from the intervals between its last peaks.

use std::collections::VecDeque;

use fuchsiamill_model::{Millisecond, Moment, Slots};

use super::PoolLoad;

/// How many peaks of a pool are remembered.
const MAX_PEAKS: usize = 6;
/// How many peaks a forecast needs.
const MIN_PEAKS: usize = 4;
/// How far an interval may differ from the mean, in percent of the mean, for peaks to count as regular.
const MAX_DEVIATION_PERCENT: u64 = 20;
const PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Peak {
    began: Moment,
    excess: Slots,
}

/// The last peaks of one pool.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    peaks: VecDeque<Peak>,
    is_high: bool,
}

impl Forecast {
    /// Records the load of the pool at one moment.
    pub fn record(&mut self, load: &PoolLoad, now: Moment) {
        let excess = load.demand.saturating_sub(load.own_slots);
        let was_high = std::mem::replace(&mut self.is_high, excess > 0);
        if excess == 0 {
            return;
        }
        if !was_high {
            self.peaks.push_back(Peak { began: now, excess: 0 });
        }
        if self.peaks.len() > MAX_PEAKS {
            self.peaks.pop_front();
        }
        if let Some(peak) = self.peaks.back_mut() {
            peak.excess = peak.excess.max(excess);
        }
    }

    /// Returns by how many slots the last peak exceeded the pool's own slots; 0 if there was none.
    pub fn excess(&self) -> Slots {
        self.peaks.back().map_or(0, |peak| peak.excess)
    }

    /// Returns whether a peak is expected within `lead_time`, or is overdue by at most `lead_time`.
    pub fn is_due(&self, lead_time: Millisecond, now: Moment) -> bool {
        let Some(next) = self.next() else { return false };
        !self.is_high && now + lead_time >= next && now <= next + lead_time
    }

    /// Returns when the next peak is expected to begin; `None` unless the last peaks came at regular intervals.
    fn next(&self) -> Option<Moment> {
        if self.peaks.len() < MIN_PEAKS {
            return None;
        }
        let began = || self.peaks.iter().map(|peak| peak.began);
        let intervals: Vec<_> =
            began().zip(began().skip(1)).map(|(earlier, later)| later.since(earlier)).collect();
        let mean = intervals.iter().sum::<u64>() / intervals.len() as u64;
        let max_deviation = intervals.iter().map(|it| it.abs_diff(mean)).max()?;
        let is_regular = max_deviation * PERCENT <= mean * MAX_DEVIATION_PERCENT;
        let last = self.peaks.back()?.began;
        is_regular.then(|| last + mean)
    }
}
