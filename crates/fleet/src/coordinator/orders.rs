//! What the coordinator has its process do.

use std::sync::Arc;

use super::{HostDuty, StepKey};
use crate::{Name, TaskId, WorkerInfo};

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Begin to look at a worker.
    Watch {
        /// How it describes itself.
        worker: WorkerInfo,
    },
    /// Ask a worker whether it takes itself for healthy.
    AskHealth {
        /// The worker.
        worker: Name,
        /// Where it tells.
        path: Name,
    },
    /// Start a run.
    Start {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// Saved progress, empty when there is none.
        checkpoint: Name,
        /// What the advice service gave for it, empty where none is needed.
        ticket: Name,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The share, in per cent.
        percent: u32,
    },
    /// Ask which workers may run a step.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers.
        workers: Vec<Name>,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// Ends up to this number are recorded.
    Acknowledge {
        /// The worker.
        worker: Name,
        /// Its birth.
        born: u64,
        /// The number.
        upto: u64,
    },
    /// Move or maintain a host.
    Host {
        /// The host.
        host: Name,
        /// What it has to do.
        duty: HostDuty,
    },
}
