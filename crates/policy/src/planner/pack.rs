//! Packs hosts into batches that fit the budgets.

use std::collections::{BTreeMap, BTreeSet};

use fuchsiamill_model::Host;

use super::{
    capacity::{BudgetViolation, CapacityCounts},
    fleet::{DomainIndex, Fleet, PoolIndex},
    step::{Batch, Task},
};

/// Leaves the number of hosts in a batch to the budgets alone.
pub const UNBOUNDED: usize = usize::MAX;

/// Hosts still to be packed, by pool and data centre.
#[derive(Clone, Debug)]
struct Remaining<'a> {
    groups: BTreeMap<PoolIndex, BTreeMap<DomainIndex, Vec<&'a Host>>>,
    count: usize,
}

impl<'a> Remaining<'a> {
    fn new(fleet: &Fleet<'a>, hosts: &[(&'a Host, PoolIndex)]) -> Self {
        let mut groups: BTreeMap<_, BTreeMap<_, Vec<_>>> = BTreeMap::new();
        for &(host, pool) in hosts.iter().rev() {
            groups.entry(pool).or_default().entry(fleet.domain_of(host)).or_default().push(host);
        }
        Self { groups, count: hosts.len() }
    }

    /// Removes and returns a host that fits the budgets, from the pool's data centre with the most hosts left.
    fn take(
        &mut self,
        fleet: &Fleet<'_>,
        capacity: &CapacityCounts,
        pool: PoolIndex,
    ) -> Option<&'a Host> {
        let group = self.groups.get_mut(&pool)?;
        let fits = |hosts: &Vec<&Host>| {
            hosts.last().is_some_and(|host| capacity.violation(fleet, host, pool).is_none())
        };
        let (_, hosts) =
            group.iter_mut().filter(|(_, hosts)| fits(hosts)).max_by_key(|(_, it)| it.len())?;
        self.count -= 1;
        hosts.pop()
    }

    fn violations(
        &self,
        fleet: &Fleet<'_>,
        capacity: &CapacityCounts,
    ) -> BTreeSet<BudgetViolation> {
        let each = |(&pool, group): (&PoolIndex, &BTreeMap<_, Vec<&Host>>)| {
            let last = group.values().filter_map(|hosts| hosts.last().copied());
            last.filter_map(|host| capacity.violation(fleet, host, pool)).collect::<Vec<_>>()
        };
        self.groups.iter().flat_map(each).collect()
    }
}

/// Packs hosts into batches of at most `at_once` hosts, round robin over the pools.
///
/// Each batch fits the budgets given the counts in `capacity`, to which the lasting effect of `task` is applied after
/// each batch. The error lists the budget violations that block the remaining hosts.
pub fn pack<'a>(
    fleet: &Fleet<'a>,
    capacity: &mut CapacityCounts,
    hosts: &[(&'a Host, PoolIndex)],
    (task, at_once): (&Task, usize),
) -> Result<Vec<Vec<&'a Host>>, BTreeSet<BudgetViolation>> {
    let mut remaining = Remaining::new(fleet, hosts);
    let pools: Vec<_> = remaining.groups.keys().copied().collect();
    let mut batches = Vec::new();
    let mut first = 0;
    while remaining.count > 0 {
        let mut during = capacity.clone();
        let batch = fill(fleet, &mut during, &mut remaining, &pools, (&mut first, at_once));
        if batch.is_empty() {
            return Err(remaining.violations(fleet, capacity));
        }
        capacity.apply_task(fleet, &batch, task);
        batches.push(batch.into_iter().map(|(host, _)| host).collect());
    }
    Ok(batches)
}

fn fill<'a>(
    fleet: &Fleet<'a>,
    during: &mut CapacityCounts,
    remaining: &mut Remaining<'a>,
    pools: &[PoolIndex],
    (first, at_once): (&mut usize, usize),
) -> Vec<(&'a Host, PoolIndex)> {
    let mut batch = Vec::new();
    let mut refused = 0;
    while refused < pools.len() && batch.len() < at_once {
        let pool = pools[*first % pools.len()];
        *first += 1;
        match remaining.take(fleet, during, pool) {
            Some(host) => {
                during.take_out(fleet, host, pool);
                batch.push((host, pool));
                refused = 0;
            }
            None => refused += 1,
        }
    }
    batch
}

/// Builds the batch of a plan from a group of hosts.
pub fn batch_of(hosts: &[&Host]) -> Batch {
    let racks: BTreeSet<_> = hosts.iter().map(|host| host.rack.clone()).collect();
    Batch {
        hosts: hosts.iter().map(|host| host.name.clone()).collect(),
        racks: racks.into_iter().collect(),
    }
}
