//! An index of the configuration by pool and data centre, made once for a plan.

use fuchsiamill_model::{
    Configuration, DataCentre, FastMap, Host, HostName, HostState, Pool, PoolName, Slots,
    config::PoolRole,
};

/// A pool's index in [`Fleet::pools`].
pub type PoolIndex = usize;
/// A data centre's index in [`Fleet::domains`].
pub type DomainIndex = usize;

/// What the planner counts of a pool.
#[derive(Clone, Debug)]
pub struct PoolCount<'a> {
    /// The pool.
    pub pool: &'a Pool,
    /// The slots of its serving hosts.
    pub serving: Slots,
    /// The slots of all its hosts.
    pub total: Slots,
    /// Its hosts out of service, by data centre.
    pub out: Vec<u32>,
}

/// The fleet, indexed by pool and data centre.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The configuration.
    pub config: &'a Configuration,
    /// The pools, in the order of their names.
    pub pools: Vec<PoolCount<'a>>,
    /// The data centres, in the order of their first host.
    pub domains: Vec<&'a DataCentre>,
    pool_index: FastMap<&'a PoolName, PoolIndex>,
    domain_index: FastMap<&'a DataCentre, DomainIndex>,
}

impl<'a> Fleet<'a> {
    /// Indexes a configuration.
    pub fn new(config: &'a Configuration) -> Self {
        let mut fleet = Self {
            config,
            pools: config.pools.values().map(empty_count).collect(),
            domains: Vec::new(),
            pool_index: config.pools.keys().zip(0..).collect(),
            domain_index: FastMap::default(),
        };
        for host in config.hosts.values() {
            fleet.count(host);
        }
        fleet
    }

    fn count(&mut self, host: &'a Host) {
        let next = self.domains.len();
        let domain = *self.domain_index.entry(&host.data_centre).or_insert(next);
        if domain == next {
            self.domains.push(&host.data_centre);
            self.pools.iter_mut().for_each(|pool| pool.out.push(0));
        }
        let Some(&index) = self.pool_index.get(&host.pool) else { return };
        let pool = &mut self.pools[index];
        pool.total += host.slots;
        if host.state == HostState::Serving {
            pool.serving += host.slots;
        } else {
            pool.out[domain] += 1;
        }
    }

    /// The index of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<PoolIndex> {
        self.pool_index.get(name).copied()
    }

    /// The pool of a host.
    pub fn pool_of(&self, host: &Host) -> PoolIndex {
        self.pool_index[&host.pool]
    }

    /// The data centre of a host.
    pub fn domain_of(&self, host: &Host) -> DomainIndex {
        self.domain_index[&host.data_centre]
    }

    /// A host by its name.
    pub fn host(&self, name: &HostName) -> Option<&'a Host> {
        self.config.hosts.get(name)
    }

    /// The first spare pool.
    pub fn spare(&self) -> Option<PoolIndex> {
        self.pools.iter().position(|count| count.pool.role == PoolRole::Spare)
    }

    /// The serving hosts of a pool that no plan holds, in the order of their names.
    pub fn free_hosts(&self, pool: PoolIndex) -> Vec<&'a Host> {
        let name = &self.pools[pool].pool.name;
        let free = |host: &&Host| {
            host.state == HostState::Serving && self.config.holder(&host.name).is_none()
        };
        self.config.hosts_of(name).filter(free).collect()
    }
}

fn empty_count(pool: &Pool) -> PoolCount<'_> {
    PoolCount { pool, serving: 0, total: 0, out: Vec::new() }
}
