//! Candidate ways to carry out one intent.

use std::collections::BTreeSet;

use fuchsiamill_model::Host;
use serde::{Deserialize, Serialize};

use super::{
    capacity::{BudgetViolation, CapacityCounts},
    fleet::{Fleet, PoolIndex},
    pack::{UNBOUNDED, batch_of, pack},
    step::{Order, Step, Task, Work},
};

/// The way in which a candidate goes about an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "family", rename_all = "kebab-case")]
pub enum Strategy {
    /// One rack at a time, in the order of their names; the baseline.
    RackByRack,
    /// One data centre at a time.
    DataCentres,
    /// So many hosts at once over all pools; the next goes as one comes back.
    Rolling {
        /// The most hosts out at once.
        at_once: u32,
    },
    /// Rolling, with hosts of the spare pool lent to the pools meanwhile.
    Lending {
        /// The most hosts out at once.
        at_once: u32,
        /// The hosts that are lent.
        lent: u32,
    },
    /// Only what was asked for, without a choice.
    Direct,
}

impl std::fmt::Display for Strategy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Strategy::RackByRack => write!(f, "rack by rack"),
            Strategy::DataCentres => write!(f, "one data centre at a time"),
            Strategy::Rolling { at_once } => write!(f, "rolling, {at_once} at once"),
            Strategy::Lending { at_once, lent } => {
                write!(f, "rolling, {at_once} at once, {lent} spare hosts lent")
            }
            Strategy::Direct => write!(f, "direct"),
        }
    }
}

/// One way to carry out an intent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The way.
    pub strategy: Strategy,
    /// The steps, as far as the budgets allow them.
    pub steps: Vec<Step>,
    /// What keeps it from being carried out.
    pub blocked: BTreeSet<BudgetViolation>,
}

/// Hosts and the pools that they are in when their step begins.
pub type Placed<'a> = [(&'a Host, PoolIndex)];

/// Steps that are laid out one after the other until one is blocked.
pub struct Layout<'a, 'f> {
    fleet: &'f Fleet<'a>,
    capacity: CapacityCounts,
    made: Candidate,
}

impl<'a, 'f> Layout<'a, 'f> {
    /// An empty layout on the fleet as it is.
    pub fn new(fleet: &'f Fleet<'a>, strategy: Strategy) -> Self {
        let made = Candidate { strategy, steps: Vec::new(), blocked: BTreeSet::new() };
        Self { fleet, capacity: CapacityCounts::new(fleet), made }
    }

    /// Adds a step for hosts that serve now, packed within the budgets.
    pub fn step(&mut self, hosts: &Placed<'a>, task: Task, order: Order, at_once: usize) {
        if hosts.is_empty() || !self.made.blocked.is_empty() {
            return;
        }
        match pack(self.fleet, &mut self.capacity, hosts, (&task, at_once)) {
            Ok(packed) => self.push(&packed, task, order),
            Err(blocked) => self.made.blocked = blocked,
        }
    }

    /// Adds moves of hosts to pools.
    pub fn moves(&mut self, moves: &[Relocation<'a>]) {
        let targets: BTreeSet<_> = moves.iter().map(|it| it.to).collect();
        for to in targets {
            let of_target = moves.iter().filter(|it| it.to == to);
            let hosts: Vec<_> = of_target.map(|it| (it.host, it.from)).collect();
            let to = self.fleet.pools[to].pool.name.clone();
            self.step(&hosts, Task::Move { to }, Order::Rolling, UNBOUNDED);
        }
    }

    /// Adds one batch of hosts that are set aside and come back.
    pub fn restore(&mut self, hosts: &[&Host]) {
        self.push(&[hosts.to_vec()], Task::Restore, Order::Rolling);
    }

    /// The candidate.
    pub fn finish(self) -> Candidate {
        self.made
    }

    fn push(&mut self, packed: &[Vec<&Host>], task: Task, order: Order) {
        let widest = packed.iter().map(Vec::len).max().unwrap_or(0) as u32;
        let batches = packed.iter().map(|hosts| batch_of(hosts)).collect();
        self.made.steps.push(Step::Hosts(Work { task, order, at_once: widest, batches }));
    }
}

/// A move of one host between pools.
#[derive(Clone, Copy, Debug)]
pub struct Relocation<'a> {
    /// The host.
    pub host: &'a Host,
    /// The pool that gives.
    pub from: PoolIndex,
    /// The pool that receives.
    pub to: PoolIndex,
}

impl Relocation<'_> {
    /// The move back.
    pub fn reversed(self) -> Self {
        Self { host: self.host, from: self.to, to: self.from }
    }
}
