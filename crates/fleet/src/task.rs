//! Tasks and what workers say of their runs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Names one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: Name,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within its step, counted from 0.
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
    /// The task is done.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that a worker says has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub ending: Ending,
    /// Its progress, empty when there is none.
    pub checkpoint: Name,
}

/// A run that a worker says is there.
#[derive(Clone, Debug, PartialEq)]
pub struct RunInfo {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// Its progress, empty when there is none.
    pub checkpoint: Name,
    /// How much of its work it has done; 100 for a task that lasts and is at work.
    pub percent: u32,
    /// The latency of a task with users of its own in milliseconds, or the processors in use.
    pub load: u64,
}
