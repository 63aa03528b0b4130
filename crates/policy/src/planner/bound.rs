//! Lower bound of the roll-out time of a maintenance wave.

use fuchsiamill_model::{Host, Millisecond, Slots};

use super::{
    fleet::{Fleet, PoolIndex},
    step::Task,
    timing::Timing,
};

/// Returns the shortest time in which any plan can carry out `task` on every host within the budgets.
///
/// A pool that has `h` slots above its budget, counting the spare pool's slots, can have at most `h` slots out at
/// once, and in each data centre at most as many hosts as its budget allows. `None` when a budget allows no host out.
pub fn lower_bound(
    fleet: &Fleet<'_>,
    timing: &Timing,
    hosts: &[(&Host, PoolIndex)],
    task: &Task,
) -> Option<Millisecond> {
    let spare: Slots = fleet.spare().map_or(0, |pool| fleet.pools[pool].serving);
    let rounds = (0..fleet.pools.len()).map(|pool| rounds(fleet, hosts, pool, spare));
    let most = rounds.collect::<Option<Vec<_>>>()?.into_iter().max().unwrap_or(0);
    Some(u64::from(most) * task.expected(timing))
}

fn rounds(
    fleet: &Fleet<'_>,
    hosts: &[(&Host, PoolIndex)],
    pool: PoolIndex,
    spare: Slots,
) -> Option<u32> {
    let count = &fleet.pools[pool];
    let mut slots: Slots = 0;
    let mut in_domain = vec![0u32; fleet.domains.len()];
    for (host, _) in hosts.iter().filter(|(_, it)| *it == pool) {
        slots += host.slots;
        in_domain[fleet.domain_of(host)] += 1;
    }
    let lent = if fleet.spare() == Some(pool) { 0 } else { spare };
    let headroom = (count.serving + lent).saturating_sub(count.pool.least_serving);
    let by_slots = rounds_needed(slots, headroom)?;
    let by_domain = in_domain.iter().zip(&count.out).map(|(&hosts, &out)| {
        rounds_needed(hosts, count.pool.most_out_per_domain.saturating_sub(out))
    });
    let by_domain = by_domain.collect::<Option<Vec<_>>>()?.into_iter().max().unwrap_or(0);
    Some(by_slots.max(by_domain))
}

fn rounds_needed(amount: u32, at_once: u32) -> Option<u32> {
    if amount == 0 {
        return Some(0);
    }
    (at_once > 0).then(|| amount.div_ceil(at_once))
}
