//! The configuration of a site: queues, pools and teams.

use fuchsiamill_model::{FastMap, Resources, units::Millisecond};

use crate::Name;

/// A queue to which callers post jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: Name,
    /// Value of the `Host` header that routes a request to this queue.
    pub host: Name,
    /// Path prefix that routes a request to this queue.
    pub path_prefix: Name,
    /// Pool that runs the tasks of the queue's jobs.
    pub pool: Name,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of a job's completion objective: the objective is `stretch` times the job's critical path plus
    /// `objective_ms`.
    pub stretch: f64,
    /// Constant part of a job's completion objective.
    pub objective_ms: Millisecond,
    /// Whether callers may post without an API key.
    pub open: bool,
    /// Whether the advice service has to approve the workers of each step.
    pub advised: bool,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: Name,
    /// Whether this is the spare pool, whose hosts are switched off and cost nothing.
    pub spare: bool,
    /// Path of the workers' health check; `None` if they have none.
    pub health_probe: Option<Name>,
}

/// A client account, to which jobs, shares and limits belong.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Relative share of a full fleet, and the number of jobs per second to which the team is entitled.
    pub weight: f64,
    /// Limit of the resources in use by the team over the whole fleet; 0 in a dimension means no limit.
    pub limit: Resources,
}

/// A version of the site's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number, which grows with each change.
    pub version: u64,
    /// Queues, sorted by descending length of the path prefix (see [`Config::sorted`]).
    pub queues: Vec<Queue>,
    /// Pools by name.
    pub pools: FastMap<Name, Pool>,
    /// Teams by name.
    pub teams: FastMap<Name, Team>,
    /// Name of the team to which each API key belongs.
    pub keys: FastMap<Name, Name>,
    /// Largest request body accepted from callers, in bytes.
    pub body_bytes: usize,
    /// Largest request head accepted from callers, in bytes.
    pub head_bytes: usize,
}

impl Config {
    /// Sorts the queues so that [`Config::route`] finds the longest matching prefix first.
    pub fn sorted(mut self) -> Self {
        self.queues.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        self
    }

    /// Returns the queue to which the `Host` header and the path of a request lead.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| it.host == host && path.starts_with(it.path_prefix.as_str()))
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| it.name == name)
    }

    /// Returns the pool whose hosts are switched off, if there is one.
    pub fn spare_pool(&self) -> Option<&Pool> {
        self.pools.values().find(|it| it.spare)
    }
}
