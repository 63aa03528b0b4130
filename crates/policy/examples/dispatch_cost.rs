//! Measures the time of a pool owner's tick and of a request, by numbers of pools and teams. Run with `--release`.

use std::{hint::black_box, rc::Rc, time::Instant};

use fuchsiamill_model::{
    Configuration, DataCentre, EntryName, Host, HostState, Incarnation, Moment, Pool, PoolName,
    Resources, Team, Version, config::PoolRole, team::Urgency,
};
use fuchsiamill_policy::{
    dispatch::{Acquire, Action, Answer, Bounds, Dispatcher, Ending, Release},
    escrow::{EscrowRow, EscrowTiming, Revision, WriteOutcome},
    shares::{Lane, LaneSettings, Ticket},
};

const HOSTS_PER_POOL: u32 = 300;
const TICKS: u64 = 500;
const REQUESTS: u64 = 5_000;
const TICK_MS: u64 = 20;

struct Size {
    pools: usize,
    teams: usize,
}

const SIZES: [Size; 3] =
    [Size { pools: 1, teams: 6 }, Size { pools: 9, teams: 60 }, Size { pools: 9, teams: 310 }];

fn main() {
    println!("owned pools  teams  tick_us  request_us");
    for size in SIZES {
        measure(&size);
    }
}

fn measure(size: &Size) {
    let mut dispatch = owner(size);
    let mut now = Moment(TICK_MS);
    let began = Instant::now();
    for _ in 0..TICKS {
        now = now + TICK_MS;
        let actions = dispatch.tick(now);
        carry_out(&mut dispatch, now, actions);
    }
    let tick_us = began.elapsed().as_secs_f64() * 1e6 / TICKS as f64;
    let began = Instant::now();
    for number in 0..REQUESTS {
        request(&mut dispatch, now, size, number);
    }
    let request_us = began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
    println!("{:>11}  {:>5}  {tick_us:>7.1}  {request_us:>10.1}", size.pools, size.teams);
}

/// Acquires a grant and releases it.
fn request(dispatch: &mut Dispatcher, now: Moment, size: &Size, number: u64) {
    let pool = pool(number as usize % size.pools);
    let team = number as usize % size.teams;
    let req = Acquire {
        ticket: Ticket { entry: entry_name(), number },
        ask: 0,
        pool: pool.clone(),
        lane: Lane::Team(team_name(team).parse().expect("a valid name")),
        data_centre: data_centre(),
        left: 10_000,
    };
    let actions = dispatch.acquire(now, req);
    for grant in carry_out(dispatch, now, actions) {
        let ending = Ending::Answered;
        let release = Release { grant, pool: pool.clone(), ending };
        black_box(dispatch.release(now, &release));
    }
}

/// Carries out the actions, with simulated answers of the table, and returns the grants that were made.
fn carry_out(
    dispatch: &mut Dispatcher,
    now: Moment,
    actions: Vec<Action>,
) -> Vec<fuchsiamill_policy::dispatch::GrantRef> {
    let mut grants = Vec::new();
    for action in actions {
        let more = match action {
            Action::Answer { answer: Answer::Granted { grant }, .. } => {
                grants.push(grant.grant);
                Vec::new()
            }
            Action::ReadRow { team } => {
                let row = EscrowRow::new(1_000, Version(1));
                dispatch.row_read(now, &team, Some((row, Revision(1))))
            }
            Action::WriteRow { team, expected, row } => {
                let outcome = WriteOutcome::Applied(Revision(expected.0 + 1));
                dispatch.row_written(now, &team, row, outcome)
            }
            _ => Vec::new(),
        };
        grants.extend(carry_out(dispatch, now, more));
    }
    grants
}

fn owner(size: &Size) -> Dispatcher {
    let timing = EscrowTiming::default();
    let open = LaneSettings { share: 1, max_queued: 100, urgency: Urgency::Normal };
    let bounds =
        Bounds { timing, ask_timeout: 400, take_over_timeout: 1_000, reserve_percent: 50, open };
    let incarnation: Incarnation = "i0".parse().expect("a valid name");
    let mut dispatch = Dispatcher::new(entry_name(), incarnation.clone(), bounds);
    let now = Moment(0);
    let actions = dispatch.configure(now, Rc::new(configuration(size)));
    carry_out(&mut dispatch, now, actions);
    dispatch.set_members([(entry_name(), incarnation)].into_iter().collect());
    for at in 0..size.pools {
        let actions = dispatch.begin_tenure(now, &pool(at));
        carry_out(&mut dispatch, now, actions);
        let actions = dispatch.report(now, &pool(at), &entry_name(), Vec::new());
        carry_out(&mut dispatch, now, actions);
    }
    dispatch
}

fn configuration(size: &Size) -> Configuration {
    let mut config = Configuration { version: Version(1), ..Configuration::default() };
    for at in 0..size.pools {
        let budget = Pool {
            name: pool(at),
            role: PoolRole::Serving,
            least_serving: 0,
            most_out_per_domain: u32::MAX,
        };
        config.pools.insert(pool(at), budget);
        for index in 0..HOSTS_PER_POOL {
            let host = host(at, index);
            config.hosts.put(host);
        }
    }
    for at in 0..size.teams {
        let team = Team {
            name: team_name(at).parse().expect("a valid name"),
            share: 1,
            upper_limit: 1_000,
            queue: 100,
            urgent: Urgency::Normal,
        };
        config.teams.insert(team.name.clone(), team);
    }
    config
}

fn host(at: usize, index: u32) -> Host {
    let addr = "127.0.0.1:1".parse().expect("an address");
    Host {
        name: format!("host-{at}-{index}").parse().expect("a valid name"),
        pool: pool(at),
        rack: "rack-0".parse().expect("a valid name"),
        data_centre: data_centre(),
        region: "north".parse().expect("a valid name"),
        backend: addr,
        worker: addr,
        slots: 8,
        connections: 64,
        resources: Resources::default(),
        state: HostState::Serving,
    }
}

fn entry_name() -> EntryName {
    "entry-0".parse().expect("a valid name")
}

fn data_centre() -> DataCentre {
    "dc-0".parse().expect("a valid name")
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn pool(at: usize) -> PoolName {
    format!("pool-{at}").parse().expect("a valid name")
}
