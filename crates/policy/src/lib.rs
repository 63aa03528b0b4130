//! Every decision of fuchsiamill as pure state machines.
//!
//! Nothing here opens a socket, reads a clock or runs a task: time is passed in, and each step
//! returns what to do next.

pub mod absence;
pub mod backend_state;
pub mod claims;
pub mod config_log;
pub mod connections;
pub mod dispatch;
pub mod escrow;
pub mod jobs;
pub mod keys;
pub mod membership;
pub mod outlier;
pub mod placement;
pub mod planner;
pub mod retry;
pub mod shares;
pub mod slots;
pub mod spare;
pub mod waves;
