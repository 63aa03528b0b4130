//! Weighted max-min fair division of slots.

use fuchsiamill_model::Slots;

/// The weight and the demand of one lane of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LaneDemand {
    /// The lane's weight, at least 1.
    pub share: u32,
    /// The slots that the lane could use.
    pub demand: Slots,
}

/// Divides `slots` among lanes; returns the slots of each, in the order of `demands`.
///
/// No lane gets more than its demand. Slots that a lane does not use go to the others by weight, so
/// slots remain only if every demand is met.
pub fn max_min(slots: Slots, demands: &[LaneDemand]) -> Vec<f64> {
    let per_weight = |lane: &LaneDemand| f64::from(lane.demand) / f64::from(lane.share);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| per_weight(&demands[*a]).total_cmp(&per_weight(&demands[*b])));
    let mut allocated = vec![0.0; demands.len()];
    let mut remaining = f64::from(slots);
    let mut weights: f64 = demands.iter().map(|lane| f64::from(lane.share)).sum();
    for index in order {
        let share = f64::from(demands[index].share);
        allocated[index] = f64::from(demands[index].demand).min(remaining * share / weights);
        remaining -= allocated[index];
        weights -= share;
    }
    allocated
}
