//! What is known of workers and hosts.

use std::net::SocketAddr;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use crate::{Name, RunEnd, RunInfo};

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A worker as it describes itself. A worker is one life of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Its id.
    pub id: Name,
    /// When it was started, in Unix milliseconds; tells two lives under one id apart.
    pub born: u64,
    /// Its pool.
    pub pool: Name,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
}

/// What a worker answered when it was looked at.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerReport {
    /// When the question was sent.
    pub asked: Moment,
    /// The life that answered.
    pub born: u64,
    /// What is there.
    pub running: Vec<RunInfo>,
    /// What has ended and was not acknowledged, in the order of numbers.
    pub ended: Vec<RunEnd>,
}

/// What a host is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It runs a worker, or waits in the spare pool.
    Up,
    /// It changes its pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It is away.
    Down,
}

/// A host in the list of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// Its name.
    pub host: Name,
    /// Its pool.
    pub pool: Name,
    /// What it is doing.
    pub state: HostState,
    /// Its data centre.
    pub data_centre: Name,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// What it offers.
    pub capacity: Resources,
    /// The worker on it, if there is one.
    pub worker: Option<Name>,
}

/// Maintenance that an operator asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<Name>,
    /// The time for all of them.
    pub within_ms: Millisecond,
    /// The most hosts at once.
    pub at_once: usize,
}
