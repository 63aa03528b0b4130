//! Candidates for hosts that leave service.

use std::collections::BTreeMap;

use fuchsiamill_model::{Host, Slots};

use super::{
    candidate::{Candidate, Layout, Placed, Relocation, Strategy},
    fleet::{Fleet, PoolIndex},
    pack::UNBOUNDED,
    step::{Order, Task},
    wave_plans::lendable,
};

/// Every candidate for taking `hosts` out; the first is the baseline.
pub fn candidates<'a>(fleet: &Fleet<'a>, hosts: &Placed<'a>) -> Vec<Candidate> {
    let taken: Vec<_> = hosts.iter().map(|(host, _)| *host).collect();
    let mut all = vec![take_out(fleet, hosts, &[], 1), take_out(fleet, hosts, &[], UNBOUNDED)];
    for need in [shortages(fleet, hosts), whole(hosts)] {
        let lent = cover(fleet, need, &taken);
        if !lent.is_empty() {
            all.push(take_out(fleet, hosts, &lent, UNBOUNDED));
        }
    }
    all
}

fn take_out<'a>(
    fleet: &Fleet<'a>,
    hosts: &Placed<'a>,
    lent: &[Relocation<'a>],
    at_once: usize,
) -> Candidate {
    let width = at_once.min(hosts.len()) as u32;
    let strategy = match lent.len() {
        0 => Strategy::Rolling { at_once: width },
        lent => Strategy::Lending { at_once: width, lent: lent as u32 },
    };
    let mut layout = Layout::new(fleet, strategy);
    layout.moves(lent);
    layout.step(hosts, Task::TakeOut, Order::Rolling, at_once);
    layout.finish()
}

/// The slots by which each pool would fall below its budget.
fn shortages(fleet: &Fleet<'_>, hosts: &Placed<'_>) -> BTreeMap<PoolIndex, Slots> {
    let mut need = whole(hosts);
    for (&pool, slots) in &mut need {
        let count = &fleet.pools[pool];
        *slots = (count.pool.least_serving + *slots).saturating_sub(count.serving);
    }
    need
}

/// The slots that each pool gives up.
fn whole(hosts: &Placed<'_>) -> BTreeMap<PoolIndex, Slots> {
    let mut need = BTreeMap::new();
    for (host, pool) in hosts {
        *need.entry(*pool).or_insert(0) += host.slots;
    }
    need
}

/// Spare hosts that cover the need, pool by pool, as far as they last.
fn cover<'a>(
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
