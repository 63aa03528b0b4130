//! Forecasts the next peak of a pool from the intervals between its last ones.

use std::collections::VecDeque;

use fuchsiamill_model::{Millisecond, Moment, Slots};

use super::PoolLoad;

const PEAKS_KEPT: usize = 6;
const PEAKS_NEEDED: usize = 4;
const MOST_SPREAD_PERCENT: u64 = 20;
const PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Peak {
    began: Moment,
    height: Slots,
}

/// The last peaks of one pool.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    peaks: VecDeque<Peak>,
    is_high: bool,
}

impl Forecast {
    /// Takes note of a load.
    pub fn note(&mut self, load: &PoolLoad, now: Moment) {
        let over = load.demand.saturating_sub(load.own_slots);
        let was_high = std::mem::replace(&mut self.is_high, over > 0);
        if over == 0 {
            return;
        }
        if !was_high {
            self.peaks.push_back(Peak { began: now, height: 0 });
        }
        if self.peaks.len() > PEAKS_KEPT {
            self.peaks.pop_front();
        }
        if let Some(peak) = self.peaks.back_mut() {
            peak.height = peak.height.max(over);
        }
    }

    /// By how many slots the last peak went over the pool's own.
    pub fn height(&self) -> Slots {
        self.peaks.back().map_or(0, |peak| peak.height)
    }

    /// Whether a peak is expected within `lead`, or was and is not yet late by as much.
    pub fn is_due(&self, lead: Millisecond, now: Moment) -> bool {
        let Some(next) = self.next() else { return false };
        !self.is_high && now + lead >= next && now <= next + lead
    }

    /// When the next peak begins, if the last ones came at even intervals.
    fn next(&self) -> Option<Moment> {
        if self.peaks.len() < PEAKS_NEEDED {
            return None;
        }
        let began = || self.peaks.iter().map(|peak| peak.began);
        let intervals: Vec<_> =
            began().zip(began().skip(1)).map(|(one, next)| next.since(one)).collect();
        let mean = intervals.iter().sum::<u64>() / intervals.len() as u64;
        let widest = intervals.iter().map(|it| it.abs_diff(mean)).max()?;
        let is_even = widest * PERCENT <= mean * MOST_SPREAD_PERCENT;
        let last = self.peaks.back()?.began;
        is_even.then(|| last + mean)
    }
}
