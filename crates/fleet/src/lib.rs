//! Scheduling decisions for a whole fleet: which worker runs which task of which job, and which hosts are moved between
//! pools or maintained.
//!
//! This crate does no I/O and reads no clock: callers pass the time in, and decisions are returned as [`Order`]s.

pub mod admission;
mod call_times;
pub mod config;
pub mod coordinator;
pub mod durations;
mod handover;
pub mod job;
mod lateness;
pub mod record;
mod scope;
mod start_budget;
mod start_window;
pub mod task;
mod tenure;
pub mod timing;
pub mod worker;

pub use call_times::{CallSummary, CallTimes};
pub use config::{Config, Pool, Queue, Team};
pub use coordinator::{Commit, Coordinator, Order};
pub use handover::{Handover, Sender};
pub use job::{JobSpec, RECORD_TASKS, Schedule, Step};
pub use lateness::{Lateness, WindowState};
pub use record::{DoneRange, JobRecord, RecordKey, Stage, TaskRecord};
pub use scope::{Cancellation, JobOwner, JobScope};
pub use start_budget::StartBudget;
pub use start_window::Limit;
pub use task::{Ending, RunEnd, RunInfo, TaskId};
pub use tenure::Tenure;
pub use timing::Timing;
pub use worker::{HostInfo, HostListing, HostState, WorkerInfo, WorkerReport, WorkerState};

/// A name assigned by the platform or by a caller; immutable and cheap to clone.
pub type Name = smol_str::SmolStr;
