//! The planner against the baseline and the lower bound, and the time that planning takes.

use std::time::Instant;

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_model::{
    Configuration, Host, HostState, Intent, Pool, PoolName, Resources, Slots, Team, WallTime,
    config::PoolRole, team::Urgency,
};
use fuchsiamill_policy::planner::{self, Measures, Plan, Request, Timing, Weights};

const SLOTS: Slots = 8;
const HOSTS_PER_RACK: usize = 4;
const TIMING: Timing = Timing { drain: 30_000, reboot: 180_000, check: 10_000 };
const VALID_MS: u64 = 600_000;
/// What Ruiyuan weighs.
pub const RUIYUAN: Weights = Weights { buffer: 1, rollout: 4, moves: 1, share: 4 };
/// What Sathorn weighs.
pub const SATHORN: Weights = Weights { buffer: 4, rollout: 1, moves: 4, share: 1 };
const ROUNDS: u32 = 5;

/// measure plans against the baseline and the lower bound
#[derive(FromArgs)]
#[argh(subcommand, name = "plans")]
pub struct PlansArgs {}

/// How the pools lie in the racks.
#[derive(Clone, Copy)]
enum Layout {
    /// A rack's hosts are in different pools.
    Mixed,
    /// A rack's hosts are in one pool.
    Whole,
}

#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    pools: usize,
    data_centres: usize,
    least_percent: u32,
}

const TODAY: Size = Size { hosts: 50, pools: 5, data_centres: 3, least_percent: 70 };
const MIDDLE: Size = Size { hosts: 2_200, pools: 8, data_centres: 10, least_percent: 70 };
const LARGE: Size = Size { hosts: 22_000, pools: 72, data_centres: 10, least_percent: 70 };

/// Prints the tables.
pub fn run(_: &PlansArgs) -> Result<()> {
    for layout in [Layout::Mixed, Layout::Whole] {
        four_measures(layout)?;
    }
    planning_times()
}

fn four_measures(layout: Layout) -> Result<()> {
    let config = fleet(TODAY, layout)?;
    let racks = match layout {
        Layout::Mixed => "a rack's hosts in different pools",
        Layout::Whole => "a rack's hosts in one pool",
    };
    println!("\n{racks}\n");
    println!(
        "| Intent | Site | Plan | Buffer, slots | Roll-out, s | Moves | Shortfall, ‰ | Cost |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (title, intent) in intents()? {
        for (site, weights) in [("Ruiyuan", RUIYUAN), ("Sathorn", SATHORN)] {
            compare(&config, (title, &intent), (site, weights))?;
        }
    }
    Ok(())
}

fn intents() -> Result<Vec<(&'static str, Intent)>> {
    let pool = |at| pool_name(at);
    Ok(vec![
        ("wave over the fleet", Intent::Wave { pool: None }),
        ("wave over a pool", Intent::Wave { pool: Some(pool(0)?) }),
        ("drain a rack", Intent::DrainRack { rack: "rack-0000".parse()? }),
        ("move 3 spare hosts", Intent::MoveHosts { from: pool(4)?, to: pool(0)?, count: 3 }),
    ])
}

fn compare(
    config: &Configuration,
    (title, intent): (&str, &Intent),
    (site, weights): (&str, Weights),
) -> Result<()> {
    let (baseline, plan) = baseline_and_plan(config, weights, intent)?;
    if let Some((feasible, measures)) = &baseline {
        let all = planner::candidates(config, &TIMING, intent)?;
        let hosts = plan.facts.hosts.len();
        let cost = match feasible {
            true => format!("{:.2}", cost_of(&weights, hosts, &all)),
            false => "blocked".into(),
        };
        row((title, site), "baseline", measures, &cost);
    }
    let cost = match plan.blocked.is_empty() {
        true => format!("{:.2}", plan.cost),
        false => "blocked".into(),
    };
    row((title, site), &plan.strategy.to_string(), &plan.measures, &cost);
    bound((title, site), &plan);
    Ok(())
}

/// The measures of the baseline, whether it is feasible, and the plan that is chosen.
pub fn baseline_and_plan(
    config: &Configuration,
    weights: Weights,
    intent: &Intent,
) -> Result<(Option<(bool, Measures)>, Plan)> {
    let all = planner::candidates(config, &TIMING, intent)?;
    let baseline =
        all.first().map(|(candidate, measures)| (candidate.blocked.is_empty(), *measures));
    Ok((baseline, planner::plan(config, &request(weights)?, intent)?))
}

fn cost_of(weights: &Weights, hosts: usize, all: &[(planner::Candidate, Measures)]) -> f64 {
    let feasible = all.iter().filter(|(candidate, _)| candidate.blocked.is_empty());
    let measures: Vec<_> = feasible.map(|(_, measures)| *measures).collect();
    planner::costs(weights, hosts, &measures).first().copied().unwrap_or(0.0)
}

fn row((title, site): (&str, &str), way: &str, measures: &Measures, cost: &str) {
    let Measures { buffer, rollout, moves, shortfall } = measures;
    let seconds = rollout / 1_000;
    println!(
        "| {title} | {site} | {way} | {buffer} | {seconds} | {moves} | {shortfall} | {cost} |"
    );
}

fn bound((title, site): (&str, &str), plan: &Plan) {
    if let Some(least) = plan.lower_bound {
        println!("| {title} | {site} | lower bound | – | {} | – | – | – |", least / 1_000);
    }
}

fn planning_times() -> Result<()> {
    println!(
        "\n| Hosts | Pools | Intent | Planning, ms (median of {ROUNDS}) | Candidates | Plan, KB |"
    );
    println!("|---|---|---|---|---|---|");
    for size in [TODAY, MIDDLE, LARGE] {
        let config = fleet(size, Layout::Mixed)?;
        let pool = Intent::Wave { pool: Some(pool_name(0)?) };
        let rack = Intent::DrainRack { rack: "rack-0000".parse()? };
        let intents = [
            ("wave over a pool", pool),
            ("drain a rack", rack),
            ("wave over the fleet", Intent::Wave { pool: None }),
        ];
        for (title, intent) in intents {
            time(&config, size, (title, &intent))?;
        }
    }
    Ok(())
}

fn time(config: &Configuration, size: Size, (title, intent): (&str, &Intent)) -> Result<()> {
    let req = request(RUIYUAN)?;
    let mut spans = Vec::new();
    let mut made = None;
    for _ in 0..ROUNDS {
        let began = Instant::now();
        made = Some(planner::plan(config, &req, intent)?);
        spans.push(began.elapsed().as_secs_f64() * 1_000.0);
    }
    spans.sort_by(f64::total_cmp);
    let median = spans[spans.len() / 2];
    let Some(plan) = made else { return Ok(()) };
    let candidates = plan.rejected.len() + 1;
    let bytes = serde_json::to_vec(&plan)?.len() / 1_024;
    let Size { hosts, pools, .. } = size;
    println!("| {hosts} | {pools} | {title} | {median:.1} | {candidates} | {bytes} |");
    Ok(())
}

fn request(weights: Weights) -> Result<Request> {
    Ok(Request {
        id: "plan-1".parse()?,
        who: "ada".parse()?,
        now: WallTime(0),
        validity: VALID_MS,
        weights,
        timing: TIMING,
    })
}

fn pool_name(at: usize) -> Result<PoolName> {
    Ok(format!("pool-{at:02}").parse()?)
}

fn fleet(size: Size, layout: Layout) -> Result<Configuration> {
    let mut config = Configuration::default();
    for at in 0..size.hosts {
        let host = host(size, layout, at)?;
        config.hosts.put(host);
    }
    for at in 0..size.pools {
        let name = pool_name(at)?;
        let spare = at + 1 == size.pools;
        let slots: Slots = config.hosts_of(&name).map(|host| host.slots).sum();
        let hosts = (slots / SLOTS) as usize;
        let pool = Pool {
            name: name.clone(),
            role: if spare { PoolRole::Spare } else { PoolRole::Serving },
            least_serving: if spare { 0 } else { slots * size.least_percent / 100 },
            most_out_per_domain: hosts.div_ceil(size.data_centres * 2) as u32,
        };
        config.pools.insert(name, pool);
    }
    for at in 0..6 {
        let team = team(at)?;
        config.teams.insert(team.name.clone(), team);
    }
    Ok(config)
}

fn host(size: Size, layout: Layout, at: usize) -> Result<Host> {
    let rack = at / HOSTS_PER_RACK;
    let pool = match layout {
        Layout::Mixed => at % size.pools,
        Layout::Whole => at * size.pools / size.hosts,
    };
    Ok(Host {
        name: format!("host-{at:05}").parse()?,
        pool: pool_name(pool)?,
        rack: format!("rack-{rack:04}").parse()?,
        data_centre: format!("dc-{}", rack % size.data_centres).parse()?,
        region: "north".parse()?,
        backend: "127.0.0.1:1".parse()?,
        worker: "127.0.0.1:2".parse()?,
        slots: SLOTS,
        connections: 64,
        resources: Resources::default(),
        state: HostState::Serving,
    })
}

fn team(at: usize) -> Result<Team> {
    Ok(Team {
        name: format!("team-{at}").parse()?,
        share: if at < 2 { 4 } else { 1 },
        upper_limit: 200,
        queue: 100,
        urgent: Urgency::Normal,
    })
}
