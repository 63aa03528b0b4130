//! A stand-in of a worker's task agent, and its record of what truly ran.

mod agent;

pub use agent::{Agent, Conduct, Run, RunEnd, Work};
