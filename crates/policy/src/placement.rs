//! Chooses a host for each task: best fit in several dimensions, spread over failure domains.
//!
//! Hosts are indexed by free processors and memory, in one grid for each data centre and class of host, so that
//! the usual search examines a bounded number of hosts, whatever the size of the fleet.

mod grid;
mod placer;
mod relief;
mod sizes;

pub use placer::{Placement, PlacementRequest, Placer, WaitReason};
pub use relief::{Relief, TaskLoad, relieve};
pub use sizes::Sizes;
