//! An entry host that runs on a site's platform.
//!
//! All entry hosts are alike. Each takes callers' jobs and writes them into the platform's store; one of them, the
//! coordinator, holds a lease row there and gives all orders to workers and hosts.

pub mod clock;
pub mod config;
pub mod dependency;
pub mod entry;
pub mod front;
pub mod lead;
pub mod log_bound;
pub mod logging;
pub mod meters;
pub mod metrics;
pub mod relay;
pub mod story;
pub mod tables;

pub use entry::Entry;
