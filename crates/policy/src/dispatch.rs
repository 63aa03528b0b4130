//! The dispatcher of an entry host: grants the slots of the pools that it owns by shares and within upper limits.
//!
//! [`Dispatcher`] combines queues, slots and the units of upper limits. It does no I/O: its methods get the time and
//! return the [`Action`]s to carry out, whose outcomes are reported by further calls.

mod machine;
mod messages;
mod pool;
mod units;

pub use machine::{Action, Bounds, Dispatcher};
pub use messages::{Acquire, Answer, Ending, GrantRef, Granted, InFlight, LaneUse, Release};
pub use pool::GrantState;
