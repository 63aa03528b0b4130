//! The demand: each pool in turn peaks to five times its mean, then falls to a twentieth.

use std::fmt;

use anyhow::Result;
use fastrand::Rng;
use fuchsiamill_model::{Millisecond, Units};

use super::{
    POOLS,
    driver::{ENTRIES, Request},
};
use crate::share_meter::Promise;

const PERIOD: Millisecond = 40_000;
const PEAK: Millisecond = PERIOD / POOLS as u64;
const SPAN: Millisecond = 2 * PERIOD;
/// Slots that the mean demand of a pool keeps busy.
const MEAN_SLOTS: f64 = 24.0;
const PEAK_FACTOR: f64 = 5.0;
const REST_FACTOR: f64 = 0.05;
const WORK_MEAN_MS: f64 = 100.0;
const SHORTEST_WORK: Millisecond = 5;
const LONGEST_WORK: Millisecond = 1_000;
const SHARES: [u32; 6] = [4, 4, 1, 1, 1, 1];
/// Percent of the requests that come from each team.
const PERCENT: [u32; 6] = [30, 30, 10, 10, 10, 10];
/// The same while one large team bursts.
const BURST_PERCENT: [u32; 6] = [60, 15, 7, 6, 6, 6];
const NO_LIMIT: Units = Units::MAX;
/// Percent of a team's requests that come through its two entry hosts when callers are skewed.
const SKEW_PERCENT: u8 = 75;

/// How callers are spread over the entry hosts and the teams.
#[derive(Clone, Copy, Debug)]
pub enum Spread {
    /// Each request to any of them.
    Even,
    /// Most requests of a team to two of them, as long-lived connections do.
    Skewed,
    /// Evenly over the entry hosts; one large team sends most of the requests.
    Burst,
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Spread::Even => "even",
            Spread::Skewed => "skewed",
            Spread::Burst => "one team bursts",
        })
    }
}

/// The teams: two large ones and four small ones.
pub fn teams() -> Result<Vec<Promise>> {
    let team = |(at, share): (usize, &u32)| {
        let team = format!("team-{at}").try_into()?;
        Ok(Promise { team, share: *share, upper_limit: NO_LIMIT })
    };
    SHARES.iter().enumerate().map(team).collect()
}

/// The requests of one pool in the order of their arrival.
pub fn requests(seed: u64, pool: usize, spread: Spread) -> Vec<Request> {
    let mut rng = Rng::with_seed(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let factor = if is_peak(pool, at as Millisecond) { PEAK_FACTOR } else { REST_FACTOR };
        at += exponential(&mut rng, WORK_MEAN_MS / (MEAN_SLOTS * factor));
        if at >= SPAN as f64 {
            return requests;
        }
        let team = pick_team(&mut rng, spread);
        let work = exponential(&mut rng, WORK_MEAN_MS) as Millisecond;
        let work = work.clamp(SHORTEST_WORK, LONGEST_WORK);
        let entry = pick_entry(&mut rng, team, spread);
        requests.push(Request::new(at as Millisecond, team, entry, work));
    }
}

fn is_peak(pool: usize, at: Millisecond) -> bool {
    (at % PERIOD) / PEAK == pool as u64
}

fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -(1.0 - rng.f64()).ln() * mean
}

fn pick_team(rng: &mut Rng, spread: Spread) -> usize {
    let mut left = rng.u32(..100);
    let percents = match spread {
        Spread::Even | Spread::Skewed => PERCENT,
        Spread::Burst => BURST_PERCENT,
    };
    for (team, percent) in percents.iter().enumerate() {
        if left < *percent {
            return team;
        }
        left -= percent;
    }
    0
}

fn pick_entry(rng: &mut Rng, team: usize, spread: Spread) -> usize {
    match spread {
        Spread::Skewed if rng.u8(..100) < SKEW_PERCENT => (team + rng.usize(..2)) % ENTRIES,
        _ => rng.usize(..ENTRIES),
    }
}
