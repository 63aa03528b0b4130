//! The simulated site around the coordinator: hosts, the store and the delays between them.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiamill_fleet::{
    Config, Coordinator, Ending, HostListing, HostState, Name, Order, Pool, TaskId, Team, Timing,
    WorkerReport,
    coordinator::{DutyReply, HostDuty, StartReply, Takeover},
    durations::Durations,
};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment, WallTime},
};

use crate::{
    load::{Arrival, Load, START_WALL_TIME, rack_name},
    machine::{Machine, Running},
    outcome::{Outcome, work_of},
    pool_meter::PoolMeter,
    size::{Fault, SiteSize},
};

/// The step of virtual time.
const TICK_MS: Millisecond = 5;

/// The period of polls of a worker on which no run ends, in milliseconds.
const POLL_INTERVAL: Millisecond = 500;

/// The period of reads of the host list, in milliseconds.
const HOST_LIST_INTERVAL: Millisecond = 400;

/// The period of the coordinator's planning of hosts, in milliseconds.
const PLANNING_INTERVAL: Millisecond = 100;

/// The time that the store takes for a transaction.
const COMMIT_MS: Millisecond = 12;

/// The delay of an order to a worker or a host.
const ORDER_DELAY_MS: Millisecond = 5;

/// The time for jobs to complete after the last arrival.
const COMPLETION_MS: Millisecond = 30_000;

/// The time at which each simulation begins, on the monotonic clock.
const START: Moment = Moment(1_000_000);

/// A simulation in progress.
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
    in_flight: Vec<(Millisecond, Order)>,
    /// When the transaction in progress was begun.
    commit: Option<Millisecond>,
    completing: Vec<Name>,
    outcome: Outcome,
    meter: PoolMeter,
}

/// Simulates a load on a site with these faults.
pub fn simulate(size: &SiteSize, load: &Load, faults: &[Fault], seed: u64) -> Outcome {
    simulate_learning(size, load, faults, seed, false)
}

/// Like [`simulate`]; durations are learned and used if `learns` is set.
pub fn simulate_learning(
    size: &SiteSize,
    load: &Load,
    faults: &[Fault],
    seed: u64,
    learns: bool,
) -> Outcome {
    let racks = (size.hosts.iter().sum::<u32>() + size.spare).div_ceil(size.rack.max(1));
    let arrivals = load.arrivals(seed, racks);
    let mut site = Site::new(size.clone(), load, faults.to_vec());
    if learns {
        site.coordinator.learn_durations(Durations::default());
    }
    let mut arriving = arrivals.into_iter().peekable();
    while site.now < load.length_ms + COMPLETION_MS {
        while let Some(it) = arriving.next_if(|it| it.at <= site.now) {
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
        let timing = Timing {
            far_percent: size.configured_far_percent,
            demand_pools: size.demand_pools,
            ..Timing::default()
        };
        let takeover = Takeover { renewals_end: START, at: START };
        let own = load.queues.iter().zip(&size.hosts);
        let own = own.flat_map(|(it, hosts)| (0..*hosts).map(|_| it.pool.clone()));
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
            in_flight: Vec::new(),
            commit: None,
            completing: Vec::new(),
            outcome: Outcome::default(),
            meter: PoolMeter::default(),
        };
        site.list_hosts();
        (0..site.machines.len()).for_each(|it| site.poll(it));
        site
    }

    fn moment(&self) -> Moment {
        START + self.now
    }

    fn capacity(&self) -> Resources {
        let millicores = self.size.cores * 1_000;
        Resources { millicores, memory_mib: millicores, accelerators: 0 }
    }

    fn accept(&mut self, arrival: Arrival) {
        let (id, spec) = (arrival.id.clone(), arrival.spec.clone());
        self.arrivals.insert(id.clone(), arrival);
        let wall = WallTime(START_WALL_TIME.0 + self.now);
        self.coordinator.accept(id, spec, None, self.moment(), wall);
    }

    /// Advances the simulation by one step. Host seconds are counted while `is_paid`.
    fn step(&mut self, is_paid: bool) {
        self.apply_faults();
        self.end_runs();
        for number in 0..self.machines.len() {
            self.bring_up(number);
            // Polls of different workers are spread over the interval.
            let is_due =
                (self.now / TICK_MS + number as u64).is_multiple_of(POLL_INTERVAL / TICK_MS);
            if is_due || !self.machines[number].ended.is_empty() {
                self.poll(number);
            }
        }
        if self.now.is_multiple_of(HOST_LIST_INTERVAL) {
            self.list_hosts();
        }
        self.run_coordinator();
        self.run_store();
        self.deliver();
        if is_paid {
            self.meter.count(&self.machines, self.coordinator.pool_needs(), TICK_MS);
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

    /// Brings a host up again once its downtime is over.
    fn bring_up(&mut self, number: usize) {
        let (now, capacity) = (self.moment(), self.capacity());
        let machine = &mut self.machines[number];
        if machine.state == HostState::Up || self.now < machine.until {
            return;
        }
        let former = machine.worker_id();
        machine.state = HostState::Up;
        machine.restart();
        self.coordinator.worker_unlisted(&former);
        if machine.pool != "spare" {
            self.coordinator.worker_listed(machine.worker_info(capacity), now);
        }
    }

    fn poll(&mut self, number: usize) {
        let now = self.moment();
        let machine = &self.machines[number];
        let worker = machine.worker_id();
        if machine.state != HostState::Up {
            self.coordinator.worker_silent(&worker, now);
        } else if machine.pool != "spare" {
            let report = WorkerReport {
                asked: now,
                born: machine.incarnation,
                running: machine.runs(self.now),
                ended: machine.ended.clone(),
                has_more_ends: false,
            };
            self.coordinator.worker_reported(&worker, report, now);
        }
    }

    fn list_hosts(&mut self) {
        let (now, capacity) = (self.moment(), self.capacity());
        if self.now == 0 {
            for it in self.machines.iter().filter(|it| it.pool != "spare") {
                self.coordinator.worker_listed(it.worker_info(capacity), now);
            }
        }
        let has_worker = |it: &Machine| it.state == HostState::Up && it.pool != "spare";
        let hosts = self.machines.iter().map(|it| it.host_info(capacity, has_worker(it))).collect();
        self.coordinator.hosts_listed(&HostListing { hosts, is_whole: true, asked: now });
    }

    fn run_coordinator(&mut self) {
        let now = self.moment();
        self.coordinator.tick(now, WallTime(START_WALL_TIME.0 + self.now));
        self.coordinator.place(now);
        if self.now.is_multiple_of(PLANNING_INTERVAL) {
            self.coordinator.plan_hosts(now);
        }
        if self.commit.is_none()
            && let Some(commit) = self.coordinator.next_commit()
        {
            let over = commit.records.iter().filter(|it| it.1.stage.is_over());
            self.completing = over.map(|it| it.0.clone()).collect();
            self.commit = Some(self.now);
        }
        let arrival = self.now + ORDER_DELAY_MS;
        let orders = self.coordinator.take_orders().into_iter();
        self.in_flight.extend(orders.map(|it| (arrival, it)));
    }

    /// Commits the transaction that is in progress, unless the store is unavailable.
    fn run_store(&mut self) {
        let now = self.now;
        let is_down = |it: &Fault| matches!(it, Fault::StoreUnavailable(from, to) if (*from..*to).contains(&now));
        if self.faults.iter().any(is_down) || self.commit.is_none_or(|it| now < it + COMMIT_MS) {
            return;
        }
        self.commit = None;
        for id in std::mem::take(&mut self.completing) {
            self.done.entry(id).or_insert(now);
        }
        self.coordinator.committed(self.moment());
    }

    fn deliver(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later) = in_flight.into_iter().partition(|it| it.0 <= self.now);
        self.in_flight = later;
        for (_, order) in due {
            self.carry_out(order);
        }
    }

    fn machine_of(&mut self, worker: &Name) -> Option<&mut Machine> {
        let is_it = |it: &&mut Machine| it.state == HostState::Up && it.worker_id() == *worker;
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
            | Order::Look { .. }
            | Order::AskHealth { .. }
            | Order::Pace { .. }
            | Order::Advise { .. } => {}
        }
    }

    fn start(&mut self, worker: &Name, task: &TaskId, run: u32) -> StartReply {
        let (now, far_percent) = (self.now, self.size.far_percent);
        let Some(arrival) = self.arrivals.get(&task.job) else { return StartReply::NotSent };
        let near = arrival.spec.steps[task.step as usize].rack.clone();
        let near_ms = arrival.work[task.step as usize][task.index as usize];
        let millicores = arrival.spec.steps[task.step as usize].size.millicores;
        let is_lasting = arrival.is_lasting();
        let Some(machine) = self.machine_of(worker) else { return StartReply::NotSent };
        let is_far = near.is_some_and(|it| it != machine.rack);
        let run_ms = if is_far { near_ms * far_percent / 100 } else { near_ms };
        machine.running.insert(task.clone(), Running { run, started: now, ends: now + run_ms });
        self.outcome.far_tasks += u64::from(is_far);
        if !is_lasting {
            self.outcome.core_s += (run_ms * u64::from(millicores)) as f64 / 1e6;
        }
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
        self.outcome.pools = self.meter.finish();
        self.outcome.host_s = self.outcome.pools.values().map(|it| it.held_s).sum();
        for (id, arrival) in self.arrivals.iter().filter(|it| !it.1.is_lasting()) {
            let took = self.done.get(id).map(|it| it - arrival.at);
            self.outcome.times.extend(took);
            let before = self.outcome.in_time;
            self.outcome.count(arrival, took);
            all += work_of(arrival);
            in_time += if self.outcome.in_time > before { work_of(arrival) } else { 0 };
            let started = self.first_start.get(id).copied().unwrap_or(self.now);
            self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(started - arrival.at);
        }
        self.outcome.times.sort_unstable();
        self.outcome.work_in_time = in_time as f64 / (all as f64).max(1.0);
        self.outcome
    }
}
