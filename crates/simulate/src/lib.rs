//! Simulates the load of a site on the coordinator in virtual time and measures job completion and cost.
//!
//! The coordinator is the production code. The hosts and the store are models: hosts run each task for the duration
//! that the load gives, and the store confirms a transaction after a fixed delay, except during a simulated outage. A
//! simulated minute takes a fraction of a second, the same seed gives the same result, and no network is used.

mod load;
mod machine;
mod outcome;
mod pool_meter;
mod site;
mod size;

pub use load::{Arrival, Load, QueueLoad, Spread, Variation, Work};
pub use outcome::Outcome;
pub use pool_meter::PoolTime;
pub use site::{Site, simulate, simulate_learning};
pub use size::{Fault, SiteSize};
