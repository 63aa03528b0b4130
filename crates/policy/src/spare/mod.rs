//! When the spare pool lends hosts to a pool with a peak, and when it takes them back.

mod forecast;
mod hysteresis;

use fuchsiamill_model::{FastMap, Millisecond, Moment, PoolName, Slots};

use forecast::Forecast;
use hysteresis::Hysteresis;

/// How the spare pool decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Hosts stay in the spare pool.
    Never,
    /// Hosts follow load that has lasted.
    Reactive,
    /// Hosts go ahead of peaks that return at even intervals, and follow load that has lasted.
    Forecasting,
}

/// Time limits that keep hosts from swinging between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareLimits {
    /// How long a pool must be over its slots before it is lent hosts, in milliseconds.
    pub lend_after: Millisecond,
    /// How long a pool must do without its lent hosts before they are taken back, in milliseconds.
    pub take_back_after: Millisecond,
    /// The part of its own slots that a pool may use while that is counted, in percent.
    pub low_percent: u32,
    /// The least time between two decisions on one pool, in milliseconds.
    pub min_interval: Millisecond,
    /// How long before a forecast peak hosts are lent, in milliseconds.
    pub lead_time: Millisecond,
}

/// What is known of a pool at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolName,
    /// Requests that run or are queued.
    pub demand: Slots,
    /// The slots of the pool's own serving hosts.
    pub own_slots: Slots,
    /// The hosts lent to it, those on their way included.
    pub lent_hosts: u32,
}

/// What the spare pool does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpareDecision {
    /// Nothing.
    Keep,
    /// It lends hosts.
    Lend {
        /// The pool that receives.
        to: PoolName,
        /// How many.
        hosts: u32,
    },
    /// It takes hosts back.
    TakeBack {
        /// The pool that gives.
        from: PoolName,
        /// How many.
        hosts: u32,
    },
}

#[derive(Clone, Debug, Default)]
struct Track {
    hysteresis: Hysteresis,
    forecast: Forecast,
    decided_at: Option<Moment>,
}

/// Decides for one spare pool.
#[derive(Clone, Debug)]
pub struct SparePool {
    strategy: Strategy,
    limits: SpareLimits,
    host_slots: Slots,
    tracks: FastMap<PoolName, Track>,
}

impl SparePool {
    /// A spare pool whose hosts have `host_slots` slots each, at least one.
    pub fn new(strategy: Strategy, limits: SpareLimits, host_slots: Slots) -> Self {
        Self { strategy, limits, host_slots, tracks: FastMap::default() }
    }

    /// What to do next with `free` hosts at hand; hosts are taken back before others are lent.
    pub fn next(&mut self, loads: &[PoolLoad], free: u32, now: Moment) -> SpareDecision {
        if self.strategy == Strategy::Never {
            return SpareDecision::Keep;
        }
        for load in loads {
            let track = self.tracks.entry(load.pool.clone()).or_default();
            track.hysteresis.note(load, self.limits.low_percent, now);
            track.forecast.note(load, now);
        }
        let next = self.take_back(loads, now).or_else(|| self.lend(loads, free, now));
        next.unwrap_or(SpareDecision::Keep)
    }

    fn is_settled(&self, track: &Track, now: Moment) -> bool {
        track.decided_at.is_none_or(|at| now.since(at) >= self.limits.min_interval)
    }

    fn take_back(&mut self, loads: &[PoolLoad], now: Moment) -> Option<SpareDecision> {
        let due = |load: &&PoolLoad| {
            let track = &self.tracks[&load.pool];
            load.lent_hosts > 0
                && self.is_settled(track, now)
                && track.hysteresis.low_for(now) >= Some(self.limits.take_back_after)
                && !self.is_expected(track, now)
        };
        let load = loads.iter().find(due)?;
        self.decided(&load.pool, now);
        Some(SpareDecision::TakeBack { from: load.pool.clone(), hosts: load.lent_hosts })
    }

    fn lend(&mut self, loads: &[PoolLoad], free: u32, now: Moment) -> Option<SpareDecision> {
        let wanted = |load: &PoolLoad| {
            let track = &self.tracks[&load.pool];
            if !self.is_settled(track, now) {
                return 0;
            }
            let over = match track.hysteresis.high_for(now) >= Some(self.limits.lend_after) {
                true => load.demand.saturating_sub(load.own_slots),
                false if self.is_expected(track, now) => track.forecast.height(),
                false => 0,
            };
            over.div_ceil(self.host_slots).saturating_sub(load.lent_hosts)
        };
        let load = loads.iter().max_by_key(|load| wanted(load))?;
        let hosts = wanted(load).min(free);
        if hosts == 0 {
            return None;
        }
        self.decided(&load.pool, now);
        Some(SpareDecision::Lend { to: load.pool.clone(), hosts })
    }

    fn is_expected(&self, track: &Track, now: Moment) -> bool {
        self.strategy == Strategy::Forecasting && track.forecast.is_due(self.limits.lead_time, now)
    }

    fn decided(&mut self, pool: &PoolName, now: Moment) {
        if let Some(track) = self.tracks.get_mut(pool) {
            track.decided_at = Some(now);
        }
    }
}
