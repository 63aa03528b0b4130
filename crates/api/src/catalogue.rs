//! What is listed by name.

use std::{collections::BTreeMap, net::SocketAddr};

use fuchsiamill_model::{
    EntryName, Host, HostState, Key, Pool, PoolName, RackName, Service, Team, Version,
};
use serde::{Deserialize, Serialize};

/// Which hosts to list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostFilter {
    /// Only of this pool.
    pub pool: Option<PoolName>,
    /// Only in this rack.
    pub rack: Option<RackName>,
    /// Only in this state.
    pub state: Option<HostState>,
}

impl HostFilter {
    /// Whether a host is listed.
    pub fn takes(&self, host: &Host) -> bool {
        self.pool.as_ref().is_none_or(|pool| *pool == host.pool)
            && self.rack.as_ref().is_none_or(|rack| *rack == host.rack)
            && self.state.is_none_or(|state| state == host.state)
    }
}

/// Everything that is listed by name, without the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The version of the configuration.
    pub version: Version,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The keys in force; digests only.
    pub keys: Vec<Key>,
    /// The entry hosts on record.
    pub entry_hosts: BTreeMap<EntryName, SocketAddr>,
}
