//! Scheduling of jobs: their rows and life cycle, the queue, placement on hosts and the orders to workers.
//!
//! An accepted job is kept in the table until it ends. It ends finished, failed, cancelled, refused, or with an
//! unknown end when that is all that is known.

mod health;
mod queue;
mod row;
mod scheduler;
mod stage;
mod workers;

pub use health::{Health, Verdict};
pub use queue::{Queue, Turn, Turns, Weight};
pub use row::{
    Begun, Cancel, Ended, JobCore, JobRow, JobSpec, PoolLease, Rerun, Resolution, Running, Stage,
    Waiting, WriteId, resolve,
};
pub use scheduler::{AnswerOutcome, Proposal, Scheduler, UnitChange, WaitCause, WriteIds};
pub use stage::{AfterRun, Job, TaskEnd, WrongStage};
pub use workers::Timing;
