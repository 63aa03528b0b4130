//! Runs two plans at once with failing hosts, replaced runners and entry hosts that apply the configuration late.
//! Budgets must hold, no host may receive work for two pools or during a restart, and each plan must end or
//! report why it waits.

mod fleets;

use std::collections::BTreeMap;

use fastrand::Rng;
use fleets::{RUIYUAN, Shape, entry, fleet, name, req};
use fuchsiamill_model::{
    Change, Configuration, HostName, HostState, Intent, LogEntry, Millisecond, Moment, PlanId,
    PlanState, PoolName, Version,
};
use fuchsiamill_policy::{
    planner::{self, Plan, Step},
    waves::{Action, Health, Limits, Observations, Probe, Reading, Restart, Runner, Tasks, Wait},
};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 20_262;
const SIZE: usize = 100;
const TICK: Millisecond = 200;
const SETTLE: Millisecond = 1_000;
const REBOOT: Millisecond = 2_000;
const MAX_WORK: Millisecond = 3_000;
const ENTRY_HOSTS: usize = 3;
const MAX_TICKS: usize = 6_000;
const LIMITS: Limits =
    Limits { settle: SETTLE, unreachable: 10_000, reboot: 6_000, check: 6_000, max_failures: 3 };

/// A request in progress on a host.
#[derive(Clone, Debug)]
struct Run {
    host: HostName,
    pool: PoolName,
    ends: Moment,
}

/// A request that has been granted but not yet sent.
#[derive(Clone, Debug)]
struct Grant {
    run: Run,
    starts: Moment,
}

/// The simulated machine of one host.
#[derive(Clone, Debug, Default)]
struct Machine {
    back_at: Option<Moment>,
    is_lost: bool,
}

struct World {
    rng: Rng,
    now: Moment,
    log: Vec<Configuration>,
    applied: [usize; ENTRY_HOSTS],
    machines: BTreeMap<HostName, Machine>,
    runs: Vec<Run>,
    grants: Vec<Grant>,
    faults: Option<String>,
}

impl World {
    fn new(cfg: Configuration, seed: u64) -> Self {
        let machines = cfg.hosts.keys().map(|it| (it.clone(), Machine::default())).collect();
        Self {
            rng: Rng::with_seed(seed),
            now: Moment(1),
            log: vec![cfg],
            applied: [0; ENTRY_HOSTS],
            machines,
            runs: Vec::new(),
            grants: Vec::new(),
            faults: None,
        }
    }

    fn config(&self) -> &Configuration {
        self.log.last().expect("a configuration")
    }

    fn fault(&mut self, what: String) {
        self.faults.get_or_insert(what);
    }

    fn apply(&mut self, plan: Option<PlanId>, changes: Vec<Change>) -> bool {
        let entry = entry(self.config(), plan, changes);
        let mut next = self.config().clone();
        if next.apply(&entry).is_err() {
            return false;
        }
        self.check_budgets(&entry, &next);
        self.log.push(next);
        true
    }

    fn check_budgets(&mut self, entry: &LogEntry, after: &Configuration) {
        for change in &entry.changes {
            let Change::SetHostState { host, state: HostState::Draining } = change else {
                continue;
            };
            let host = &after.hosts[host];
            let pool = &after.pools[&host.pool];
            let left = after.serving_slots(&pool.name);
            let out = after.out_in_domain(&pool.name, &host.data_centre);
            if left < pool.least_serving || out > pool.most_out_per_domain {
                self.fault(format!("budget of {} broken: {left} left, {out} out", pool.name));
            }
        }
    }

    fn accepted(&self) -> Version {
        let oldest = self.applied.iter().min().expect("entry hosts");
        self.log[*oldest].version
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for at in 0..ENTRY_HOSTS {
            let newest = self.log.len() - 1;
            if self.rng.u8(..) < 96 {
                self.applied[at] = self.rng.usize(self.applied[at]..=newest);
            }
            self.grant(at);
        }
        let now = self.now;
        for grant in self.grants.extract_if(.., |it| it.starts <= now).collect::<Vec<_>>() {
            self.start(grant.run);
        }
        self.runs.retain(|run| run.ends > now);
    }

    /// Lets an entry host grant a request by the configuration that it has applied.
    fn grant(&mut self, at: usize) {
        let cfg = &self.log[self.applied[at]];
        let nth = self.rng.usize(..cfg.hosts.len());
        let host = cfg.hosts.values().nth(nth).expect("a host");
        if host.state != HostState::Serving {
            return;
        }
        let starts = self.now + self.rng.u64(..SETTLE);
        let ends = starts + self.rng.u64(1..MAX_WORK);
        let run = Run { host: host.name.clone(), pool: host.pool.clone(), ends };
        self.grants.push(Grant { run, starts });
    }

    fn start(&mut self, run: Run) {
        if self.machines[&run.host].is_lost {
            return;
        }
        if self.machines[&run.host].back_at.is_some_and(|at| at > self.now) {
            self.fault(format!("{} was sent work while it restarted", run.host));
        }
        if self.runs.iter().any(|it| it.host == run.host && it.pool != run.pool) {
            self.fault(format!("{} served two pools", run.host));
        }
        self.runs.push(run);
    }

    fn reboot(&mut self, host: &HostName) {
        if self.runs.iter().any(|it| &it.host == host) {
            self.fault(format!("{host} was restarted with work in flight"));
        }
        let now = self.now;
        let machine = self.machines.get_mut(host).expect("a host");
        machine.back_at.get_or_insert(now + REBOOT);
    }

    fn reading(&mut self, host: &HostName) -> Reading {
        let in_flight = self.runs.iter().filter(|it| &it.host == host).count() as u32;
        let state = self.config().hosts[host].state;
        let now = self.now;
        let machine = self.machines.get_mut(host).expect("a host");
        if state != HostState::Rebooting && machine.back_at.is_some_and(|at| at <= now) {
            machine.back_at = None;
        }
        let is_up = machine.back_at.is_none_or(|at| at <= now) && !machine.is_lost;
        let probe = is_up.then_some(Probe { at: now, in_flight, healthy: Health::Good });
        let restart = match machine.back_at {
            Some(at) if at <= now && !machine.is_lost => Some(Restart::Done),
            Some(_) => Some(Restart::Running),
            None => None,
        };
        Reading { probe, tasks: Some(Tasks { at: now, count: 0 }), restart }
    }

    fn lose_host(&mut self) {
        let nth = self.rng.usize(..self.machines.len());
        let host = self.machines.keys().nth(nth).expect("a host").clone();
        self.machines.get_mut(&host).expect("a host").is_lost = true;
        if self.config().hosts[&host].state != HostState::SetAside {
            let state = HostState::SetAside;
            self.apply(None, vec![Change::SetHostState { host, state }]);
        }
    }
}

/// A plan's runner, which often works with an outdated configuration.
struct Actor {
    id: PlanId,
    steps: Vec<Step>,
    runner: Runner,
    snapshot: usize,
    waits: Vec<Wait>,
    refused: usize,
}

impl Actor {
    fn new(plan: &Plan) -> Self {
        let runner = Runner::new(plan.id.clone(), plan.steps.clone(), LIMITS);
        let steps = plan.steps.clone();
        Self { id: plan.id.clone(), steps, runner, snapshot: 0, waits: Vec::new(), refused: 0 }
    }

    fn replace(&mut self) {
        self.runner = Runner::new(self.id.clone(), self.steps.clone(), LIMITS);
    }

    fn act(&mut self, world: &mut World) {
        if world.rng.u8(..) < 200 {
            self.snapshot = world.log.len() - 1;
        }
        let cfg = world.log[self.snapshot].clone();
        let accepted = world.accepted();
        let out: Vec<_> = self.runner.out(&cfg).map(|host| host.name.clone()).collect();
        let hosts = out.into_iter().map(|it| (it.clone(), world.reading(&it))).collect();
        let turn = self.runner.turn(&cfg, &Observations { accepted, hosts }, world.now);
        self.waits = turn.waits;
        for action in turn.actions {
            match action {
                Action::Reboot(host) if cfg.version == world.config().version => {
                    world.reboot(&host)
                }
                Action::Reboot(_) => {}
                Action::Propose(changes) if cfg.version == world.config().version => {
                    self.refused += usize::from(!world.apply(Some(self.id.clone()), changes));
                }
                Action::Propose(_) => {}
            }
        }
    }

    fn has_ended(&self, world: &World) -> bool {
        !world.config().plans.contains_key(&self.id)
    }
}

fn plan_of(cfg: &Configuration, id: &str, intent: &Intent) -> Option<Plan> {
    let req = planner::Request { id: name(id), ..req(RUIYUAN) };
    planner::plan(cfg, &req, intent).ok().filter(|plan| plan.blocked.is_empty())
}

fn start(world: &mut World, plan: &Plan) -> bool {
    let change = Change::StartPlan { plan: plan.id.clone(), hosts: plan.hosts() };
    world.apply(Some(plan.id.clone()), vec![change])
}

fn set_plan_state(world: &mut World, plan: &PlanId, state: PlanState) {
    world.apply(Some(plan.clone()), vec![Change::SetPlanState { plan: plan.clone(), state }]);
}

fn disturb(world: &mut World, actors: &mut [Actor], failures: &mut u8) {
    match world.rng.u16(..2_000) {
        0..8 if *failures > 0 => {
            *failures -= 1;
            world.lose_host();
        }
        8..40 => {
            let nth = world.rng.usize(..actors.len());
            actors[nth].replace();
        }
        40..44 => set_plan_state(world, &actors[0].id, PlanState::Paused),
        44..60 => set_plan_state(world, &actors[0].id, PlanState::Running),
        60 => set_plan_state(world, &actors[0].id, PlanState::Cancelling),
        _ => {}
    }
}

fn run(world: &mut World, actors: &mut [Actor], mut failures: u8) -> TestResult {
    for _ in 0..MAX_TICKS {
        world.tick();
        for actor in actors.iter_mut() {
            actor.act(world);
        }
        disturb(world, actors, &mut failures);
        if let Some(fault) = &world.faults {
            return TestResult::error(fault.clone());
        }
        if actors.iter().all(|it| it.has_ended(world)) {
            return TestResult::passed();
        }
    }
    match actors.iter().find(|it| !it.has_ended(world) && it.waits.is_empty()) {
        Some(stuck) => TestResult::error(format!(
            "plan {} has not ended and gives no reason to wait",
            stuck.id
        )),
        None => TestResult::passed(),
    }
}

fn two_plans(cfg: &Configuration, pools: usize) -> Vec<Plan> {
    let [first, last] = [0, pools - 1].map(fleets::pool_name);
    let wave = Intent::Wave { pool: Some(first.clone()) };
    let others = [
        Intent::MoveHosts { from: last.clone(), to: first, count: 2 },
        Intent::Wave { pool: Some(last) },
    ];
    let one = plan_of(cfg, "plan-a", &wave);
    let two = others.iter().find_map(|it| plan_of(cfg, "plan-b", it));
    one.into_iter().chain(two).collect()
}

fn property(shape: Shape, seed: u64, failures: u8) -> TestResult {
    let cfg = fleet(&shape);
    let plans = two_plans(&cfg, shape.pools);
    let mut world = World::new(cfg, seed);
    let started = plans.iter().filter(|plan| start(&mut world, plan)).collect::<Vec<_>>();
    let mut actors: Vec<_> = started.into_iter().map(Actor::new).collect();
    if actors.is_empty() {
        return TestResult::discard();
    }
    run(&mut world, &mut actors, failures % 6)
}

#[test]
fn plans_interleave_within_budgets() {
    let rng = Gen::from_size_and_seed(SIZE, SEED);
    let mut check = QuickCheck::new().rng(rng).tests(150).max_tests(3_000);
    check.quickcheck(property as fn(Shape, u64, u8) -> TestResult);
}

#[test]
fn undisturbed_fleet_wave_restarts_every_host() {
    let cfg = fleet(&Shape::today());
    let plan = plan_of(&cfg, "plan-a", &Intent::Wave { pool: None }).expect("a plan");
    let mut world = World::new(cfg.clone(), SEED);
    assert!(start(&mut world, &plan));
    let mut actor = Actor::new(&plan);
    for _ in 0..MAX_TICKS {
        world.tick();
        actor.act(&mut world);
        if actor.has_ended(&world) {
            break;
        }
    }
    assert_eq!(world.faults, None);
    assert!(actor.has_ended(&world), "{:?}", actor.waits);
    assert_eq!(actor.refused, 0);
    assert_eq!(world.config().hosts, cfg.hosts);
    let restarted =
        |host: &HostName| world.log.iter().any(|cfg| cfg.hosts[host].state == HostState::Rebooting);
    assert!(cfg.hosts.keys().all(restarted));
}

#[test]
fn cancelled_plan_returns_lent_hosts() {
    let mut shape = Shape::today();
    shape.least = 80;
    let cfg = fleet(&shape);
    let plan = plan_of(&cfg, "plan-a", &Intent::Wave { pool: Some(name("p0")) }).expect("a plan");
    let mut world = World::new(cfg.clone(), SEED);
    assert!(start(&mut world, &plan));
    let mut actor = Actor::new(&plan);
    let lent = |cfg: &Configuration| cfg.hosts_of(&name("p0")).count() > 10;
    for _ in 0..MAX_TICKS {
        world.tick();
        actor.act(&mut world);
        if lent(world.config()) && world.config().plans[&plan.id].state == PlanState::Running {
            set_plan_state(&mut world, &plan.id, PlanState::Cancelling);
        }
        if actor.has_ended(&world) {
            break;
        }
    }
    assert!(actor.has_ended(&world), "{:?}", actor.waits);
    assert!(world.log.iter().any(lent));
    assert_eq!(world.config().hosts, cfg.hosts);
}
