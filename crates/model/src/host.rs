//! Hosts of the fleet and their life cycle as the configuration records it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    names::{DataCentre, HostName, PoolName, RackName, Region},
    resources::Resources,
    units::Slots,
};

/// Where a host is in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It takes new work.
    Serving,
    /// It takes no new work; what runs there finishes or is checkpointed and moved.
    Draining,
    /// It is empty and restarts.
    Rebooting,
    /// It is back and being checked.
    Checking,
    /// It failed, did not come back or did not pass its checks.
    SetAside,
    /// The platform's host list calls it leaving or gone; it serves again by itself once it is back.
    Absent,
}

impl HostState {
    /// Whether a change to `next` records what happened to a host instead of planning it.
    ///
    /// Such a change is refused neither for a budget nor for a plan that holds the host.
    pub fn is_unplanned(self, next: HostState) -> bool {
        use HostState::*;
        matches!((self, next), (_, SetAside | Absent) | (Absent, Serving))
    }

    /// The state in words, as logs and the command line show it.
    pub fn as_str(self) -> &'static str {
        match self {
            HostState::Serving => "serving",
            HostState::Draining => "draining",
            HostState::Rebooting => "rebooting",
            HostState::Checking => "checking",
            HostState::SetAside => "set-aside",
            HostState::Absent => "absent",
        }
    }
}

/// A host: a worker with one backend server on it. It belongs to exactly one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// The one pool that it belongs to.
    pub pool: PoolName,
    /// Its rack.
    pub rack: RackName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Where its backend server listens.
    pub backend: SocketAddr,
    /// Where its task agent listens.
    pub worker: SocketAddr,
    /// Requests that its backend server runs at once.
    pub slots: Slots,
    /// Connections that its backend server accepts at once.
    pub connections: u32,
    /// What it offers to tasks.
    pub resources: Resources,
    /// Where it is in its life cycle.
    pub state: HostState,
}
