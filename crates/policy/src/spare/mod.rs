//! Decides when the spare pool lends hosts to a pool with high demand, and when it takes them back.

mod forecast;
mod hysteresis;

use fuchsiamill_model::{FastMap, Millisecond, Moment, PoolName, Slots};

use forecast::Forecast;
use hysteresis::Hysteresis;

/// The strategy by which hosts are lent and taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// No hosts are lent.
    Never,
    /// Hosts are lent to pools whose load has been high for a while.
    Reactive,
    /// As with `Reactive`, and hosts are also lent ahead of peaks that come at regular intervals.
    Forecasting,
}

/// Limits that keep hosts from moving back and forth between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareLimits {
    /// How long demand must exceed a pool's own slots before hosts are lent to it, in milliseconds.
    pub lend_after: Millisecond,
    /// How long demand must be low before lent hosts are taken back, in milliseconds.
    pub take_back_after: Millisecond,
    /// Demand counts as low up to this percentage of the pool's own slots.
    pub low_percent: u32,
    /// The minimum time between two decisions on one pool, in milliseconds.
    pub min_interval: Millisecond,
    /// How long before a forecast peak hosts are lent, in milliseconds; also how overdue a peak may be.
    pub lead_time: Millisecond,
}

/// The load of a pool at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolName,
    /// The running and queued requests, each of which needs a slot.
    pub demand: Slots,
    /// The slots of the pool's own serving hosts.
    pub own_slots: Slots,
    /// The hosts lent to the pool, including those still on their way.
    pub lent_hosts: u32,
}

/// The next action of the spare pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpareDecision {
    /// Move no hosts.
    Keep,
    /// Lend hosts.
    Lend {
        /// The pool that receives the hosts.
        to: PoolName,
        /// The number of hosts.
        hosts: u32,
    },
    /// Take lent hosts back.
    TakeBack {
        /// The pool that returns the hosts.
        from: PoolName,
        /// The number of hosts.
        hosts: u32,
    },
}

#[derive(Clone, Debug, Default)]
struct PoolHistory {
    hysteresis: Hysteresis,
    forecast: Forecast,
    decided_at: Option<Moment>,
}

/// Makes the decisions for one spare pool.
#[derive(Clone, Debug)]
pub struct SparePool {
    strategy: Strategy,
    limits: SpareLimits,
    host_slots: Slots,
    histories: FastMap<PoolName, PoolHistory>,
}

impl SparePool {
    /// Creates a spare pool whose hosts have `host_slots` slots each, at least 1.
    pub fn new(strategy: Strategy, limits: SpareLimits, host_slots: Slots) -> Self {
        Self { strategy, limits, host_slots, histories: FastMap::default() }
    }

    /// Returns the next action, with `free` hosts in the spare pool. Taking hosts back has priority over lending.
    pub fn next(&mut self, loads: &[PoolLoad], free: u32, now: Moment) -> SpareDecision {
        if self.strategy == Strategy::Never {
            return SpareDecision::Keep;
        }
        for load in loads {
            let history = self.histories.entry(load.pool.clone()).or_default();
            history.hysteresis.record(load, self.limits.low_percent, now);
            history.forecast.record(load, now);
        }
        let next = self.take_back(loads, now).or_else(|| self.lend(loads, free, now));
        next.unwrap_or(SpareDecision::Keep)
    }

    fn may_decide(&self, history: &PoolHistory, now: Moment) -> bool {
        history.decided_at.is_none_or(|at| now.since(at) >= self.limits.min_interval)
    }

    fn take_back(&mut self, loads: &[PoolLoad], now: Moment) -> Option<SpareDecision> {
        let due = |load: &&PoolLoad| {
            let history = &self.histories[&load.pool];
            load.lent_hosts > 0
                && self.may_decide(history, now)
                && history.hysteresis.low_for(now) >= Some(self.limits.take_back_after)
                && !self.is_peak_expected(history, now)
        };
        let load = loads.iter().find(due)?;
        self.record_decision(&load.pool, now);
        Some(SpareDecision::TakeBack { from: load.pool.clone(), hosts: load.lent_hosts })
    }

    fn lend(&mut self, loads: &[PoolLoad], free: u32, now: Moment) -> Option<SpareDecision> {
        let wanted_hosts = |load: &PoolLoad| {
            let history = &self.histories[&load.pool];
            if !self.may_decide(history, now) {
                return 0;
            }
            let excess = match history.hysteresis.high_for(now) >= Some(self.limits.lend_after) {
                true => load.demand.saturating_sub(load.own_slots),
                false if self.is_peak_expected(history, now) => history.forecast.excess(),
                false => 0,
            };
            excess.div_ceil(self.host_slots).saturating_sub(load.lent_hosts)
        };
        let load = loads.iter().max_by_key(|load| wanted_hosts(load))?;
        let hosts = wanted_hosts(load).min(free);
        if hosts == 0 {
            return None;
        }
        self.record_decision(&load.pool, now);
        Some(SpareDecision::Lend { to: load.pool.clone(), hosts })
    }

    fn is_peak_expected(&self, history: &PoolHistory, now: Moment) -> bool {
        self.strategy == Strategy::Forecasting
            && history.forecast.is_due(self.limits.lead_time, now)
    }

    fn record_decision(&mut self, pool: &PoolName, now: Moment) {
        if let Some(history) = self.histories.get_mut(pool) {
            history.decided_at = Some(now);
        }
    }
}
