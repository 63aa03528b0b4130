//! What operators see of a site.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    DataCentre, EntryName, PoolName, Region, Slots, TeamName, Units, Version, config::PoolRole,
};
use serde::{Deserialize, Serialize};

/// What this host knows of the configuration's way through the site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigStatus {
    /// The version that this host has applied.
    pub version: Version,
    /// The newest accepted version that this host knows.
    pub accepted: Version,
    /// The version that each entry host on record has applied; none for those that do not answer.
    pub hosts: BTreeMap<EntryName, Option<Version>>,
}

/// The state of a site as one entry host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteStatus {
    /// The entry host that answers.
    pub entry: EntryName,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it serves, or why not.
    pub standing: String,
    /// How far the configuration is.
    pub config: ConfigStatus,
    /// Hosts of the fleet by state.
    pub hosts: BTreeMap<String, u32>,
    /// The number of pools.
    pub pools: u32,
    /// The number of teams.
    pub teams: u32,
    /// The number of keys in force.
    pub keys: u32,
    /// Plans that are being carried out.
    pub plans: u32,
}

/// A pool with its budget and what is left of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetReport {
    /// The pool.
    pub pool: PoolName,
    /// What it is for.
    pub role: PoolRole,
    /// Its hosts.
    pub hosts: u32,
    /// The slots of its serving hosts.
    pub serving: Slots,
    /// The least that must serve.
    pub least_serving: Slots,
    /// The slots that may still be taken out.
    pub spare: Slots,
    /// Hosts out of service in each data centre.
    pub out: BTreeMap<DataCentre, u32>,
    /// The most that may be out in one data centre.
    pub most_out_per_domain: u32,
}

/// A team with its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamReport {
    /// The team.
    pub team: TeamName,
    /// Its weight.
    pub share: u32,
    /// Its share of a full pool, in hundredths of a percent.
    pub share_basis_points: u32,
    /// The most that it may have running.
    pub upper_limit: Units,
    /// The keys in force.
    pub keys: u32,
}

/// A lane of a pool: what it uses and how near it comes to its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareReport {
    /// The pool.
    pub pool: PoolName,
    /// The team; none for callers without a key.
    pub team: Option<TeamName>,
    /// The slots that its work uses.
    pub running: Slots,
    /// Its requests that wait for a slot.
    pub queued: u32,
    /// Its nearness to share in hundredths of a percent, since the pool's owner took the pool; none
    /// when the pool was never full while the team wanted slots.
    pub nearness_basis_points: Option<u32>,
}

/// Budgets and shares of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteReport {
    /// The version of the configuration that it was made from.
    pub version: Version,
    /// Each pool's budget.
    pub budgets: Vec<BudgetReport>,
    /// Each team's share.
    pub teams: Vec<TeamReport>,
    /// What teams use of each pool now, and their nearness to share.
    pub shares: Vec<ShareReport>,
    /// Pools whose owner did not answer, so that their shares are not told.
    pub unheard: Vec<PoolName>,
    /// Slots of serving hosts over the least that must serve, and all slots of spare pools: what is
    /// held back.
    pub buffer: Slots,
}
