//! Checked domain types shared by every fuchsiamill crate.
//!
//! Nothing here does I/O or reads a clock. Raw input becomes a checked type through `TryFrom`;
//! the messages of the errors name the remedy.

pub mod change;
pub mod config;
pub mod digest;
pub mod error;
pub mod host;
pub mod hosts;
pub mod intent;
pub mod map;
pub mod names;
pub mod outcome;
pub mod plan;
pub mod resources;
pub mod task;
pub mod team;
mod undo;
pub mod units;

pub use change::{Change, ChangeId, LogEntry};
pub use config::{Configuration, Pool, Service, Version};
pub use digest::KeyDigest;
pub use error::{Error, Result};
pub use host::{Host, HostState};
pub use hosts::Hosts;
pub use intent::Intent;
pub use map::{FastMap, FastSet};
pub use names::{
    DataCentre, EntryName, HostName, Incarnation, JobId, JobKind, KeyId, OperatorName, PlanId,
    PoolName, RackName, Region, ServiceName, TeamName,
};
pub use outcome::{Problem, ProblemKind, RunState};
pub use plan::{ActivePlan, PlanState, Progress};
pub use resources::Resources;
pub use team::{Key, Team};
pub use units::{Millisecond, Moment, Slots, Units, WallTime};
