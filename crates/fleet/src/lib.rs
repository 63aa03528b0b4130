//! Decisions about a whole fleet: jobs of several steps, the tasks they consist of, and the workers and hosts that
//! run them.
//!
//! Nothing here does I/O or reads a clock: time is passed in, and every decision is returned as an [`Order`].

pub mod config;
pub mod coordinator;
pub mod job;
pub mod record;
pub mod task;
pub mod timing;
pub mod worker;

pub use config::{Config, Pool, Queue, Team};
pub use coordinator::{Commit, Coordinator, Order};
pub use job::{JobSpec, Schedule, Step};
pub use record::{JobRecord, Stage, TaskRecord};
pub use task::{Ending, RunEnd, RunInfo, TaskId};
pub use timing::Timing;
pub use worker::{HostInfo, HostState, WorkerInfo, WorkerReport, WorkerState};

/// A name that the platform or a caller gave; shared and immutable.
pub type Name = smol_str::SmolStr;
