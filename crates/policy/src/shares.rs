//! Shares of teams in one pool: weighted max-min over its slots, with a bounded queue for each lane.
//!
//! A pool has one owner, so its queues see the whole fleet's demand and shares hold over the fleet.

mod max_min;
mod nearness;
mod queues;

pub use max_min::{LaneDemand, max_min};
pub use nearness::Nearness;
pub use queues::{Lane, LaneSettings, QueuedRequest, Queues, Ticket};
