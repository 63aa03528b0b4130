//! Jobs: accepted means kept, then placed and finished or truthfully refused.

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
