//! The daemon of an entry host: tasks that own their sockets and state and talk by messages.

pub mod audit;
pub mod backend;
pub mod caller;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod cx;
pub mod dispatch;
pub mod embedded;
pub mod entry;
pub mod health;
pub mod jobs;
pub mod logging;
pub mod maintenance;
pub mod metrics;
pub mod operator;
pub mod run;
pub mod signals;

pub use clock::Clock;
pub use cx::Cx;
pub use entry::{Addresses, Entry};
