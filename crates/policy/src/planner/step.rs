//! The ordered steps of a plan.

use fuchsiamill_model::{Change, HostName, Millisecond, PoolName, RackName};
use serde::{Deserialize, Serialize};

use super::timing::Timing;

/// What is done to each host of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "task", rename_all = "kebab-case")]
pub enum Task {
    /// Drain, reboot, check and serve again.
    Cycle,
    /// Drain and leave out of service.
    TakeOut,
    /// Reboot a host that is set aside, check it and serve again.
    Restore,
    /// Drain, check and serve in another pool.
    Move {
        /// The pool that receives.
        to: PoolName,
    },
}

impl Task {
    /// The expected time of the task for one host, in milliseconds.
    pub fn expected(&self, timing: &Timing) -> Millisecond {
        match self {
            Task::Cycle => timing.drain + timing.reboot + timing.check,
            Task::TakeOut => timing.drain,
            Task::Restore => timing.reboot + timing.check,
            Task::Move { .. } => timing.drain + timing.check,
        }
    }
}

/// Whether a batch may begin before the one ahead of it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Each batch waits for the one ahead.
    Batches,
    /// As one host comes back the next goes.
    Rolling,
}

/// Hosts that are expected to be out at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The hosts.
    pub hosts: Vec<HostName>,
    /// Their racks, each once.
    pub racks: Vec<RackName>,
}

/// Work on hosts, batch by batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// What is done to each host.
    pub task: Task,
    /// Whether batches overlap.
    pub order: Order,
    /// The most hosts of the step that are out at once.
    pub at_once: u32,
    /// The hosts, in order.
    pub batches: Vec<Batch>,
}

impl Work {
    /// The hosts of all batches, in order.
    pub fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.batches.iter().flat_map(|batch| &batch.hosts)
    }
}

/// One step of a plan; it begins when the step before it is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// Changes without work on hosts, in force together.
    Apply {
        /// The changes.
        changes: Vec<Change>,
    },
    /// Work on hosts.
    Hosts(Work),
}

impl Step {
    /// The work on hosts, if the step has any.
    pub fn work(&self) -> Option<&Work> {
        match self {
            Step::Hosts(work) => Some(work),
            Step::Apply { .. } => None,
        }
    }
}
