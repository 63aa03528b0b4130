//! Shares of teams in one pool: weighted max-min fairness over its slots, with a bounded queue for each lane.
//!
//! Each pool has one owner, so its queues receive the demand of the whole fleet and shares hold across the fleet.

mod max_min;
mod nearness;
mod queues;

pub use max_min::{LaneDemand, max_min};
pub use nearness::Nearness;
pub use queues::{Lane, LaneSettings, QueuedRequest, Queues, Ticket};
