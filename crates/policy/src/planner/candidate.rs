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

/// The strategy by which a candidate carries out an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "family", rename_all = "kebab-case")]
pub enum Strategy {
    /// One rack at a time, in the order of the rack names; the baseline.
    RackByRack,
    /// One data centre at a time.
    DataCentres,
    /// At most `at_once` hosts over all pools; when one host is back, the next one is drained.
    Rolling {
        /// The largest number of hosts out at once.
        at_once: u32,
    },
    /// Like `Rolling`, with hosts of the spare pool lent to the other pools for the duration of the plan.
    Lending {
        /// The largest number of hosts out at once.
        at_once: u32,
        /// The number of spare hosts lent.
        lent: u32,
    },
    /// The only way to carry out the intent; there are no alternatives.
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
    /// The strategy that the steps follow.
    pub strategy: Strategy,
    /// The steps, up to the first that the budgets do not allow.
    pub steps: Vec<Step>,
    /// The budget violations that block the candidate; empty when it can be carried out.
    pub blocked: BTreeSet<BudgetViolation>,
}

/// Hosts, each with the pool that it is in when its step begins.
pub type PooledHosts<'a> = [(&'a Host, PoolIndex)];

/// Builds a candidate step by step, until a step is blocked.
pub struct CandidateBuilder<'a, 'f> {
    fleet: &'f Fleet<'a>,
    capacity: CapacityCounts,
    candidate: Candidate,
}

impl<'a, 'f> CandidateBuilder<'a, 'f> {
    /// Creates a builder without steps, from the current state of the fleet.
    pub fn new(fleet: &'f Fleet<'a>, strategy: Strategy) -> Self {
        let candidate = Candidate { strategy, steps: Vec::new(), blocked: BTreeSet::new() };
        Self { fleet, capacity: CapacityCounts::new(fleet), candidate }
    }

    /// Adds a step for serving hosts, packed into batches within the budgets; does nothing once a step is blocked.
    pub fn step(&mut self, hosts: &PooledHosts<'a>, task: Task, order: Order, at_once: usize) {
        if hosts.is_empty() || !self.candidate.blocked.is_empty() {
            return;
        }
        match pack(self.fleet, &mut self.capacity, hosts, (&task, at_once)) {
            Ok(packed) => self.push(&packed, task, order),
            Err(blocked) => self.candidate.blocked = blocked,
        }
    }

    /// Adds one step of moves for each receiving pool.
    pub fn moves(&mut self, moves: &[Relocation<'a>]) {
        let targets: BTreeSet<_> = moves.iter().map(|it| it.to).collect();
        for to in targets {
            let of_target = moves.iter().filter(|it| it.to == to);
            let hosts: Vec<_> = of_target.map(|it| (it.host, it.from)).collect();
            let to = self.fleet.pools[to].pool.name.clone();
            self.step(&hosts, Task::Move { to }, Order::Rolling, UNBOUNDED);
        }
    }

    /// Adds a step that returns hosts that are set aside to service, in one batch.
    pub fn restore(&mut self, hosts: &[&Host]) {
        self.push(&[hosts.to_vec()], Task::Restore, Order::Rolling);
    }

    /// Returns the candidate.
    pub fn finish(self) -> Candidate {
        self.candidate
    }

    fn push(&mut self, packed: &[Vec<&Host>], task: Task, order: Order) {
        let widest = packed.iter().map(Vec::len).max().unwrap_or(0) as u32;
        let batches = packed.iter().map(|hosts| batch_of(hosts)).collect();
        self.candidate.steps.push(Step::Hosts(Work { task, order, at_once: widest, batches }));
    }
}

/// A move of one host between pools.
#[derive(Clone, Copy, Debug)]
pub struct Relocation<'a> {
    /// The host that changes pools.
    pub host: &'a Host,
    /// The pool that the host leaves.
    pub from: PoolIndex,
    /// The pool that the host joins.
    pub to: PoolIndex,
}

impl Relocation<'_> {
    /// Returns the move in the opposite direction.
    pub fn reversed(self) -> Self {
        Self { host: self.host, from: self.to, to: self.from }
    }
}
