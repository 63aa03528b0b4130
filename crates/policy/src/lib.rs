//! The decision logic of fuchsiamill, as state machines without I/O.
//!
//! This crate opens no socket, reads no clock and spawns no task: callers pass the time in, and carry out
//! the actions that each step returns.

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
