//! What workers, the list of hosts and operators report to the coordinator.

use std::net::SocketAddr;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use crate::{Name, RunEnd, RunInfo};

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts new tasks.
    Ready,
    /// It accepts no new tasks since it is about to shut down.
    Draining,
}

/// A worker as it describes itself in the list of workers; each start of a worker process on a host is a new
/// incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Id, which may be reused after a restart.
    pub id: Name,
    /// Start time in Unix milliseconds; distinguishes two incarnations of a worker with the same id.
    pub born: u64,
    /// Name of the pool.
    pub pool: Name,
    /// Address at which the worker receives orders.
    pub addr: SocketAddr,
    /// Name of the data centre.
    pub data_centre: Name,
    /// Whether the worker accepts new tasks.
    pub state: WorkerState,
    /// Total resources.
    pub capacity: Resources,
    /// Labels, among them the kind of the host and its rack.
    pub labels: Vec<Name>,
    /// How much longer it is cold, which is slow, after its start.
    pub cold_remaining_ms: Millisecond,
}

/// A worker's answer when the coordinator polls it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerReport {
    /// Time at which the poll was sent.
    pub asked: Moment,
    /// `born` of the worker incarnation that answered.
    pub born: u64,
    /// Runs that are present on the worker.
    pub running: Vec<RunInfo>,
    /// Ends of runs that were not acknowledged yet, in the order of their numbers.
    pub ended: Vec<RunEnd>,
    /// Whether there may be further such ends, which the worker lists once these are acknowledged.
    pub has_more_ends: bool,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It runs a worker, or is ready in the spare pool.
    Up,
    /// It is changing its pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
    /// It is not available.
    Down,
}

/// An entry of the list of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// Name of the host.
    pub host: Name,
    /// Name of the pool.
    pub pool: Name,
    /// Current state.
    pub state: HostState,
    /// Name of the data centre.
    pub data_centre: Name,
    /// Labels, among them the kind of the host and its rack.
    pub labels: Vec<Name>,
    /// Total resources.
    pub capacity: Resources,
    /// Id of the worker on the host; `None` if no worker runs there.
    pub worker: Option<Name>,
}

/// The list of hosts at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct HostListing {
    /// The entries.
    pub hosts: Vec<HostInfo>,
    /// Whether all entries could be read.
    pub is_whole: bool,
    /// Time at which the list was requested.
    pub asked: Moment,
}

/// A maintenance wave: a set of hosts that an operator wants maintained.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Number under which the operator stored the wave.
    pub number: u64,
    /// Names of the hosts.
    pub hosts: Vec<Name>,
    /// Time within which all hosts should be maintained.
    pub within_ms: Millisecond,
    /// Maximum number of hosts under maintenance at the same time.
    pub at_once: usize,
}
