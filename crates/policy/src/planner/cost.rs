//! Chooses among candidates by weighted cost.

use serde::{Deserialize, Serialize};

use super::timeline::Measures;

/// How heavily a site weighs each measure; 0 ignores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Slots held back.
    pub buffer: u32,
    /// Roll-out time.
    pub rollout: u32,
    /// Moves between pools.
    pub moves: u32,
    /// Distance from the teams' shares.
    pub share: u32,
}

/// The weighted cost of each candidate: every measure is taken relative to the candidates' largest.
pub fn costs(weights: &Weights, all: &[Measures]) -> Vec<f64> {
    let weights = [weights.buffer, weights.rollout, weights.moves, weights.share].map(f64::from);
    let rows: Vec<_> = all.iter().map(row).collect();
    let largest = |column: usize| rows.iter().map(|row| row[column]).fold(0.0, f64::max);
    let largest = [0, 1, 2, 3].map(largest);
    let relative = |value: f64, largest: f64| if largest == 0.0 { 0.0 } else { value / largest };
    let cost = |row: &[f64; 4]| {
        (0..row.len()).map(|at| weights[at] * relative(row[at], largest[at])).sum()
    };
    rows.iter().map(cost).collect()
}

fn row(measures: &Measures) -> [f64; 4] {
    let Measures { buffer, rollout, moves, shortfall } = *measures;
    [f64::from(buffer), rollout as f64, f64::from(moves), f64::from(shortfall)]
}
