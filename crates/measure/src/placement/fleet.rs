//! A made-up fleet whose workers are full, and the steps that wait for them.

use fastrand::Rng;
use fuchsiamill_fleet::{
    Config, JobSpec, Name, Pool, RunInfo, Step, TaskId, Team, WorkerInfo, WorkerState,
    job::RouteSettings,
};
use fuchsiamill_model::{
    Resources,
    units::{Moment, WallTime},
};

pub(super) const START: Moment = Moment(1_000_000);
pub(super) const WALL: WallTime = WallTime(1_700_000_000_000);

pub(super) const BORN: u64 = 7;

const WORKER: Resources = Resources { millicores: 16_000, memory_mib: 64 * 1_024, accelerators: 0 };
const LARGE_RUN: Resources =
    Resources { millicores: 12_000, memory_mib: 48 * 1_024, accelerators: 0 };
const SMALL_RUN: Resources =
    Resources { millicores: 1_000, memory_mib: 4 * 1_024, accelerators: 0 };
const SMALL_RUNS: u32 = 4;

const KINDS: usize = 4;
const HOSTS_A_RACK: usize = 40;
const TEAMS: usize = 20;

#[derive(Clone, Copy)]
pub(super) struct Fleet {
    pub(super) hosts: usize,
    pub(super) pools: usize,
}

pub(super) fn config(fleet: Fleet, has_limits: bool) -> Config {
    let mut config = Config { version: 1, ..Config::default() };
    for number in 0..fleet.pools {
        let pool = Pool { name: pool(number), spare: false, health_probe: None };
        config.pools.insert(pool.name.clone(), pool);
    }
    for number in 0..TEAMS {
        let unlimited = Resources::default();
        let limit = Resources { millicores: u32::from(has_limits), ..unlimited };
        for (name, limit) in [(open_team(number), unlimited), (full_team(number), limit)] {
            config.teams.insert(name.clone(), Team { name, weight: 1e9, limit });
        }
    }
    config
}

pub(super) fn worker(host: usize, fleet: Fleet) -> WorkerInfo {
    WorkerInfo {
        id: worker_id(host),
        born: BORN,
        pool: pool(host % fleet.pools),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        state: WorkerState::Ready,
        capacity: WORKER,
        labels: vec![kind(host / fleet.pools), rack(host / HOSTS_A_RACK)],
        cold_remaining_ms: 0,
    }
}

pub(super) fn runs(host: usize) -> Vec<RunInfo> {
    let run = |(step, index)| RunInfo {
        task: TaskId { job: running_job(host), occurrence: 0, step, index },
        run: 1,
        checkpoint: Name::default(),
        percent: 100,
        load: 0,
    };
    [(0, 0)].into_iter().chain((0..SMALL_RUNS).map(|it| (1, it))).map(run).collect()
}

pub(super) fn running_steps() -> Vec<Step> {
    vec![
        Step { size: LARGE_RUN, ..plain_step() },
        Step { size: SMALL_RUN, count: SMALL_RUNS, ..plain_step() },
    ]
}

pub(super) fn plain_step() -> Step {
    let size = Resources { memory_mib: 2 * 1_024, ..SMALL_RUN };
    Step { count: 1, size, estimate_ms: 10_000, ..Step::default() }
}

pub(super) fn waiting_job(number: usize, fleet: Fleet, rng: &mut Rng) -> JobSpec {
    let cores = skewed(16, rng);
    let memory_mib = (cores * 1_024) << rng.u32(0..3);
    let mut step = Step {
        count: skewed(64, rng),
        size: Resources { millicores: cores * 1_000, memory_mib, accelerators: 0 },
        estimate_ms: 200 * u64::from(skewed(500, rng)),
        ..Step::default()
    };
    match rng.u32(0..20) {
        0 | 1 => step.label = Some(kind(rng.usize(0..KINDS))),
        2 => step.rack = Some(rack(rng.usize(0..fleet.hosts.div_ceil(HOSTS_A_RACK)))),
        3 => step.one_rack = true,
        4 => step.long_running = true,
        _ => {}
    }
    let accepted = WallTime(WALL.0 - rng.u64(0..60_000));
    let pool = pool(skewed(fleet.pools as u32, rng) as usize - 1);
    JobSpec { steps: vec![step], team: open_team(number), accepted, ..job(pool) }
}

/// Returns a number from 1 to `most`; large ones are rare.
fn skewed(most: u32, rng: &mut Rng) -> u32 {
    ((1.0 - rng.f64()).powf(-0.8) as u32).min(most)
}

pub(super) fn job(pool: Name) -> JobSpec {
    let route = RouteSettings {
        pool,
        max_attempts: 3,
        stretch: 1.6,
        objective_ms: 600,
        ..RouteSettings::default()
    };
    let (queue, payload) = ("q".into(), "work".into());
    JobSpec { queue, payload, accepted: WALL, route, ..JobSpec::default() }
}

pub(super) fn worker_id(host: usize) -> Name {
    format!("worker-{host}").into()
}

pub(super) fn running_job(host: usize) -> Name {
    format!("running-{host}").into()
}

pub(super) fn pool(number: usize) -> Name {
    format!("pool-{number}").into()
}

fn kind(number: usize) -> Name {
    format!("kind-{}", number % KINDS).into()
}

fn rack(number: usize) -> Name {
    format!("rack-{number}").into()
}

pub(super) fn open_team(number: usize) -> Name {
    format!("team-{}", number % TEAMS).into()
}

pub(super) fn full_team(number: usize) -> Name {
    format!("full-{}", number % TEAMS).into()
}
