//! Candidates for maintenance waves.

use std::collections::BTreeMap;

use fuchsiamill_model::Host;

use super::{
    candidate::{Candidate, CandidateBuilder, PooledHosts, Relocation, Strategy},
    fleet::{Fleet, PoolIndex},
    pack::UNBOUNDED,
    step::{Order, Step, Task},
};

const MAX_WIDTHS: usize = 6;

/// Returns every candidate for a wave over `hosts`; the first is the baseline.
pub fn candidates<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>) -> Vec<Candidate> {
    let widest = rolling(fleet, hosts, UNBOUNDED);
    let most = width(&widest);
    let mut all = vec![rack_by_rack(fleet, hosts), data_centres(fleet, hosts)];
    all.extend(widths(most).map(|at_once| rolling(fleet, hosts, at_once)));
    all.push(widest);
    let lendable = lendable(fleet, &[]);
    for lent in [lendable.len(), lendable.len() / 2] {
        all.extend(lending(fleet, hosts, &lendable[..lent]));
    }
    all
}

/// Returns the hosts that the spare pool can lend within its budget, without those in `except`.
pub fn lendable<'a>(fleet: &Fleet<'a>, except: &[&Host]) -> Vec<&'a Host> {
    let Some(spare) = fleet.spare() else { return Vec::new() };
    let count = &fleet.pools[spare];
    let mut left = count.serving;
    let mut hosts = fleet.free_hosts(spare);
    hosts.retain(|host| !except.iter().any(|it| it.name == host.name));
    hosts.retain(|host| {
        let fits = left.saturating_sub(host.slots) >= count.pool.least_serving;
        left -= if fits { host.slots } else { 0 };
        fits
    });
    hosts
}

/// Returns `most` halved repeatedly, without `most` itself and down to one host at once at the least.
pub fn widths(most: usize) -> impl Iterator<Item = usize> {
    let halved = std::iter::successors(Some(most / 2), |it| Some(it / 2));
    halved.take_while(|&it| it > 0).take(MAX_WIDTHS)
}

/// Returns the largest number of a candidate's hosts that are out at once.
pub fn width(candidate: &Candidate) -> usize {
    candidate.steps.iter().filter_map(Step::work).map(|it| it.at_once).max().unwrap_or(0) as usize
}

fn rack_by_rack<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>) -> Candidate {
    grouped(fleet, hosts, Strategy::RackByRack, |host| &host.rack)
}

fn data_centres<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>) -> Candidate {
    grouped(fleet, hosts, Strategy::DataCentres, |host| &host.data_centre)
}

fn grouped<'a, K: Ord>(
    fleet: &Fleet<'a>,
    hosts: &PooledHosts<'a>,
    strategy: Strategy,
    key: fn(&'a Host) -> &'a K,
) -> Candidate {
    let mut groups: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for &(host, pool) in hosts {
        groups.entry(key(host)).or_default().push((host, pool));
    }
    let mut builder = CandidateBuilder::new(fleet, strategy);
    for group in groups.values() {
        builder.step(group, Task::Cycle, Order::Batches, UNBOUNDED);
    }
    builder.finish()
}

fn rolling<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>, at_once: usize) -> Candidate {
    let lay_out = |at_once: usize| {
        let strategy = Strategy::Rolling { at_once: at_once as u32 };
        let mut builder = CandidateBuilder::new(fleet, strategy);
        builder.step(hosts, Task::Cycle, Order::Rolling, at_once);
        builder.finish()
    };
    let mut candidate = lay_out(at_once);
    candidate.strategy = Strategy::Rolling { at_once: width(&candidate) as u32 };
    candidate
}

/// Returns candidates that lend spare hosts to the pools of the wave, round robin, and move them back at the end.
fn lending<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>, lent: &[&'a Host]) -> Vec<Candidate> {
    let Some(spare) = fleet.spare() else { return Vec::new() };
    let (of_spare, others): (Vec<_>, Vec<_>) = hosts.iter().partition(|(_, pool)| *pool == spare);
    let receivers = pools_of(&others);
    if lent.is_empty() || receivers.is_empty() {
        return Vec::new();
    }
    let out = lent.iter().zip(receivers.iter().cycle());
    let out: Vec<_> = out.map(|(&host, &to)| Relocation { host, from: spare, to }).collect();
    let back: Vec<_> = out.iter().map(|it| it.reversed()).collect();
    let lay_out = |at_once: usize| {
        let strategy = Strategy::Lending { at_once: 0, lent: lent.len() as u32 };
        let mut builder = CandidateBuilder::new(fleet, strategy);
        builder.step(&of_spare, Task::Cycle, Order::Rolling, UNBOUNDED);
        builder.moves(&out);
        builder.step(&others, Task::Cycle, Order::Rolling, at_once);
        builder.moves(&back);
        let mut candidate = builder.finish();
        candidate.strategy =
            Strategy::Lending { at_once: width(&candidate) as u32, lent: lent.len() as u32 };
        candidate
    };
    // The second candidate is so narrow that each pool has no more hosts out than it was lent.
    let covered = receivers.len() * (lent.len() / receivers.len());
    vec![lay_out(UNBOUNDED), lay_out(covered.max(1))]
}

fn pools_of(hosts: &PooledHosts<'_>) -> Vec<PoolIndex> {
    let mut pools: Vec<_> = hosts.iter().map(|(_, pool)| *pool).collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}
