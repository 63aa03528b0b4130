//! Pools and the work for them.

use fuchsiamill_fleet::{Config, JobSpec, Pool, Step};

use super::PoolFleet;
use crate::common::{config, cores, job, step};

/// Returns a configuration with these pools and the spare pool.
pub fn with_pools(names: &[&str]) -> Config {
    let mut config = config();
    config.pools.remove("web");
    for name in names {
        let pool = Pool { name: (*name).into(), spare: false, health_probe: None };
        config.pools.insert(pool.name.clone(), pool);
    }
    config
}

/// Returns a job in a pool.
pub fn in_pool(pool: &str, spec: JobSpec) -> JobSpec {
    let mut spec = spec;
    spec.route.pool = pool.into();
    spec
}

pub fn job_in(pool: &str, steps: Vec<Step>) -> JobSpec {
    in_pool(pool, job(steps))
}

/// Returns a step of tasks that run until their job is cancelled.
pub fn lasting(count: u32, size: u32) -> Step {
    Step { long_running: true, size: cores(size), ..step(count) }
}

/// Sends short tasks to a pool that end one by one: so many in each round.
pub fn busy(fleet: &mut PoolFleet, pool: &str, prefix: &str, rounds: u64, each: u64) {
    for round in 0..rounds {
        for number in 0..each {
            let estimate_ms = 700 + ((round * each + number) * 37) % 800;
            let spec = job_in(pool, vec![Step { estimate_ms, ..step(1) }]);
            fleet.accept(&format!("{prefix}-{round:04}-{number}"), spec);
        }
        fleet.play(100);
    }
}
