//! What operators see of a site.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    Configuration, DataCentre, EntryName, HostState, Pool, PoolName, Region, Slots, TeamName,
    Units, Version, config::PoolRole,
};
use serde::{Deserialize, Serialize};

use crate::config::ConfigStatus;

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
    /// Slots of serving hosts over the least that must serve, and all slots of spare pools: what is
    /// held back.
    pub buffer: Slots,
}

impl SiteReport {
    /// The report of a configuration.
    pub fn of(cfg: &Configuration) -> Self {
        let mut pools: BTreeMap<&PoolName, BudgetReport> =
            cfg.pools.values().map(|pool| (&pool.name, empty_budget(pool))).collect();
        for host in cfg.hosts.values() {
            let Some(budget) = pools.get_mut(&host.pool) else { continue };
            budget.hosts += 1;
            if host.state == HostState::Serving {
                budget.serving += host.slots;
            } else {
                *budget.out.entry(host.data_centre.clone()).or_default() += 1;
            }
        }
        let budgets: Vec<_> = pools.into_values().map(with_spare).collect();
        let buffer = budgets.iter().map(|budget| budget.spare).sum();
        Self { version: cfg.version, budgets, teams: teams(cfg), buffer }
    }
}

fn empty_budget(pool: &Pool) -> BudgetReport {
    BudgetReport {
        pool: pool.name.clone(),
        role: pool.role,
        hosts: 0,
        serving: 0,
        least_serving: pool.least_serving,
        spare: 0,
        out: BTreeMap::new(),
        most_out_per_domain: pool.most_out_per_domain,
    }
}

fn with_spare(mut budget: BudgetReport) -> BudgetReport {
    budget.spare = budget.serving.saturating_sub(budget.least_serving);
    budget
}

fn teams(cfg: &Configuration) -> Vec<TeamReport> {
    let sum: u64 = cfg.teams.values().map(|team| u64::from(team.share)).sum();
    let report = |team: &fuchsiamill_model::Team| TeamReport {
        team: team.name.clone(),
        share: team.share,
        share_basis_points: (u64::from(team.share) * 10_000 / sum.max(1)) as u32,
        upper_limit: team.upper_limit,
        keys: cfg.keys.values().filter(|key| key.team == team.name).count() as u32,
    };
    cfg.teams.values().map(report).collect()
}
