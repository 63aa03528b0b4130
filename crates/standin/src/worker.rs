//! A stand-in of workers' task agents, and its record of what truly ran.

mod agent;
mod server;

pub use agent::{Agent, Conduct, Run, RunEnd, Work};
pub use server::{Access, SetAccess, SetConduct, Started, WorkerPlan, WorkerRecord, start};
