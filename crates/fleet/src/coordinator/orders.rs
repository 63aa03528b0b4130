//! Orders that the coordinator gives to its process.

use std::sync::Arc;

use super::{HostDuty, StepKey};
use crate::{Name, TaskId, WorkerInfo};

/// An action that the process of the coordinator has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start polling a worker.
    Watch {
        /// The worker's own description of itself.
        worker: WorkerInfo,
    },
    /// Poll a worker at once, since it may have a run whose start order was not answered.
    Look {
        /// The worker.
        worker: Name,
    },
    /// Ask a worker whether it is healthy.
    AskHealth {
        /// The worker.
        worker: Name,
        /// The path at which the worker reports its health.
        path: Name,
    },
    /// Start a run.
    Start {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// The checkpoint to start from; empty when there is none.
        checkpoint: Name,
        /// The ticket from the advice service; empty where none is needed.
        ticket: Name,
    },
    /// Set the speed of a run to a share of full speed.
    Pace {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The share, in per cent.
        percent: u32,
    },
    /// Ask the advice service which workers may run a step.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<Name>,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// Acknowledge the ends up to a number, which are recorded.
    Acknowledge {
        /// The worker.
        worker: Name,
        /// The start time of the worker incarnation, in Unix milliseconds.
        born: u64,
        /// The number of the last such end.
        upto: u64,
    },
    /// Move or maintain a host.
    Host {
        /// The host.
        host: Name,
        /// What the host has to do.
        duty: HostDuty,
    },
}
