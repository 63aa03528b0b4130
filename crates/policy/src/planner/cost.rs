//! Weighted costs of candidates.

use serde::{Deserialize, Serialize};

use super::timeline::Measures;

const MEASURE_COUNT: usize = 4;
const MOVES_COLUMN: usize = 2;

/// The weight that a site gives to each measure; 0 ignores the measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the buffer, the slots out of service or lent.
    pub buffer: u32,
    /// Weight of the roll-out time.
    pub rollout: u32,
    /// Weight of moves between pools.
    pub moves: u32,
    /// Weight of the shortfall, the loss of serving slots, which the teams' shares divide.
    pub share: u32,
}

/// Returns the weighted cost of each candidate.
///
/// Each measure is scaled by its value in the first candidate, or by the largest value if that is zero; moves are
/// scaled by the number of hosts in the plan's scope.
pub fn costs(weights: &Weights, hosts: usize, all: &[Measures]) -> Vec<f64> {
    let weights = [weights.buffer, weights.rollout, weights.moves, weights.share].map(f64::from);
    let rows: Vec<_> = all.iter().map(row).collect();
    let Some(first) = rows.first() else { return Vec::new() };
    let largest = |column: usize| rows.iter().map(|row| row[column]).fold(0.0, f64::max);
    let scale = |column: usize| match first[column] {
        _ if column == MOVES_COLUMN => hosts as f64,
        0.0 => largest(column),
        first_value => first_value,
    };
    let scales = [0, 1, 2, 3].map(scale);
    let relative = |value: f64, scale: f64| if scale == 0.0 { 0.0 } else { value / scale };
    let cost = |row: &[f64; MEASURE_COUNT]| {
        (0..MEASURE_COUNT).map(|at| weights[at] * relative(row[at], scales[at])).sum()
    };
    rows.iter().map(cost).collect()
}

fn row(measures: &Measures) -> [f64; MEASURE_COUNT] {
    let Measures { buffer, rollout, moves, shortfall } = *measures;
    [f64::from(buffer), rollout as f64, f64::from(moves), f64::from(shortfall)]
}
