//! The hosts of the fleet by name, with an index by pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Deref,
    sync::Arc,
};

use serde::{Deserialize, Serialize, Serializer};

use crate::{
    host::{Host, HostState},
    map::FastMap,
    names::{HostName, PoolName},
};

/// The hosts by name; every change keeps the index by pool in step.
///
/// It is read as the map that it wraps, and serialised as that map. Clones share one copy until one
/// of them is changed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "BTreeMap<HostName, Host>")]
pub struct Hosts(Arc<Index>);

#[derive(Clone, Debug, Default)]
struct Index {
    by_name: BTreeMap<HostName, Host>,
    by_pool: FastMap<PoolName, BTreeSet<HostName>>,
}

impl Hosts {
    /// Adds a host, or replaces the one of the same name.
    pub fn put(&mut self, host: Host) {
        let index = Arc::make_mut(&mut self.0);
        index.remove(&host.name);
        index.add(host);
    }

    /// Removes a host and gives it back.
    pub fn remove(&mut self, name: &HostName) -> Option<Host> {
        Arc::make_mut(&mut self.0).remove(name)
    }

    /// Sets the state of a host that is there.
    pub fn set_state(&mut self, name: &HostName, state: HostState) {
        if let Some(host) = Arc::make_mut(&mut self.0).by_name.get_mut(name) {
            host.state = state;
        }
    }

    /// Sets the pool of a host that is there.
    pub fn set_pool(&mut self, name: &HostName, pool: &PoolName) {
        let index = Arc::make_mut(&mut self.0);
        if let Some(host) = index.remove(name) {
            index.add(Host { pool: pool.clone(), ..host });
        }
    }

    /// The hosts of a pool, in the order of their names.
    pub fn of_pool<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Host> + 'a {
        let members = self.0.by_pool.get(pool);
        members.into_iter().flatten().filter_map(|name| self.0.by_name.get(name))
    }

    /// Whether both share one copy; copies that do not may still be equal.
    pub fn is_shared_with(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Index {
    fn add(&mut self, host: Host) {
        self.by_pool.entry(host.pool.clone()).or_default().insert(host.name.clone());
        self.by_name.insert(host.name.clone(), host);
    }

    fn remove(&mut self, name: &HostName) -> Option<Host> {
        let host = self.by_name.remove(name)?;
        if let Some(members) = self.by_pool.get_mut(&host.pool) {
            members.remove(name);
            if members.is_empty() {
                self.by_pool.remove(&host.pool);
            }
        }
        Some(host)
    }
}

impl Deref for Hosts {
    type Target = BTreeMap<HostName, Host>;

    fn deref(&self) -> &Self::Target {
        &self.0.by_name
    }
}

impl From<BTreeMap<HostName, Host>> for Hosts {
    fn from(by_name: BTreeMap<HostName, Host>) -> Self {
        let mut index = Index::default();
        by_name.into_values().for_each(|host| index.add(host));
        Self(Arc::new(index))
    }
}

impl PartialEq for Hosts {
    fn eq(&self, other: &Self) -> bool {
        self.is_shared_with(other) || self.0.by_name == other.0.by_name
    }
}

impl Eq for Hosts {}

impl Serialize for Hosts {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.by_name.serialize(serializer)
    }
}
