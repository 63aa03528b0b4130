//! Fleets for tests: one of the present size and random ones.

#![allow(dead_code)]

use fuchsiamill_model::{
    Change, ChangeId, Configuration, Error, Host, HostState, LogEntry, Millisecond, PlanId, Pool,
    PoolName, Resources, Team, WallTime, config::PoolRole, team::Urgency,
};
use fuchsiamill_policy::planner::{Request, Timing, Weights};
use quickcheck::{Arbitrary, Gen};

pub const VALID: Millisecond = 600_000;
/// The weights of site Ruiyuan, which prefers short roll-outs and stable shares.
pub const RUIYUAN: Weights = Weights { buffer: 1, rollout: 4, moves: 1, share: 4 };
/// The weights of site Sathorn, which prefers small buffers and few moves.
pub const SATHORN: Weights = Weights { buffer: 4, rollout: 1, moves: 4, share: 1 };
pub const TIMING: Timing = Timing { drain: 30_000, reboot: 180_000, check: 10_000 };

pub fn name<T: for<'a> TryFrom<&'a str, Error = Error>>(raw: &str) -> T {
    T::try_from(raw).expect("a valid name")
}

/// The size and the budgets of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    pub hosts: usize,
    pub pools: usize,
    pub domains: usize,
    pub rack: usize,
    pub least: u32,
    pub most_out: u32,
    pub slots: Vec<u32>,
}

impl Shape {
    pub fn today() -> Self {
        Self { hosts: 50, pools: 5, domains: 3, rack: 4, least: 56, most_out: 2, slots: vec![8] }
    }
}

impl Arbitrary for Shape {
    fn arbitrary(g: &mut Gen) -> Self {
        let upto = |g: &mut Gen, most: usize| usize::arbitrary(g) % most;
        Self {
            hosts: 1 + upto(g, 60),
            pools: 1 + upto(g, 6),
            domains: 1 + upto(g, 4),
            rack: 1 + upto(g, 5),
            least: upto(g, 60) as u32,
            most_out: upto(g, 5) as u32,
            slots: (0..1 + upto(g, 3)).map(|_| 1 + upto(g, 9) as u32).collect(),
        }
    }
}

pub fn host(shape: &Shape, at: usize) -> Host {
    let rack = at / shape.rack;
    let domain = rack % shape.domains;
    Host {
        name: name(&format!("h{at:05}")),
        pool: name(&format!("p{}", at % shape.pools)),
        rack: name(&format!("r{rack:04}")),
        data_centre: name(&format!("d{domain}")),
        region: name("g"),
        backend: "127.0.0.1:1".parse().expect("an address"),
        worker: "127.0.0.1:2".parse().expect("an address"),
        slots: shape.slots[at % shape.slots.len()],
        connections: 64,
        resources: Resources::default(),
        state: HostState::Serving,
    }
}

fn pool(shape: &Shape, at: usize) -> Pool {
    let spare = at + 1 == shape.pools && at > 0;
    Pool {
        name: name(&format!("p{at}")),
        role: if spare { PoolRole::Spare } else { PoolRole::Serving },
        least_serving: if spare { 0 } else { shape.least },
        most_out_per_domain: if spare { u32::MAX } else { shape.most_out },
    }
}

fn team(at: usize) -> Team {
    Team {
        name: name(&format!("t{at}")),
        share: 1 + at as u32,
        upper_limit: 100,
        queue: 10,
        urgent: Urgency::Normal,
    }
}

/// Builds the configuration of a fleet; the last of several pools is the spare pool.
pub fn fleet(shape: &Shape) -> Configuration {
    let mut cfg = Configuration::default();
    for at in 0..shape.pools {
        let pool = pool(shape, at);
        cfg.pools.insert(pool.name.clone(), pool);
    }
    for at in 0..shape.hosts {
        let host = host(shape, at);
        cfg.hosts.put(host);
    }
    for at in 0..6 {
        let team = team(at);
        cfg.teams.insert(team.name.clone(), team);
    }
    cfg
}

pub fn req(weights: Weights) -> Request {
    Request {
        id: name("plan-1"),
        who: name("ann"),
        now: WallTime(1_000),
        validity: VALID,
        weights,
        timing: TIMING,
    }
}

pub fn entry(cfg: &Configuration, plan: Option<PlanId>, changes: Vec<Change>) -> LogEntry {
    LogEntry {
        version: cfg.version.next(),
        id: ChangeId(format!("c{}", cfg.version.next())),
        who: name("ann"),
        intent: "test".into(),
        plan,
        at: WallTime(0),
        changes,
    }
}

pub fn pool_name(at: usize) -> PoolName {
    name(&format!("p{at}"))
}
