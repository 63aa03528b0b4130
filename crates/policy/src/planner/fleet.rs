//! An index of the configuration by pool and data centre, built once per plan.

use fuchsiamill_model::{
    Configuration, DataCentre, FastMap, Host, HostName, HostState, Pool, PoolName, Slots,
    config::PoolRole,
};

/// A pool's index in [`Fleet::pools`].
pub type PoolIndex = usize;
/// A data centre's index in [`Fleet::domains`].
pub type DomainIndex = usize;

/// Slots and hosts of one pool, as the planner counts them.
#[derive(Clone, Debug)]
pub struct PoolCount<'a> {
    /// The pool and its budget.
    pub pool: &'a Pool,
    /// The slots of the pool's serving hosts.
    pub serving: Slots,
    /// The slots of all the pool's hosts.
    pub total: Slots,
    /// The number of the pool's hosts out of service, by data centre.
    pub out: Vec<u32>,
}

/// The fleet, indexed by pool and data centre.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The configuration that is indexed.
    pub config: &'a Configuration,
    /// The pools, in the order of their names.
    pub pools: Vec<PoolCount<'a>>,
    /// The data centres, in the order of their first host.
    pub domains: Vec<&'a DataCentre>,
    pool_index: FastMap<&'a PoolName, PoolIndex>,
    domain_index: FastMap<&'a DataCentre, DomainIndex>,
}

impl<'a> Fleet<'a> {
    /// Builds the index of a configuration.
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

    /// Returns the index of a pool, `None` if it does not exist.
    pub fn pool(&self, name: &PoolName) -> Option<PoolIndex> {
        self.pool_index.get(name).copied()
    }

    /// Returns the index of a host's pool.
    pub fn pool_of(&self, host: &Host) -> PoolIndex {
        self.pool_index[&host.pool]
    }

    /// Returns the index of a host's data centre.
    pub fn domain_of(&self, host: &Host) -> DomainIndex {
        self.domain_index[&host.data_centre]
    }

    /// Returns the host of a name.
    pub fn host(&self, name: &HostName) -> Option<&'a Host> {
        self.config.hosts.get(name)
    }

    /// Returns the index of the first spare pool.
    pub fn spare(&self) -> Option<PoolIndex> {
        self.pools.iter().position(|count| count.pool.role == PoolRole::Spare)
    }

    /// Returns the serving hosts of a pool that no plan holds, in the order of their names.
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
