//! Counts serving slots and hosts out of service while a plan is built, and checks them against the pools' budgets.

use fuchsiamill_model::{DataCentre, Host, PoolName, Slots};
use serde::{Deserialize, Serialize};

use super::{
    fleet::{Fleet, PoolIndex},
    step::Task,
};

/// The budget that would be broken if a host went out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum BudgetViolation {
    /// The pool would have too few serving slots.
    Serving {
        /// The pool whose budget would be broken.
        pool: PoolName,
        /// The serving slots that would be left.
        left: Slots,
        /// The fewest serving slots that the budget allows.
        least: Slots,
    },
    /// Too many of the pool's hosts would be out in one data centre.
    Domain {
        /// The pool whose budget would be broken.
        pool: PoolName,
        /// The data centre.
        data_centre: DataCentre,
        /// The pool's hosts in this data centre that would be out.
        out: u32,
        /// The most hosts out that the budget allows in one data centre.
        most: u32,
    },
}

impl std::fmt::Display for BudgetViolation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BudgetViolation::Serving { pool, left, least } => {
                write!(f, "pool '{pool}' would serve with {left} slots, its budget is {least}")
            }
            BudgetViolation::Domain { pool, data_centre, out, most } => write!(
                f,
                "pool '{pool}' would have {out} hosts out in '{data_centre}', its budget is {most}"
            ),
        }
    }
}

/// Running counts of serving slots and of hosts out of service, for every pool.
#[derive(Clone, Debug)]
pub struct CapacityCounts {
    serving: Vec<Slots>,
    out: Vec<Vec<u32>>,
}

impl CapacityCounts {
    /// Creates the counts from the state of the fleet.
    pub fn new(fleet: &Fleet<'_>) -> Self {
        Self {
            serving: fleet.pools.iter().map(|pool| pool.serving).collect(),
            out: fleet.pools.iter().map(|pool| pool.out.clone()).collect(),
        }
    }

    /// Returns the serving slots of a pool.
    pub fn serving(&self, pool: PoolIndex) -> Slots {
        self.serving[pool]
    }

    /// Returns the budget violation that taking a host of `pool` out would cause, `None` if the host may go out.
    pub fn violation(
        &self,
        fleet: &Fleet<'_>,
        host: &Host,
        pool: PoolIndex,
    ) -> Option<BudgetViolation> {
        let budget = fleet.pools[pool].pool;
        let left = self.serving[pool].saturating_sub(host.slots);
        if left < budget.least_serving {
            let least = budget.least_serving;
            return Some(BudgetViolation::Serving { pool: budget.name.clone(), left, least });
        }
        let out = self.out[pool][fleet.domain_of(host)] + 1;
        if out > budget.most_out_per_domain {
            return Some(BudgetViolation::Domain {
                pool: budget.name.clone(),
                data_centre: host.data_centre.clone(),
                out,
                most: budget.most_out_per_domain,
            });
        }
        None
    }

    /// Counts a serving host of `pool` as out.
    pub fn take_out(&mut self, fleet: &Fleet<'_>, host: &Host, pool: PoolIndex) {
        self.serving[pool] -= host.slots.min(self.serving[pool]);
        self.out[pool][fleet.domain_of(host)] += 1;
    }

    /// Applies the lasting effect of a task to the counts, after a batch of serving hosts has completed it.
    pub fn apply_task(&mut self, fleet: &Fleet<'_>, batch: &[(&Host, PoolIndex)], task: &Task) {
        for &(host, pool) in batch {
            match task {
                Task::Cycle | Task::Restore => {}
                Task::TakeOut => self.take_out(fleet, host, pool),
                Task::Move { to } => {
                    let Some(to) = fleet.pool(to) else { continue };
                    self.serving[pool] -= host.slots.min(self.serving[pool]);
                    self.serving[to] += host.slots;
                }
            }
        }
    }

    /// Counts a host that was out in pool `from` as serving in pool `to`.
    pub fn bring_back(&mut self, fleet: &Fleet<'_>, host: &Host, from: PoolIndex, to: PoolIndex) {
        let domain = fleet.domain_of(host);
        self.out[from][domain] = self.out[from][domain].saturating_sub(1);
        self.serving[to] += host.slots;
    }
}
