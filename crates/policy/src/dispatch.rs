//! The owner of pools: gives out their slots by shares and within upper limits.
//!
//! [`Dispatcher`] puts queues, slots and units together. Each call takes the time and returns the
//! [`Action`]s to carry out; their outcomes come back as further calls.

mod machine;
mod messages;
mod pool;
mod units;

pub use machine::{Action, Bounds, Dispatcher};
pub use messages::{Acquire, Answer, Ending, GrantRef, Granted, InFlight, LaneUse, Release};
pub use pool::GrantState;
