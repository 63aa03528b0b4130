//! Orders to a worker's task agent and the reports that it gives back.
//!
//! A task runs under a lease that the worker counts on its own clock, from the ticket that an order quotes.
//! Delay of an order can therefore shorten a lease but never lengthen it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    names::{Incarnation, JobId, PoolName},
    resources::Resources,
    units::{Millisecond, Moment},
};

/// One run of a job on a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which run of the job this is, from 1.
    pub attempt: u32,
}

/// The counter that fences off an earlier owner of a pool's jobs; it only ever grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A reading of a worker's own clock, quoted back to it by the orders that follow.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The run of the worker's agent; its restart ends every task.
    pub boot: Incarnation,
    /// The worker's monotonic clock.
    pub at: Moment,
    /// One more for each answer; orders that quote an earlier ticket than the last one quoted are void.
    pub serial: u64,
}

/// What a task is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// The caller's payload, passed on as it came.
    pub payload: String,
    /// What the task is placed for.
    pub resources: Resources,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
}

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TaskOrder {
    /// Starts a task; a task known already is not started again.
    Start(TaskStart),
    /// Renews a task's lease.
    Renew {
        /// The task.
        task: TaskId,
    },
    /// Holds a task to an amount of processor and memory.
    Throttle {
        /// The task.
        task: TaskId,
        /// The most that it may use.
        to: Resources,
    },
    /// Ends a task at its next checkpoint.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Stops a task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Drops the record of an ended task once its end is kept elsewhere.
    Forget {
        /// The task.
        task: TaskId,
    },
}

/// A batch of orders to one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSync {
    /// The pool whose jobs are meant.
    pub pool: PoolName,
    /// The fence of the owner that gives the orders.
    pub fence: Fence,
    /// The lease of each task, counted from the ticket.
    pub lease: Millisecond,
    /// The worker's last ticket; orders need one.
    pub ticket: Option<Ticket>,
    /// The orders.
    pub orders: Vec<TaskOrder>,
}

/// Where a task is, as its worker tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended at a checkpoint.
    Checkpointed {
        /// What to go on from.
        checkpoint: String,
    },
    /// It ran to its end.
    Finished {
        /// What it gave back.
        output: String,
    },
    /// It started and failed.
    Failed {
        /// Why, in words.
        reason: String,
    },
    /// It was stopped by order.
    Stopped,
    /// It was stopped by the worker because its lease ran out.
    Lapsed,
    /// It has not started on this worker and never will under this task id.
    NotStarted,
}

/// What a task used; the figures lag behind the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// The highest use that was seen.
    pub peak: Resources,
    /// How long it has run.
    pub run_time: Millisecond,
}

/// What a worker tells of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Where it is.
    pub state: TaskState,
    /// What it used, where that is known yet.
    pub usage: Option<Usage>,
}

/// A worker's answer to a batch of orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case", deny_unknown_fields)]
pub enum WorkerAnswer {
    /// The orders were carried out as far as the ticket allowed.
    Report {
        /// The ticket for the orders that follow.
        ticket: Ticket,
        /// Every task of the pool that runs or whose end is not forgotten.
        tasks: Vec<TaskReport>,
    },
    /// A later owner has spoken already; nothing was carried out.
    Fenced {
        /// The fence of the later owner.
        newest: Fence,
    },
}

/// How much a worker runs, over all pools and owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLoad {
    /// The tasks that run.
    pub running: u32,
}
