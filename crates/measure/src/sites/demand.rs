//! The requests of a run: the same for each way to serve them.

use std::time::Duration;

use fastrand::Rng;
use fuchsiamill_model::Millisecond;

use super::profile::{Profile, SERVING_POOLS};

/// Entry hosts of a site.
pub const ENTRIES: usize = 8;
/// How long requests are sent.
pub const SPAN: Millisecond = PHASES * PHASE;
/// How long a request runs at its backend server.
pub const WORK: Duration = Duration::from_millis(200);

/// One phase for the peak of each serving pool and one in which none peaks.
const PHASES: u64 = SERVING_POOLS as u64 + 1;
const PHASE: Millisecond = 3_000;
const MEAN_SLOTS: f64 = 24.0;
const PEAK_FACTOR: f64 = 5.0;
const REST_FACTOR: f64 = 0.05;
const ONCE_PERCENT: u8 = 20;

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It may.
    Idempotent,
    /// It carries an idempotency key and runs at most once.
    Once,
}

/// One request to come.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its number.
    pub number: usize,
    /// When it is sent, from the beginning of the run.
    pub at: Millisecond,
    /// The pool that serves it.
    pub pool: usize,
    /// The team that sends it.
    pub team: usize,
    /// The entry host that the balancer gives it to.
    pub entry: usize,
    /// Whether it may be sent again.
    pub mark: Mark,
}

/// The requests of a site in the order of their sending.
pub fn arrivals(profile: &Profile, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed);
    let mut arrivals: Vec<Arrival> =
        (0..SERVING_POOLS).flat_map(|pool| of_pool(profile, pool, &mut rng)).collect();
    arrivals.sort_by_key(|it| it.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number;
    }
    arrivals
}

fn of_pool(profile: &Profile, pool: usize, rng: &mut Rng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let is_peak = at as Millisecond / PHASE == pool as u64;
        let factor = if is_peak { PEAK_FACTOR } else { REST_FACTOR };
        let mean_pause = WORK.as_millis() as f64 / (MEAN_SLOTS * factor);
        at -= (1.0 - rng.f64()).ln() * mean_pause;
        if at >= SPAN as f64 {
            return arrivals;
        }
        let mark = if rng.u8(..100) < ONCE_PERCENT { Mark::Once } else { Mark::Idempotent };
        let (team, entry) = (pick_team(profile, rng), rng.usize(..ENTRIES));
        arrivals.push(Arrival { number: 0, at: at as Millisecond, pool, team, entry, mark });
    }
}

fn pick_team(profile: &Profile, rng: &mut Rng) -> usize {
    let mut left = rng.u32(..100);
    for (team, percent) in profile.percent.iter().enumerate() {
        if left < *percent {
            return team;
        }
        left -= percent;
    }
    0
}
