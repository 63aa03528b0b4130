//! Decisions about a whole fleet: jobs of several steps, the tasks they consist of, and the workers and hosts that
//! run them.
//!
//! Nothing here does I/O or reads a clock: time is passed in, and every decision is returned as an [`Order`].

pub mod config;
pub mod coordinator;
pub mod job;
pub mod record;
pub mod task;
pub mod terms;
pub mod worker;

pub use config::{Config, Pool, Queue, Team};
pub use coordinator::{Commit, Coordinator, Order};
pub use job::{JobSpec, Schedule, Step};
pub use record::{JobRecord, Stage, TaskRecord};
pub use task::{Ending, RunEnd, RunSeen, TaskId};
pub use terms::Terms;
pub use worker::{HostSeen, HostState, Report, WorkerSeen, WorkerState};

/// A name that the platform or a caller gave; shared and immutable.
pub type Name = smol_str::SmolStr;
