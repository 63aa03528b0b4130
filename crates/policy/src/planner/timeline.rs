//! Simulates a plan's steps batch by batch to measure the plan and its effect on pools.

use fuchsiamill_model::{FastMap, Host, HostName, Millisecond, PoolName, Slots};
use serde::{Deserialize, Serialize};

use super::{
    capacity::CapacityCounts,
    fleet::{Fleet, PoolIndex},
    step::{Step, Task, Work},
    timing::Timing,
};

const PER_MILLE: u64 = 1_000;

/// The four measures of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measures {
    /// The reserve capacity that the plan needs: the larger of the most slots out of service at once and the most
    /// slots lent by the spare pool at once.
    pub buffer: Slots,
    /// The expected roll-out time, in milliseconds.
    pub rollout: Millisecond,
    /// The number of moves of hosts between pools; a move and the move back count as two.
    pub moves: u32,
    /// The largest loss of serving slots in any pool but the spare pool, in thousandths of the pool's serving slots
    /// before the plan.
    pub shortfall: u32,
}

/// The effect of a plan on one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEffect {
    /// The pool whose serving slots change.
    pub pool: PoolName,
    /// Serving slots before the plan.
    pub before: Slots,
    /// The fewest serving slots during the plan.
    pub lowest: Slots,
    /// Serving slots after the plan.
    pub after: Slots,
    /// The fewest serving slots that the pool's budget allows.
    pub least: Slots,
}

/// The state of the simulation.
pub struct Timeline<'a> {
    fleet: &'a Fleet<'a>,
    capacity: CapacityCounts,
    pools: FastMap<HostName, PoolIndex>,
    lowest: Vec<Slots>,
    lent: Slots,
    taken_out: Slots,
    measures: Measures,
}

impl<'a> Timeline<'a> {
    /// Simulates steps from the current state of the fleet.
    pub fn simulate(fleet: &'a Fleet<'a>, timing: &Timing, steps: &[Step]) -> Self {
        let mut timeline = Self::new(fleet);
        for work in steps.iter().filter_map(Step::work) {
            timeline.work(work, timing);
        }
        timeline
    }

    fn new(fleet: &'a Fleet<'a>) -> Self {
        let capacity = CapacityCounts::new(fleet);
        let lowest = (0..fleet.pools.len()).map(|pool| capacity.serving(pool)).collect();
        Self {
            fleet,
            capacity,
            pools: FastMap::default(),
            lowest,
            lent: 0,
            taken_out: 0,
            measures: Measures::default(),
        }
    }

    /// Returns the measures of all steps.
    pub fn measures(&self) -> Measures {
        let short = |(pool, &lowest): (usize, &Slots)| {
            let before = self.fleet.pools[pool].serving;
            let missing = u64::from(before.saturating_sub(lowest));
            (missing * PER_MILLE).div_ceil(u64::from(before.max(1))) as u32
        };
        let serving = |(pool, _): &(usize, &Slots)| Some(*pool) != self.fleet.spare();
        let shortfall = self.lowest.iter().enumerate().filter(serving).map(short).max();
        Measures { shortfall: shortfall.unwrap_or(0), ..self.measures }
    }

    /// Returns the effect on each pool whose serving slots changed.
    pub fn effects(&self) -> Vec<PoolEffect> {
        let each = |(index, &lowest): (usize, &Slots)| {
            let count = &self.fleet.pools[index];
            let after = self.capacity.serving(index);
            (lowest != count.serving || after != count.serving).then(|| PoolEffect {
                pool: count.pool.name.clone(),
                before: count.serving,
                lowest,
                after,
                least: count.pool.least_serving,
            })
        };
        self.lowest.iter().enumerate().filter_map(each).collect()
    }

    fn pool_of(&self, host: &Host) -> PoolIndex {
        self.pools.get(&host.name).copied().unwrap_or_else(|| self.fleet.pool_of(host))
    }

    fn work(&mut self, work: &Work, timing: &Timing) {
        for batch in &work.batches {
            let hosts: Vec<_> =
                batch.hosts.iter().filter_map(|name| self.fleet.host(name)).collect();
            self.begin(&work.task, &hosts);
            self.end(&work.task, &hosts);
            self.measures.rollout += work.task.expected(timing);
        }
    }

    fn begin(&mut self, task: &Task, hosts: &[&Host]) {
        if *task == Task::Restore {
            return;
        }
        let mut out = 0;
        for host in hosts {
            let pool = self.pool_of(host);
            self.capacity.take_out(self.fleet, host, pool);
            self.lowest[pool] = self.lowest[pool].min(self.capacity.serving(pool));
            out += host.slots;
        }
        self.measures.buffer = self.measures.buffer.max(self.lent).max(self.taken_out + out);
    }

    fn end(&mut self, task: &Task, hosts: &[&Host]) {
        for host in hosts {
            let from = self.pool_of(host);
            match task {
                Task::TakeOut => self.taken_out += host.slots,
                Task::Cycle | Task::Restore => {
                    self.capacity.bring_back(self.fleet, host, from, from);
                }
                Task::Move { to } => self.relocate(host, from, to),
            }
        }
    }

    fn relocate(&mut self, host: &Host, from: PoolIndex, to: &PoolName) {
        let Some(to) = self.fleet.pool(to) else { return };
        let spare = self.fleet.spare();
        if Some(from) == spare {
            self.lent += host.slots;
            self.measures.buffer = self.measures.buffer.max(self.lent);
        }
        if Some(to) == spare {
            self.lent = self.lent.saturating_sub(host.slots);
        }
        self.capacity.bring_back(self.fleet, host, from, to);
        self.pools.insert(host.name.clone(), to);
        self.measures.moves += 1;
    }
}
