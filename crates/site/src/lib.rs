//! An entry host that runs on a site's platform.
//!
//! All entry hosts run the same code. Each accepts callers' jobs and writes them to the platform's store. One of them,
//! the coordinator, holds a lease row in the store and gives all orders to workers and hosts.

pub mod clock;
pub mod config;
pub mod dependency;
pub mod descriptors;
pub mod entry;
pub mod front;
pub mod lead;
pub mod log_limit;
pub mod logging;
pub mod meters;
pub mod metrics;
pub mod relay;
mod senders;
pub mod story;
pub mod tables;

pub use entry::Entry;
pub use senders::Cancellations;
