//! Identifiers of tasks, and what workers report about their runs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identifies one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Id of the job.
    pub job: Name,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Number of the step, counted from 0.
    pub step: u16,
    /// Index of the task within its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The task has completed its work.
    Done,
    /// The run failed, by the task's own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start in time.
    Alone,
}

/// A run that a worker reports as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Sequence number of the end within the current incarnation of the worker.
    pub number: u64,
    /// Task to which the run belongs.
    pub task: TaskId,
    /// Number of the run, counted from 1.
    pub run: u32,
    /// How the run ended.
    pub ending: Ending,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunInfo {
    /// Task to which the run belongs.
    pub task: TaskId,
    /// Number of the run, counted from 1.
    pub run: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Name,
    /// Percentage of the work that is done; of a long-running task, its current percentage of full speed.
    pub percent: u32,
    /// Tail latency in milliseconds if the step has a latency target, otherwise the processor time in use.
    pub load: u64,
}
