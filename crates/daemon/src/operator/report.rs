//! The report of a site: budgets and shares.

use std::collections::BTreeMap;

use fuchsiamill_api::{BudgetReport, ShareReport, SiteReport, TeamReport};
use fuchsiamill_model::{Configuration, HostState, Pool, PoolName};
use fuchsiamill_policy::{dispatch::LaneUse, shares::Lane};

use crate::dispatch::SiteLanes;

const BASIS_POINTS: f64 = 10_000.0;

/// The report of a configuration and of what the pools' owners told.
pub fn report(cfg: &Configuration, used: SiteLanes) -> SiteReport {
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
    let shares = used.lanes.into_iter().map(share).collect();
    let version = cfg.version;
    SiteReport { version, budgets, teams: teams(cfg), shares, unheard: used.unheard, buffer }
}

fn share(used: LaneUse) -> ShareReport {
    let LaneUse { pool, lane, running, queued, nearness } = used;
    let team = match lane {
        Lane::Team(team) => Some(team),
        Lane::Open => None,
    };
    let nearness_basis_points = nearness.map(|it| (it * BASIS_POINTS).round() as u32);
    ShareReport { pool, team, running, queued, nearness_basis_points }
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
