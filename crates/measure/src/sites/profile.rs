//! The two sites: their pools and teams.

use anyhow::Result;
use fuchsiamill_model::{Pool, Slots, Team, Units, config::PoolRole, team::Urgency};
use fuchsiamill_policy::planner::Weights;
use fuchsiamill_standin::site::{PoolPlan, SLOTS};

use crate::{plans, share_meter::Promise};

/// Pools with a service; one more is the spare.
pub const SERVING_POOLS: usize = 4;
/// Hosts of each pool.
pub const HOSTS_PER_POOL: usize = 10;
/// Slots of each pool.
pub const POOL_SLOTS: Slots = HOSTS_PER_POOL as Slots * SLOTS;
/// Hosts of the site.
pub const HOSTS: usize = (SERVING_POOLS + 1) * HOSTS_PER_POOL;

const LEAST_SERVING: Slots = POOL_SLOTS * 7 / 10;
const MOST_OUT: u32 = 2;
const QUEUE: u32 = 1_000;

/// A site with its teams.
pub struct Profile {
    /// The company that runs it.
    pub site: &'static str,
    /// What its operators weigh.
    pub weights: Weights,
    /// Its teams.
    pub teams: Vec<Team>,
    /// Percent of the requests that come from each team.
    pub percent: Vec<u32>,
}

struct TeamPlan {
    name: &'static str,
    share: u32,
    upper_limit: Units,
    percent: u32,
}

const fn plan(name: &'static str, share: u32, upper_limit: Units, percent: u32) -> TeamPlan {
    TeamPlan { name, share, upper_limit, percent }
}

const RUIYUAN: [TeamPlan; 6] = [
    plan("city-east", 3, 32, 30),
    plan("city-west", 3, 32, 20),
    plan("county", 2, 24, 20),
    plan("school-a", 1, 16, 10),
    plan("school-b", 1, 16, 10),
    plan("school-c", 1, 16, 10),
];

const SATHORN: [TeamPlan; 6] = [
    plan("consultancy", 6, 48, 45),
    plan("trading", 2, 24, 20),
    plan("law-firm", 1, 16, 15),
    plan("import-a", 1, 8, 8),
    plan("import-b", 1, 8, 6),
    plan("import-c", 1, 8, 6),
];

/// Ruiyuan and Sathorn.
pub fn profiles() -> Result<[Profile; 2]> {
    Ok([
        profile("Ruiyuan", plans::RUIYUAN, &RUIYUAN)?,
        profile("Sathorn", plans::SATHORN, &SATHORN)?,
    ])
}

fn profile(site: &'static str, weights: Weights, plans: &[TeamPlan]) -> Result<Profile> {
    let team = |it: &TeamPlan| {
        let (name, share, upper_limit) = (it.name.try_into()?, it.share, it.upper_limit);
        Ok(Team { name, share, upper_limit, queue: QUEUE, urgent: Urgency::Normal })
    };
    let teams = plans.iter().map(team).collect::<Result<_>>()?;
    Ok(Profile { site, weights, teams, percent: plans.iter().map(|it| it.percent).collect() })
}

impl Profile {
    /// The teams as shares are measured.
    pub fn promises(&self) -> Vec<Promise> {
        let promise = |it: &Team| Promise {
            team: it.name.clone(),
            share: it.share,
            upper_limit: it.upper_limit,
        };
        self.teams.iter().map(promise).collect()
    }
}

/// The pools of a site, the spare last.
pub fn pools() -> Result<Vec<PoolPlan>> {
    let pool = |at: usize| {
        let (name, role, least_serving) = match at {
            SERVING_POOLS => ("spare".to_owned(), PoolRole::Spare, 0),
            _ => (service(at), PoolRole::Serving, LEAST_SERVING),
        };
        let name = name.try_into()?;
        let pool = Pool { name, role, least_serving, most_out_per_domain: MOST_OUT };
        Ok(PoolPlan { pool, hosts: HOSTS_PER_POOL })
    };
    (0..=SERVING_POOLS).map(pool).collect()
}

/// The service of a pool.
pub fn service(pool: usize) -> String {
    format!("service-{pool}")
}
