//! Nearness to share and utilisation of one pool, from what ran and what waited at each moment.

use std::collections::BTreeMap;

use fuchsiamill_model::{Millisecond, Slots, TeamName, Units};
use fuchsiamill_policy::shares::{Lane, LaneDemand, Nearness, max_min};

/// A team and what it was promised.
#[derive(Clone, Debug)]
pub struct Promise {
    /// The team.
    pub team: TeamName,
    /// Its weight, at least one.
    pub share: u32,
    /// The most that it may have running.
    pub upper_limit: Units,
}

/// What a team has in a pool at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamLoad {
    /// Its requests that run at backend servers.
    pub running: Slots,
    /// Its requests that were sent and do not run yet.
    pub waiting: u32,
}

/// Integrals over the time that was added.
#[derive(Clone, Debug, Default)]
pub struct ShareMeter {
    nearness: Nearness,
    used: f64,
    usable: f64,
}

impl ShareMeter {
    /// Adds a span in which a pool of `slots` had these loads, in the order of the promises.
    ///
    /// Nearness counts the time in which more was wanted than the pool has slots.
    pub fn add(
        &mut self,
        slots: Slots,
        promises: &[Promise],
        loads: &[TeamLoad],
        span: Millisecond,
    ) {
        let claims: Vec<LaneDemand> =
            promises.iter().zip(loads).map(|(it, load)| claim(it, *load)).collect();
        let wanted: Slots = claims.iter().map(|it| it.demand).sum();
        let running: Slots = loads.iter().map(|it| it.running).sum();
        let usable = wanted.min(slots);
        self.used += f64::from(running.min(usable)) * span as f64;
        self.usable += f64::from(usable) * span as f64;
        if wanted <= slots {
            return;
        }
        let parts = max_min(slots, &claims);
        for ((promise, load), part) in promises.iter().zip(loads).zip(parts) {
            let lane = Lane::Team(promise.team.clone());
            self.nearness.add(&lane, part, f64::from(load.running), span);
        }
    }

    /// The part of the slots that could be used which were used, from 0 to 1.
    pub fn utilisation(&self) -> f64 {
        if self.usable > 0.0 { self.used / self.usable } else { 1.0 }
    }

    /// Nearness to share of each team that was entitled to something, from 0 to 1.
    pub fn nearness(&self) -> BTreeMap<TeamName, f64> {
        let team = |(lane, nearness): (&Lane, f64)| match lane {
            Lane::Team(team) => Some((team.clone(), nearness)),
            Lane::Open => None,
        };
        self.nearness.iter().filter_map(team).collect()
    }
}

fn claim(promise: &Promise, load: TeamLoad) -> LaneDemand {
    let demand = (load.running + load.waiting).min(promise.upper_limit).max(load.running);
    LaneDemand { share: promise.share, demand }
}
