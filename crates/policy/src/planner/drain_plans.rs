//! Candidates for taking hosts out of service.

use std::collections::BTreeMap;

use fuchsiamill_model::{Host, Slots};

use super::{
    candidate::{Candidate, CandidateBuilder, PooledHosts, Relocation, Strategy},
    fleet::{Fleet, PoolIndex},
    pack::UNBOUNDED,
    step::{Order, Task},
    wave_plans::lendable,
};

/// Returns every candidate for taking `hosts` out; the first is the baseline.
pub fn candidates<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>) -> Vec<Candidate> {
    let taken: Vec<_> = hosts.iter().map(|(host, _)| *host).collect();
    let mut all = vec![take_out(fleet, hosts, &[], 1), take_out(fleet, hosts, &[], UNBOUNDED)];
    for need in [missing_slots(fleet, hosts), slots_by_pool(hosts)] {
        let lent = replacements(fleet, need, &taken);
        if !lent.is_empty() {
            all.push(take_out(fleet, hosts, &lent, UNBOUNDED));
        }
    }
    all
}

fn take_out<'a>(
    fleet: &Fleet<'a>,
    hosts: &PooledHosts<'a>,
    lent: &[Relocation<'a>],
    at_once: usize,
) -> Candidate {
    let width = at_once.min(hosts.len()) as u32;
    let strategy = match lent.len() {
        0 => Strategy::Rolling { at_once: width },
        lent => Strategy::Lending { at_once: width, lent: lent as u32 },
    };
    let mut builder = CandidateBuilder::new(fleet, strategy);
    builder.moves(lent);
    builder.step(hosts, Task::TakeOut, Order::Rolling, at_once);
    builder.finish()
}

/// Returns the slots by which each pool would fall below its budget.
fn missing_slots(fleet: &Fleet<'_>, hosts: &PooledHosts<'_>) -> BTreeMap<PoolIndex, Slots> {
    let mut need = slots_by_pool(hosts);
    for (&pool, slots) in &mut need {
        let count = &fleet.pools[pool];
        *slots = (count.pool.least_serving + *slots).saturating_sub(count.serving);
    }
    need
}

/// Returns the slots that each pool loses.
fn slots_by_pool(hosts: &PooledHosts<'_>) -> BTreeMap<PoolIndex, Slots> {
    let mut need = BTreeMap::new();
    for (host, pool) in hosts {
        *need.entry(*pool).or_insert(0) += host.slots;
    }
    need
}

/// Returns moves of spare hosts that replace the needed slots, pool by pool, until the spare hosts run out.
fn replacements<'a>(
    fleet: &Fleet<'a>,
    mut need: BTreeMap<PoolIndex, Slots>,
    taken: &[&Host],
) -> Vec<Relocation<'a>> {
    let Some(spare) = fleet.spare() else { return Vec::new() };
    need.remove(&spare);
    let mut hosts = lendable(fleet, taken).into_iter();
    let mut lent = Vec::new();
    for (to, mut slots) in need {
        while slots > 0 {
            let Some(host) = hosts.next() else { return lent };
            slots = slots.saturating_sub(host.slots);
            lent.push(Relocation { host, from: spare, to });
        }
    }
    lent
}
