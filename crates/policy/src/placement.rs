//! Where a task runs: best fit in several dimensions over hosts and failure domains.
//!
//! Hosts lie in a grid by free processors and memory, one grid for each data centre and class of host, so that
//! a decision looks at a bounded number of hosts whatever the size of the fleet.

mod grid;
mod placer;
mod relief;
mod sizes;

pub use placer::{Placement, PlacementRequest, Placer, WaitReason};
pub use relief::{Relief, TaskLoad, relieve};
pub use sizes::Sizes;
