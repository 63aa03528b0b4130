//! A randomised soak: real entry hosts under faults that come in series and overlap.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test -p fuchsiamill-daemon --test fleet_soak` runs many by hand; a seed that
//! failed stays in [`REGRESSIONS`] with its cause.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::fleet::{Fleet, job};
use fastrand::Rng;
use fuchsiamill_standin::{
    admin::RouteFault,
    fleet::{StoreFault, WorkerFault},
};

/// Seeds that failed once, each with a line on its cause.
const REGRESSIONS: &[u64] = &[
    // The proxy held a guard of the fault over a delay, so that lifting it blocked its thread for ever.
    914754811545,
    // A worker crashed before the end of a run was acknowledged: the stand-in took the next run as one too many.
    140069876269,
];

const ENTRY_HOSTS: usize = 3;
const HOSTS: usize = 5;

/// The longest pause between two actions.
const PAUSE_MS: u64 = 250;

/// How long a paused process stands still.
const FREEZE_MS: u64 = 2_500;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_under_overlapping_faults() {
    let fresh = number("SOAK_SEED", fastrand::u64(..1 << 40));
    let seeds =
        REGRESSIONS.iter().copied().chain((0..number("SOAK_SEEDS", 2)).map(|it| fresh + it));
    for seed in seeds {
        println!("seed {seed}");
        soak(seed, Duration::from_secs(number("SOAK_SECONDS", 6)));
    }
}

fn soak(seed: u64, time: Duration) {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::start(ENTRY_HOSTS, HOSTS);
    let until = Instant::now() + time;
    let mut frozen: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < until {
        frozen.retain(|(thaw, entry)| {
            let is_over = Instant::now() >= *thaw;
            if is_over {
                fleet.entries[*entry].signal("CONT");
            }
            !is_over
        });
        act(&mut fleet, &mut rng, &mut frozen);
        thread::sleep(Duration::from_millis(rng.u64(0..PAUSE_MS)));
    }
    heal(&mut fleet, &frozen);
    fleet.wait_ready();
    fleet.check();
    let lost = fleet.jobs.borrow().iter().any(|it| fleet.site.world().done_tasks(it) != 3);
    assert!(!lost, "seed {seed}: a job is completed without all of its tasks");
}

fn act(fleet: &mut Fleet, rng: &mut Rng, frozen: &mut Vec<(Instant, usize)>) {
    let entry = rng.usize(0..ENTRY_HOSTS);
    let is_frozen = frozen.iter().any(|it| it.1 == entry);
    match rng.u32(0..20) {
        0 if !is_frozen => {
            fleet.entries[entry].signal("STOP");
            let span = Duration::from_millis(rng.u64(100..FREEZE_MS));
            frozen.push((Instant::now() + span, entry));
        }
        1 | 2 if !is_frozen => fleet.entries[entry].replace(rng.bool()),
        3 => {
            if let Some(leader) = fleet.coordinator().filter(|it| frozen.iter().all(|f| f.1 != *it))
            {
                fleet.entries[leader].replace(false);
            }
        }
        4 => fleet.entries[entry].signal("HUP"),
        5 => fleet.store_fault(entry, *rng.choice(&ROUTE_FAULTS).expect("a fault")),
        6 | 7 => fleet.store_fault(entry, RouteFault::None),
        8 => fleet.site.world().rows.fault = *rng.choice(&STORE_FAULTS).expect("a fault"),
        9 | 10 => fleet.site.world().rows.fault = StoreFault::None,
        11 => fleet.site.world().rows.forget_history(),
        12 => {
            let mut world = fleet.site.world();
            let host = rng.usize(0..world.host_count());
            world.crash(host);
        }
        13 | 14 => {
            let fault = *rng.choice(&WORKER_FAULTS).expect("a fault");
            let mut world = fleet.site.world();
            let host = rng.usize(0..world.host_count());
            if let Some(worker) = world.worker_mut(host) {
                worker.fault = fault;
            }
        }
        _ => submit(fleet, rng, frozen),
    }
}

fn submit(fleet: &Fleet, rng: &mut Rng, frozen: &[(Instant, usize)]) {
    if frozen.is_empty() {
        let job = job(rng.u64(20..600), &[2, 1]);
        fleet.accept(&job, Duration::from_millis(400));
    }
}

fn heal(fleet: &mut Fleet, frozen: &[(Instant, usize)]) {
    for (_, entry) in frozen {
        fleet.entries[*entry].signal("CONT");
    }
    for entry in 0..ENTRY_HOSTS {
        fleet.store_fault(entry, RouteFault::None);
    }
    let mut world = fleet.site.world();
    world.rows.fault = StoreFault::None;
    for host in 0..world.host_count() {
        if let Some(worker) = world.worker_mut(host) {
            worker.fault = WorkerFault::None;
        }
    }
}

const ROUTE_FAULTS: [RouteFault; 5] = [
    RouteFault::Delay { ms: 150 },
    RouteFault::Cut,
    RouteFault::HoldForward,
    RouteFault::HoldBack,
    RouteFault::HoldBoth,
];

const STORE_FAULTS: [StoreFault; 4] =
    [StoreFault::Down, StoreFault::Silent, StoreFault::Slow(200), StoreFault::LoseAnswers(40)];

const WORKER_FAULTS: [WorkerFault; 4] =
    [WorkerFault::None, WorkerFault::Silent, WorkerFault::AnswersLost, WorkerFault::Late(1_500)];
