//! The ordered steps of a plan.

use fuchsiamill_model::{Change, HostName, Millisecond, PoolName, RackName};
use serde::{Deserialize, Serialize};

use super::timing::Timing;

/// The work that a step does on each of its hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "task", rename_all = "kebab-case")]
pub enum Task {
    /// Drain, reboot, check and return to service.
    Cycle,
    /// Drain and leave out of service.
    TakeOut,
    /// Reboot a host that is set aside, check it and return it to service.
    Restore,
    /// Drain, check and return to service in another pool.
    Move {
        /// The pool that the host joins.
        to: PoolName,
    },
}

impl Task {
    /// Returns the expected time of the task for one host, in milliseconds.
    pub fn expected(&self, timing: &Timing) -> Millisecond {
        match self {
            Task::Cycle => timing.drain + timing.reboot + timing.check,
            Task::TakeOut => timing.drain,
            Task::Restore => timing.reboot + timing.check,
            Task::Move { .. } => timing.drain + timing.check,
        }
    }
}

/// Whether a batch may begin before the previous one has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Each batch waits for the previous one.
    Batches,
    /// When one host is back, the next one is drained.
    Rolling,
}

/// Hosts that are expected to be out at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The hosts, by name.
    pub hosts: Vec<HostName>,
    /// The racks of the hosts, each once.
    pub racks: Vec<RackName>,
}

/// Work on hosts, batch by batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The task for each host.
    pub task: Task,
    /// Whether batches overlap.
    pub order: Order,
    /// The largest number of the step's hosts that are out at once.
    pub at_once: u32,
    /// The batches, in order.
    pub batches: Vec<Batch>,
}

impl Work {
    /// Returns the hosts of all batches, in order.
    pub fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.batches.iter().flat_map(|batch| &batch.hosts)
    }
}

/// One step of a plan; it begins when the previous step is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// Changes without work on hosts, which take effect together.
    Apply {
        /// The changes.
        changes: Vec<Change>,
    },
    /// Work on hosts.
    Hosts(Work),
}

impl Step {
    /// Returns the work on hosts, `None` for a step without any.
    pub fn work(&self) -> Option<&Work> {
        match self {
            Step::Hosts(work) => Some(work),
            Step::Apply { .. } => None,
        }
    }
}
