//! Candidates for moves between pools.

use std::collections::BTreeMap;

use fuchsiamill_model::{Host, PoolName};

use super::{
    candidate::{Candidate, CandidateBuilder, PooledHosts, Strategy},
    fleet::Fleet,
    pack::UNBOUNDED,
    step::{Order, Task},
    wave_plans::{width, widths},
};

/// Returns every candidate for moving `hosts` to another pool; the first is the baseline.
pub fn candidates<'a>(fleet: &Fleet<'a>, hosts: &PooledHosts<'a>, to: &PoolName) -> Vec<Candidate> {
    let lay_out = |at_once: usize| {
        let mut builder = CandidateBuilder::new(fleet, Strategy::Direct);
        builder.step(hosts, Task::Move { to: to.clone() }, Order::Rolling, at_once);
        let mut candidate = builder.finish();
        candidate.strategy = Strategy::Rolling { at_once: width(&candidate) as u32 };
        candidate
    };
    let widest = lay_out(UNBOUNDED);
    let mut all: Vec<_> = widths(width(&widest).max(2)).map(lay_out).collect();
    all.push(widest);
    all
}

/// Chooses `count` hosts, each from the rack with the most remaining hosts in the data centre with the most.
pub fn choose(hosts: Vec<&Host>, count: usize) -> Vec<&Host> {
    let mut domains: BTreeMap<_, BTreeMap<_, Vec<&Host>>> = BTreeMap::new();
    for host in hosts {
        let racks = domains.entry(&host.data_centre).or_default();
        racks.entry(&host.rack).or_default().push(host);
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let left = |racks: &BTreeMap<_, Vec<&Host>>| racks.values().map(Vec::len).sum::<usize>();
        let Some(racks) = domains.values_mut().max_by_key(|racks| left(racks)) else { break };
        let Some(rack) = racks.values_mut().max_by_key(|hosts| hosts.len()) else { break };
        let Some(host) = rack.pop() else { break };
        chosen.push(host);
    }
    chosen
}
