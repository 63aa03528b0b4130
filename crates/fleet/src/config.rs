//! The configuration of a site: queues, pools and teams.

use fuchsiamill_model::{FastMap, Resources, units::Millisecond};

use crate::Name;

/// A queue that callers post jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The value of the `Host` header that selects it.
    pub host: Name,
    /// The beginning of the path that selects it.
    pub path_prefix: Name,
    /// The pool that runs its tasks.
    pub pool: Name,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// The objective of a job is this many times its longest chain of work, and `objective_ms` more.
    pub stretch: f64,
    /// The fixed part of a job's objective.
    pub objective_ms: Millisecond,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether workers of a step have to be asked for at the advice service.
    pub advised: bool,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// Whether its hosts are switched off and cost nothing.
    pub spare: bool,
    /// The path at which a worker tells whether it takes itself for healthy; `None` where workers do not tell.
    pub health_probe: Option<Name>,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// Its share when all is full, and the jobs a second that are owed to it.
    pub weight: f64,
    /// What it may have running over the fleet; 0 in a dimension means no limit.
    pub limit: Resources,
}

/// The newest configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// Queues, longest path prefix first.
    pub queues: Vec<Queue>,
    /// Pools by name.
    pub pools: FastMap<Name, Pool>,
    /// Teams by name.
    pub teams: FastMap<Name, Team>,
    /// Which team presents a key.
    pub keys: FastMap<Name, Name>,
    /// The largest body that a caller may send, in bytes.
    pub body_bytes: usize,
    /// The largest head that a caller may send, in bytes.
    pub head_bytes: usize,
}

impl Config {
    /// Orders the queues so that the longest prefix is found first.
    pub fn sorted(mut self) -> Self {
        self.queues.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        self
    }

    /// The queue that a host and a path select.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| it.host == host && path.starts_with(it.path_prefix.as_str()))
    }

    /// A queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| it.name == name)
    }

    /// The pool whose hosts are switched off, if there is one.
    pub fn spare_pool(&self) -> Option<&Pool> {
        self.pools.values().find(|it| it.spare)
    }
}
