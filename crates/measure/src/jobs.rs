//! Placement against first fit and random fit, its time, learned sizes, and the scheduler's turn.

use std::time::Instant;

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_model::{
    FastMap, Host, HostName, HostState, Incarnation, Moment, Resources, TeamName, WallTime,
    task::{Fence, Ticket, Usage, WorkerAnswer},
    team::Urgency,
};
use fuchsiamill_policy::{
    jobs::{Begun, Cancel, JobCore, JobRow, JobSpec, Rerun, Scheduler, Timing, Weight, WriteId},
    placement::{Placement, PlacementRequest, Placer, Sizes},
};

const DATA_CENTRES: usize = 10;
const HOSTS_PER_RACK: usize = 4;
const WHOLE: Resources = Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };
const LARGE: Resources = Resources { millicores: 12_000, memory_mib: 49_152, accelerators: 0 };
const TEAMS: usize = 6;
/// Replacements for each host after the fleet was filled.
const CHURN: usize = 10;

/// Measure placement of jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub struct JobsArgs {
    /// the seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
}

/// Prints every table.
pub fn run(args: &JobsArgs) -> Result<()> {
    quality(args.seed);
    accelerators(args.seed);
    times(args.seed);
    sizes(args.seed);
    turns(args.seed);
    Ok(())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    BestFit,
    FirstFit,
    Random,
}

struct Fleet {
    way: Way,
    placer: Placer,
    hosts: Vec<(Host, Resources)>,
    index: FastMap<HostName, usize>,
    tasks: Vec<(HostName, TeamName, Resources)>,
    used: Resources,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(way: Way, hosts: Vec<Host>, seed: u64) -> Self {
        let placer = Placer::new(hosts.iter());
        let index = hosts.iter().zip(0..).map(|(it, n)| (it.name.clone(), n)).collect();
        let hosts = hosts.into_iter().map(|it| (it, Resources::default())).collect();
        let (tasks, used) = (Vec::new(), Resources::default());
        Self { way, placer, hosts, index, tasks, used, rng: fastrand::Rng::with_seed(seed) }
    }

    fn fits(&self, host: usize, size: Resources) -> bool {
        let (it, used) = &self.hosts[host];
        it.resources.minus(*used).fits(size)
    }

    fn choose(&mut self, team: &TeamName, size: Resources) -> Option<HostName> {
        let hosts = 0..self.hosts.len();
        let found = match self.way {
            Way::BestFit => match self.placer.place(&PlacementRequest { team, size, avoid: &[] }) {
                Placement::On(host) => return Some(host),
                Placement::Wait(_) | Placement::Unplaceable => None,
            },
            Way::FirstFit => hosts.into_iter().find(|it| self.fits(*it, size)),
            Way::Random => {
                let fitting: Vec<usize> = hosts.filter(|it| self.fits(*it, size)).collect();
                self.rng.choice(fitting)
            }
        };
        found.map(|it| self.hosts[it].0.name.clone())
    }

    fn start(&mut self, team: &TeamName, size: Resources) -> bool {
        let Some(host) = self.choose(team, size) else { return false };
        let used = &mut self.hosts[self.index[&host]].1;
        *used = used.plus(size);
        self.used = self.used.plus(size);
        self.placer.add_task(&host, team, size);
        self.tasks.push((host, team.clone(), size));
        true
    }

    fn end_any(&mut self) {
        let at = self.rng.usize(0..self.tasks.len());
        let (host, team, size) = self.tasks.swap_remove(at);
        let used = &mut self.hosts[self.index[&host]].1;
        *used = used.minus(size);
        self.used = self.used.minus(size);
        self.placer.remove_task(&host, &team, size);
    }

    fn load(&self) -> f64 {
        let offered: u64 =
            self.hosts.iter().map(|(it, _)| u64::from(it.resources.millicores)).sum();
        f64::from(self.used.millicores) / offered as f64
    }

    fn fill(&mut self, load: f64) {
        let mut refused = 0;
        while self.load() < load && refused < 20 {
            let (team, size) = (team(self.rng.usize(0..TEAMS)), small(&mut self.rng));
            if !self.start(&team, size) {
                refused += 1;
            }
        }
    }

    fn churn(&mut self, load: f64) {
        for _ in 0..self.hosts.len() * CHURN {
            self.end_any();
            self.fill(load);
        }
    }

    fn most_in_one_data_centre(&self) -> f64 {
        let mut counts: FastMap<(TeamName, String), usize> = FastMap::default();
        let mut totals: FastMap<TeamName, usize> = FastMap::default();
        for (host, team, _) in &self.tasks {
            let place = self.hosts[self.index[host]].0.data_centre.to_string();
            *counts.entry((team.clone(), place)).or_default() += 1;
            *totals.entry(team.clone()).or_default() += 1;
        }
        let part =
            |((team, _), count): (&(TeamName, String), &usize)| *count as f64 / totals[team] as f64;
        counts.iter().map(part).fold(0.0, f64::max)
    }
}

fn small(rng: &mut fastrand::Rng) -> Resources {
    let millicores = rng.u32(2..17) * 250;
    let per_core = rng.u32(1_024..8_192);
    Resources { millicores, memory_mib: millicores * per_core / 1_000, accelerators: 0 }
}

fn team(n: usize) -> TeamName {
    format!("team-{n}").parse().expect("a name")
}

fn host(n: usize, resources: Resources) -> Host {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let rack = n / HOSTS_PER_RACK;
    let name = |text: String| text;
    Host {
        name: name(format!("host-{n}")).parse().expect("a name"),
        pool: "pool".parse().expect("a name"),
        rack: name(format!("rack-{rack}")).parse().expect("a name"),
        data_centre: name(format!("dc-{}", rack % DATA_CENTRES)).parse().expect("a name"),
        region: "region".parse().expect("a name"),
        backend: addr,
        worker: addr,
        slots: 8,
        connections: 64,
        resources,
        state: HostState::Serving,
    }
}

fn plain_hosts(count: usize) -> Vec<Host> {
    (0..count).map(|n| host(n, WHOLE)).collect()
}

fn quality(seed: u64) {
    println!(
        "large jobs (12 of 16 cores) that still fit after churn, of those that the free processors would hold"
    );
    println!("hosts  load  way        large-fit  whole-hosts  most-of-a-team-in-one-dc");
    for (count, load) in [(50, 0.5), (50, 0.7), (50, 0.8), (300, 0.5), (300, 0.7), (300, 0.8)] {
        for way in [Way::BestFit, Way::FirstFit, Way::Random] {
            let mut fleet = Fleet::new(way, plain_hosts(count), seed);
            fleet.fill(load);
            fleet.churn(load);
            let spread = fleet.most_in_one_data_centre();
            let whole = fleet.hosts.iter().filter(|(_, used)| used.millicores == 0).count();
            let free = (1.0 - fleet.load()) * count as f64 * f64::from(WHOLE.millicores);
            let ideal = free / f64::from(LARGE.millicores);
            let mut placed = 0;
            while fleet.start(&team(0), LARGE) {
                placed += 1;
            }
            let part = 100.0 * f64::from(placed) / ideal;
            let load = 100.0 * load;
            println!(
                "{count:5}  {load:3.0}%  {way:9?}  {part:8.1}%  {whole:11}  {:23.1}%",
                100.0 * spread
            );
        }
    }
    println!();
}

fn accelerators(seed: u64) {
    println!(
        "accelerators still usable (8 cores with each) after plain tasks filled 70 % of the plain hosts"
    );
    println!("way        usable");
    for way in [Way::BestFit, Way::FirstFit, Way::Random] {
        let accelerated = Resources { accelerators: 2, ..WHOLE };
        let hosts =
            (0..100).map(|n| host(n, if n % 4 == 0 { accelerated } else { WHOLE })).collect();
        let mut fleet = Fleet::new(way, hosts, seed);
        fleet.fill(0.75 * 0.7);
        fleet.churn(0.75 * 0.7);
        let size = Resources { millicores: 8_000, memory_mib: 16_384, accelerators: 1 };
        let mut placed = 0;
        while fleet.start(&team(0), size) {
            placed += 1;
        }
        println!("{way:9?}  {placed} of 50");
    }
    println!();
}

fn times(seed: u64) {
    println!(
        "time of a decision with its booking, one pool, 80 % load; and of one that finds no room"
    );
    println!("hosts   mean     p99      no room, mean");
    for count in [50, 300, 2_200, 22_000] {
        let mut fleet = Fleet::new(Way::BestFit, plain_hosts(count), seed);
        fleet.fill(0.8);
        let mut spans = Vec::new();
        for _ in 0..20_000 {
            fleet.end_any();
            let (team, size) = (team(fleet.rng.usize(0..TEAMS)), small(&mut fleet.rng));
            let began = Instant::now();
            let started = fleet.start(&team, size);
            let span = began.elapsed();
            if started {
                spans.push(span.as_nanos() as u64);
            }
        }
        spans.sort_unstable();
        let mean = spans.iter().sum::<u64>() / spans.len() as u64;
        let p99 = spans[spans.len() * 99 / 100];
        while fleet.start(&team(0), LARGE) {}
        let began = Instant::now();
        for _ in 0..1_000 {
            assert!(!fleet.start(&team(0), LARGE));
        }
        let no_room = began.elapsed().as_nanos() as u64 / 1_000;
        println!(
            "{count:6}  {:6.1} µs  {:6.1} µs  {:6.1} µs",
            mean as f64 / 1e3,
            p99 as f64 / 1e3,
            no_room as f64 / 1e3
        );
    }
    println!();
}

fn sizes(seed: u64) {
    println!(
        "declared sizes wrong by a factor of 1/4 to 4 for each kind; 50 hosts filled until 20 tasks wait"
    );
    println!(
        "sizes     true use of processors  hosts over their memory  hosts over their processors"
    );
    for learned in [Learning::Off, Learning::On] {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds: Vec<(Resources, f64)> =
            (0..12).map(|_| (small(&mut rng), 2f64.powf(rng.f64() * 4.0 - 2.0))).collect();
        let scaled = |size: Resources, factor: f64| Resources {
            millicores: (f64::from(size.millicores) * factor) as u32,
            memory_mib: (f64::from(size.memory_mib) * factor) as u32,
            accelerators: 0,
        };
        let mut sizes = Sizes::default();
        let owner = team(0);
        let kind = |n: usize| format!("kind-{n}").parse().expect("a name");
        if learned == Learning::On {
            for _ in 0..20 {
                for (n, (size, _)) in kinds.iter().enumerate() {
                    let peak = scaled(*size, 0.7 + 0.6 * rng.f64());
                    sizes.record(&owner, &kind(n), Usage { peak, run_time: 1_000 });
                }
            }
        }
        let mut fleet = Fleet::new(Way::BestFit, plain_hosts(50), seed);
        let mut truly: FastMap<HostName, Resources> = FastMap::default();
        let mut waiting = 0;
        while waiting < 20 {
            let n = rng.usize(0..kinds.len());
            let (size, factor) = kinds[n];
            let declared = scaled(size, factor).min_of(WHOLE);
            let placed = sizes.expected(&owner, &kind(n), declared, WHOLE);
            if !fleet.start(&owner, placed) {
                waiting += 1;
                continue;
            }
            let host = fleet.tasks.last().expect("just started").0.clone();
            let used = truly.entry(host).or_default();
            *used = used.plus(scaled(size, 0.7 + 0.6 * rng.f64()));
        }
        let cores: u64 = truly.values().map(|it| u64::from(it.millicores)).sum();
        let memory = truly.values().filter(|it| it.memory_mib > WHOLE.memory_mib).count();
        let processors = truly.values().filter(|it| it.millicores > WHOLE.millicores).count();
        let part = 100.0 * cores as f64 / (50.0 * f64::from(WHOLE.millicores));
        let name = if learned == Learning::On { "learned" } else { "declared" };
        println!("{name:8}  {part:21.1}%  {memory:20} of 50  {processors:20} of 50");
    }
    println!();
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Learning {
    Off,
    On,
}

fn turns(seed: u64) {
    println!("one turn of a pool's scheduler that places 64 jobs: 310 teams, 30 waiting jobs each");
    println!("hosts   time");
    for count in [10, 306, 2_200] {
        let mut rng = fastrand::Rng::with_seed(seed);
        let hosts = plain_hosts(count);
        let timing = Timing { lease: 15_000 };
        let pool = "pool".parse().expect("a name");
        let mut scheduler = Scheduler::new(pool, Fence(1), timing, Moment(0));
        scheduler.set_hosts(hosts.iter());
        let boot: Incarnation = "boot".parse().expect("a name");
        let mut number = 0_u64;
        let mut ids = || {
            number += 1;
            WriteId(number.to_string())
        };
        for host in &hosts {
            let ticket = Ticket { boot: boot.clone(), at: Moment(0), serial: 1 };
            let answer = WorkerAnswer::Report { ticket, tasks: Vec::new() };
            scheduler.on_answer(&host.name, answer, &mut ids, Moment(1));
        }
        scheduler.begin_read();
        let rows = (0..310 * 30).map(|n| (row(n, &mut rng), n as u64 + 1)).collect();
        scheduler.end_read(rows);
        let weight = |_: &TeamName| Some(Weight { share: 1, urgency: Urgency::Normal });
        let began = Instant::now();
        scheduler.refresh_workers(Moment(2));
        let placed = scheduler.place_next(64, weight, |_| 100, &mut ids, Moment(2));
        let span = began.elapsed();
        println!("{count:5}  {:6.2} ms for {} jobs", span.as_secs_f64() * 1e3, placed.len());
    }
}

fn row(n: usize, rng: &mut fastrand::Rng) -> JobRow {
    let spec = JobSpec {
        kind: "kind".parse().expect("a name"),
        resources: small(rng),
        run_time: 1_000,
        payload: String::new(),
        rerun: Rerun::Idempotent,
    };
    JobRow::accepted(JobCore {
        id: format!("job-{n}").parse().expect("a name"),
        pool: "pool".parse().expect("a name"),
        team: team(n % 310),
        spec,
        accepted_at: WallTime(0),
        attempt: 0,
        begun: Begun::Never,
        failed_on: Vec::new(),
        cancel: Cancel::No,
        writes: Vec::new(),
    })
}
