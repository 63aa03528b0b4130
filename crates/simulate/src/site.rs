//! The site around the coordinator: hosts, the store, and the ways between them.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiamill_fleet::{
    Config, Coordinator, Ending, HostState, Name, Order, Pool, TaskId, Team, Timing, WorkerReport,
    coordinator::{DutyReply, HostDuty, StartReply, Takeover},
};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment, WallTime},
};

use crate::{
    load::{Arrival, Load, WALL, rack_name},
    machine::{Machine, Running},
    outcome::{Outcome, work_of},
};

/// The time between two looks at the world.
const TICK_MS: Millisecond = 5;

/// The time between two looks at a worker on which nothing ends.
const LOOK_MS: Millisecond = 500;

/// The time between two reads of the list of hosts.
const LIST_MS: Millisecond = 400;

/// The time between two decisions on hosts.
const PLAN_MS: Millisecond = 100;

/// How long the store takes for a change.
const CHANGE_MS: Millisecond = 12;

/// The way of an order to a worker or a host.
const ORDER_MS: Millisecond = 5;

/// How long jobs may go on after the last one came.
const REST_MS: Millisecond = 30_000;

/// The moment at which each play begins, on the steady clock.
const BEGIN: Moment = Moment(1_000_000);

/// How many hosts a site has, and how large they are.
#[derive(Clone, Debug)]
pub struct SiteSize {
    /// Hosts of the pool of each queue, before the first job.
    pub hosts: u32,
    /// Hosts that are switched off.
    pub spare: u32,
    /// Hosts in a rack.
    pub rack: u32,
    /// Processors of a host; it has as many MiB of memory as millicores.
    pub cores: u32,
    /// How long a task takes far from its data, in per cent.
    pub far_percent: u64,
    /// What the coordinator is told of that; 100 makes it place tasks as if racks did not matter.
    pub configured_far_percent: u64,
}

impl SiteSize {
    /// Ten hosts for each queue and eight that are switched off, four in a rack.
    pub fn ten_hosts_per_queue(far_percent: u64) -> Self {
        Self {
            hosts: 10,
            spare: 8,
            rack: 4,
            cores: 16,
            far_percent,
            configured_far_percent: far_percent,
        }
    }
}

/// What goes wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The store confirms nothing from one moment to another.
    StoreUnavailable(Millisecond, Millisecond),
    /// So many hosts that are up are down from one moment to another.
    HostsDown(u32, Millisecond, Millisecond),
}

/// A play under way.
pub struct Site {
    now: Millisecond,
    size: SiteSize,
    faults: Vec<Fault>,
    coordinator: Coordinator,
    timing: Timing,
    machines: Vec<Machine>,
    arrivals: BTreeMap<Name, Arrival>,
    first_start: BTreeMap<Name, Millisecond>,
    done: BTreeMap<Name, Millisecond>,
    flights: Vec<(Millisecond, Order)>,
    change: Option<Millisecond>,
    closing: Vec<Name>,
    outcome: Outcome,
}

/// Plays a load on a site, with the faults that go with it.
pub fn simulate(size: &SiteSize, load: &Load, faults: &[Fault], seed: u64) -> Outcome {
    let racks = (size.hosts * load.queues.len() as u32 + size.spare).div_ceil(size.rack.max(1));
    let arrivals = load.arrivals(seed, racks);
    let mut site = Site::new(size.clone(), load, faults.to_vec());
    let mut coming = arrivals.into_iter().peekable();
    while site.now < load.length_ms + REST_MS {
        while let Some(it) = coming.next_if(|it| it.at <= site.now) {
            site.accept(it);
        }
        site.step(site.now < load.length_ms);
    }
    site.finish()
}

impl Site {
    fn new(size: SiteSize, load: &Load, faults: Vec<Fault>) -> Self {
        let mut config = Config { version: 1, ..Config::default() };
        let pools = load.queues.iter().map(|it| (it.pool.clone(), false));
        for (name, spare) in pools.chain([("spare".into(), true)]) {
            config.pools.insert(name.clone(), Pool { name, spare, health_probe: None });
        }
        let team = Team { name: "team".into(), weight: f64::MAX, limit: Resources::default() };
        config.teams.insert(team.name.clone(), team);
        let timing = Timing { far_percent: size.configured_far_percent, ..Timing::default() };
        let takeover = Takeover { renewals_end: BEGIN, at: BEGIN };
        let own = load.queues.iter().flat_map(|it| (0..size.hosts).map(|_| it.pool.clone()));
        let spare = (0..size.spare).map(|_| Name::from("spare"));
        let machine = |(number, pool): (usize, Name)| {
            let rack = rack_name(number as u32 / size.rack.max(1));
            Machine::new(format!("h{number:03}").into(), rack, pool)
        };
        let mut site = Self {
            now: 0,
            machines: own.chain(spare).enumerate().map(machine).collect(),
            size,
            faults,
            coordinator: Coordinator::new(timing.clone(), Arc::new(config), takeover),
            timing,
            arrivals: BTreeMap::new(),
            first_start: BTreeMap::new(),
            done: BTreeMap::new(),
            flights: Vec::new(),
            change: None,
            closing: Vec::new(),
            outcome: Outcome::default(),
        };
        site.list();
        (0..site.machines.len()).for_each(|it| site.look(it));
        site
    }

    fn moment(&self) -> Moment {
        BEGIN + self.now
    }

    fn capacity(&self) -> Resources {
        let millicores = self.size.cores * 1_000;
        Resources { millicores, memory_mib: millicores, accelerators: 0 }
    }

    fn accept(&mut self, arrival: Arrival) {
        let (id, spec) = (arrival.id.clone(), arrival.spec.clone());
        self.arrivals.insert(id.clone(), arrival);
        let wall = WallTime(WALL.0 + self.now);
        self.coordinator.accept(id, spec, None, self.moment(), wall);
    }

    /// One look at everything; hosts cost while `is_paid`.
    fn step(&mut self, is_paid: bool) {
        self.apply_faults();
        self.end_runs();
        for number in 0..self.machines.len() {
            self.wake(number);
            // Looks at different workers come at different times.
            let is_due = (self.now / TICK_MS + number as u64).is_multiple_of(LOOK_MS / TICK_MS);
            if is_due || !self.machines[number].ended.is_empty() {
                self.look(number);
            }
        }
        if self.now.is_multiple_of(LIST_MS) {
            self.list();
        }
        self.decide();
        self.store();
        self.deliver();
        if is_paid {
            let paid = self.machines.iter().filter(|it| it.pool != "spare").count();
            self.outcome.host_s += (paid as u64 * TICK_MS) as f64 / 1_000.0;
        }
        self.now += TICK_MS;
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        for fault in &self.faults {
            if let Fault::HostsDown(count, from, to) = *fault
                && (from..from + TICK_MS).contains(&now)
            {
                let is_up = |it: &&mut Machine| it.state == HostState::Up && it.pool != "spare";
                for it in self.machines.iter_mut().filter(is_up).take(count as usize) {
                    it.state = HostState::Down;
                    it.until = to;
                    it.running.clear();
                }
            }
        }
    }

    fn end_runs(&mut self) {
        for machine in &mut self.machines {
            let over = machine.running.iter().filter(|it| it.1.ends <= self.now);
            let over: Vec<TaskId> = over.map(|it| it.0.clone()).collect();
            over.iter().for_each(|it| machine.end(it, Ending::Done));
        }
    }

    /// A host that was away is up again.
    fn wake(&mut self, number: usize) {
        let (now, capacity) = (self.moment(), self.capacity());
        let machine = &mut self.machines[number];
        if machine.state == HostState::Up || self.now < machine.until {
            return;
        }
        let former = machine.worker();
        machine.state = HostState::Up;
        machine.restart();
        self.coordinator.worker_unlisted(&former);
        if machine.pool != "spare" {
            self.coordinator.worker_listed(machine.worker_seen(capacity), now);
        }
    }

    fn look(&mut self, number: usize) {
        let now = self.moment();
        let machine = &self.machines[number];
        let worker = machine.worker();
        if machine.state != HostState::Up {
            self.coordinator.worker_dead(&worker, machine.life, now);
        } else if machine.pool != "spare" {
            let report = WorkerReport {
                asked: now,
                born: machine.life,
                running: machine.runs(self.now),
                ended: machine.ended.clone(),
            };
            self.coordinator.worker_reported(&worker, report, now);
        }
    }

    fn list(&mut self) {
        let (now, capacity) = (self.moment(), self.capacity());
        if self.now == 0 {
            for it in self.machines.iter().filter(|it| it.pool != "spare") {
                self.coordinator.worker_listed(it.worker_seen(capacity), now);
            }
        }
        let has_worker = |it: &Machine| it.state == HostState::Up && it.pool != "spare";
        let seen = self.machines.iter().map(|it| it.host_seen(capacity, has_worker(it))).collect();
        self.coordinator.hosts_listed(seen, now);
    }

    fn decide(&mut self) {
        let now = self.moment();
        self.coordinator.tick(now, WallTime(WALL.0 + self.now));
        self.coordinator.place(now);
        if self.now.is_multiple_of(PLAN_MS) {
            self.coordinator.plan_hosts(now);
        }
        if self.change.is_none()
            && let Some(commit) = self.coordinator.next_commit()
        {
            let over = commit.records.iter().filter(|it| it.1.stage.is_over());
            self.closing = over.map(|it| it.0.clone()).collect();
            self.change = Some(self.now);
        }
        let arrival = self.now + ORDER_MS;
        let orders = self.coordinator.take_orders().into_iter();
        self.flights.extend(orders.map(|it| (arrival, it)));
    }

    /// The store makes the change that is under way, unless it is away.
    fn store(&mut self) {
        let now = self.now;
        let is_away = |it: &Fault| matches!(it, Fault::StoreUnavailable(from, to) if (*from..*to).contains(&now));
        if self.faults.iter().any(is_away) || self.change.is_none_or(|it| now < it + CHANGE_MS) {
            return;
        }
        self.change = None;
        for id in std::mem::take(&mut self.closing) {
            self.done.entry(id).or_insert(now);
        }
        self.coordinator.committed(self.moment());
    }

    fn deliver(&mut self) {
        let flights = std::mem::take(&mut self.flights);
        let (due, later) = flights.into_iter().partition(|it| it.0 <= self.now);
        self.flights = later;
        for (_, order) in due {
            self.carry_out(order);
        }
    }

    fn machine_of(&mut self, worker: &Name) -> Option<&mut Machine> {
        let is_it = |it: &&mut Machine| it.state == HostState::Up && it.worker() == *worker;
        self.machines.iter_mut().find(is_it)
    }

    fn carry_out(&mut self, order: Order) {
        let now = self.moment();
        match order {
            Order::Start { worker, task, run, .. } => {
                let answer = self.start(&worker, &task, run);
                self.coordinator.start_answered(&task, run, answer, now);
            }
            Order::Stop { worker, task, run } => {
                if let Some(machine) = self.machine_of(&worker)
                    && machine.running.get(&task).is_some_and(|it| it.run == run)
                {
                    machine.end(&task, Ending::Stopped);
                    self.outcome.aborted_runs += 1;
                }
                self.coordinator.stop_answered(&task, run, now);
            }
            Order::Acknowledge { worker, upto, .. } => {
                if let Some(machine) = self.machine_of(&worker) {
                    machine.ended.retain(|it| it.number > upto);
                }
            }
            Order::Host { host, duty } => self.order_host(&host, duty),
            Order::Watch { .. }
            | Order::AskHealth { .. }
            | Order::Pace { .. }
            | Order::Advise { .. } => {}
        }
    }

    fn start(&mut self, worker: &Name, task: &TaskId, run: u32) -> StartReply {
        let (now, far_percent) = (self.now, self.size.far_percent);
        let Some(arrival) = self.arrivals.get(&task.job) else { return StartReply::NotSent };
        let near = arrival.spec.steps[task.step as usize].rack.clone();
        let usual = arrival.work[task.step as usize][task.index as usize];
        let millicores = arrival.spec.steps[task.step as usize].size.millicores;
        let Some(machine) = self.machine_of(worker) else { return StartReply::NotSent };
        let is_far = near.is_some_and(|it| it != machine.rack);
        let takes = if is_far { usual * far_percent / 100 } else { usual };
        machine.running.insert(task.clone(), Running { run, began: now, ends: now + takes });
        self.outcome.far_tasks += u64::from(is_far);
        self.outcome.core_s += (takes * u64::from(millicores)) as f64 / 1e6;
        self.first_start.entry(task.job.clone()).or_insert(now);
        StartReply::Running
    }

    fn order_host(&mut self, host: &Name, duty: HostDuty) {
        let (now, moment) = (self.now, self.moment());
        let Some(machine) = self.machines.iter_mut().find(|it| it.name == *host) else { return };
        let reply = if machine.state != HostState::Up {
            DutyReply::Refused
        } else {
            self.outcome.aborted_runs += machine.running.len() as u64;
            machine.running.clear();
            match &duty {
                HostDuty::Move { pool } => {
                    machine.pool = pool.clone();
                    machine.state = HostState::Moving;
                    machine.until = now + self.timing.move_ms;
                    self.outcome.moves += 1;
                }
                HostDuty::Maintain { .. } => {
                    machine.state = HostState::Maintenance;
                    machine.until = now + self.timing.maintenance_ms;
                }
            }
            DutyReply::Done
        };
        self.coordinator.host_answered(host, &duty, reply, moment);
    }

    fn finish(mut self) -> Outcome {
        let (mut all, mut in_time) = (0, 0);
        for (id, arrival) in &self.arrivals {
            let took = self.done.get(id).map(|it| it - arrival.at);
            let before = self.outcome.in_time;
            self.outcome.count(arrival, took);
            all += work_of(arrival);
            in_time += if self.outcome.in_time > before { work_of(arrival) } else { 0 };
            let begun = self.first_start.get(id).copied().unwrap_or(self.now);
            self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(begun - arrival.at);
        }
        self.outcome.work_in_time = in_time as f64 / (all as f64).max(1.0);
        self.outcome
    }
}
