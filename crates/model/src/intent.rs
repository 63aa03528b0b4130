//! What operators ask for. The product answers with a plan to confirm.

use serde::{Deserialize, Serialize};

use crate::{
    config::{Pool, Service},
    host::Host,
    names::{DataCentre, EntryName, HostName, KeyId, PoolName, RackName, TeamName},
    team::{Key, Team},
    units::Units,
};

/// An operator's intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Intent {
    /// Drain every host of a rack and leave it out of service.
    DrainRack {
        /// The rack.
        rack: RackName,
    },
    /// Drain one host and leave it out of service.
    DrainHost {
        /// The host.
        host: HostName,
    },
    /// Drain every host of a data centre and leave it out of service.
    DrainDataCentre {
        /// The data centre.
        data_centre: DataCentre,
    },
    /// Bring hosts that are out of service back.
    Restore {
        /// The hosts.
        hosts: Vec<HostName>,
    },
    /// Move so many hosts from one pool to another.
    MoveHosts {
        /// The pool that gives.
        from: PoolName,
        /// The pool that receives.
        to: PoolName,
        /// How many.
        count: u32,
    },
    /// Move named hosts to another pool.
    MoveNamed {
        /// The hosts.
        hosts: Vec<HostName>,
        /// The pool that receives.
        to: PoolName,
    },
    /// Drain, reboot and check every host of a pool, or of the fleet when no pool is named.
    Wave {
        /// The pool.
        pool: Option<PoolName>,
    },
    /// Grant a key to a team.
    GrantKey {
        /// The key.
        key: Key,
    },
    /// Withdraw a key.
    WithdrawKey {
        /// The key's id.
        key: KeyId,
    },
    /// Make a team or replace its settings.
    PutTeam {
        /// The team.
        team: Team,
    },
    /// Set a team's weight.
    SetShare {
        /// The team.
        team: TeamName,
        /// The new weight.
        share: u32,
    },
    /// Set a team's upper limit.
    SetUpperLimit {
        /// The team.
        team: TeamName,
        /// The new limit.
        upper_limit: Units,
    },
    /// Make a pool or replace its budget.
    PutPool {
        /// The pool.
        pool: Pool,
    },
    /// Make a service or point it at another pool.
    PutService {
        /// The service.
        service: Service,
    },
    /// Add hosts to the fleet.
    AddHosts {
        /// The hosts.
        hosts: Vec<Host>,
    },
    /// Remove an entry host from the record.
    RemoveEntryHost {
        /// The entry host.
        entry: EntryName,
    },
}
