//! Chooses among candidates by weighted cost.

use serde::{Deserialize, Serialize};

use super::timeline::Measures;

const MEASURES: usize = 4;
const MOVES: usize = 2;

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

/// The weighted cost of each candidate: every measure is taken relative to the first one's, moves
/// relative to the hosts that the plan is about.
///
/// A measure in which the first is zero is taken relative to the largest.
pub fn costs(weights: &Weights, hosts: usize, all: &[Measures]) -> Vec<f64> {
    let weights = [weights.buffer, weights.rollout, weights.moves, weights.share].map(f64::from);
    let rows: Vec<_> = all.iter().map(row).collect();
    let Some(first) = rows.first() else { return Vec::new() };
    let largest = |column: usize| rows.iter().map(|row| row[column]).fold(0.0, f64::max);
    let scale = |column: usize| match first[column] {
        _ if column == MOVES => hosts as f64,
        0.0 => largest(column),
        of_first => of_first,
    };
    let scales = [0, 1, 2, 3].map(scale);
    let relative = |value: f64, scale: f64| if scale == 0.0 { 0.0 } else { value / scale };
    let cost = |row: &[f64; MEASURES]| {
        (0..MEASURES).map(|at| weights[at] * relative(row[at], scales[at])).sum()
    };
    rows.iter().map(cost).collect()
}

fn row(measures: &Measures) -> [f64; MEASURES] {
    let Measures { buffer, rollout, moves, shortfall } = *measures;
    [f64::from(buffer), rollout as f64, f64::from(moves), f64::from(shortfall)]
}
