//! Weighted max-min division of slots.

use fuchsiamill_model::Slots;

/// One lane's claim to the slots of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LaneDemand {
    /// Its weight, at least one.
    pub share: u32,
    /// The slots that it can use.
    pub demand: Slots,
}

/// Divides `slots` among the claims, in slots and in the order of the claims.
///
/// No claim gets more than its demand. What a claim does not use goes to the others by weight, so
/// slots are left over only when every demand is met.
pub fn max_min(slots: Slots, claims: &[LaneDemand]) -> Vec<f64> {
    let per_weight = |claim: &LaneDemand| f64::from(claim.demand) / f64::from(claim.share);
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| per_weight(&claims[*a]).total_cmp(&per_weight(&claims[*b])));
    let mut given = vec![0.0; claims.len()];
    let mut left = f64::from(slots);
    let mut weights: f64 = claims.iter().map(|claim| f64::from(claim.share)).sum();
    for at in order {
        let share = f64::from(claims[at].share);
        given[at] = f64::from(claims[at].demand).min(left * share / weights);
        left -= given[at];
        weights -= share;
    }
    given
}
