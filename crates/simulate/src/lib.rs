//! Plays a site's load on the coordinator in virtual time, and tells what callers got and what it cost.
//!
//! The coordinator is the real one. Around it stand a model of hosts, which run tasks for as long as the load says, and of
//! the store, which confirms a change after a while or not while it is away. A minute takes a fraction of a second, the same
//! seed gives the same result, and nothing needs a network.

mod load;
mod machine;
mod outcome;
mod site;

pub use load::{Arrival, Load, QueueLoad, Work};
pub use outcome::Outcome;
pub use site::{Fault, Site, SiteSize, simulate};
