//! Hosts that follow their orders between pools, with workers that run what they are told to and answer at once.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Config, Ending, HostInfo, HostState, JobSpec, Name, Order, Pool, RunEnd, Step, TaskId, Timing,
    WorkerInfo, WorkerReport,
    coordinator::{DutyReply, HostDuty, StartReply},
    worker::Wave,
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Bench, WALL, config, cores, host, job, list, run_info, starts, step, stops, worker};

/// Time between two rounds.
pub const ROUND_MS: Millisecond = 100;

/// Time from a stop order until its run ends.
const STOP_MS: Millisecond = 300;

/// Name of the pool of spare hosts.
const SPARE: &str = "spare";

/// The true state of a host.
pub struct PoolHost {
    pub pool: String,
    pub state: HostState,
    /// When the host is up again.
    until: Moment,
    life: u32,
    /// The runs on its worker, each with its number and its end.
    pub running: BTreeMap<TaskId, (u32, Option<Moment>, Ending)>,
    /// How often it changed its pool.
    pub moves: u32,
    /// Labels of the host and of its workers, in addition to those of every worker.
    pub labels: Vec<Name>,
    /// Whether orders to it are neither answered nor carried out.
    pub is_deaf: bool,
}

/// The fleet, and what became of tasks.
pub struct PoolFleet {
    pub bench: Bench,
    pub hosts: Vec<PoolHost>,
    pub specs: BTreeMap<Name, JobSpec>,
    /// Since when each long-running task has not run.
    pub idle_since: BTreeMap<TaskId, Moment>,
    /// The longest time for which a long-running task did not run, with the task.
    pub longest_idle: (Millisecond, Option<TaskId>),
    /// When each job was accepted and its last task done.
    pub accepted: BTreeMap<Name, Moment>,
    pub done: BTreeMap<Name, Moment>,
    maintained: Vec<usize>,
    ends: u64,
}

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

impl PoolFleet {
    /// `pools` has the pool of each host.
    pub fn new(config: Config, pools: &[&str]) -> Self {
        let new = |pool: &&str| PoolHost {
            pool: (*pool).to_owned(),
            state: HostState::Up,
            until: Moment(0),
            life: 1,
            running: BTreeMap::new(),
            moves: 0,
            labels: Vec::new(),
            is_deaf: false,
        };
        let mut fleet = Self {
            bench: Bench::with(config),
            hosts: pools.iter().map(new).collect(),
            specs: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            longest_idle: (0, None),
            accepted: BTreeMap::new(),
            done: BTreeMap::new(),
            maintained: Vec::new(),
            ends: 0,
        };
        fleet.list();
        fleet
    }

    pub fn accept(&mut self, id: &str, spec: JobSpec) {
        self.specs.insert(id.into(), spec.clone());
        self.accepted.insert(id.into(), self.bench.now);
        self.bench.accept(id, spec);
    }

    /// Gives a host a label, with the worker that it has.
    pub fn label(&mut self, number: usize, label: &str) {
        self.hosts[number].labels.push(label.into());
        if self.has_worker(number) {
            let id = self.worker_id(number);
            let mut info =
                WorkerInfo { pool: self.hosts[number].pool.as_str().into(), ..worker(&id) };
            info.labels.extend(self.hosts[number].labels.clone());
            self.bench.add(info);
        }
        self.list();
    }

    /// Requests a wave of maintenance of these hosts.
    pub fn maintain(&mut self, hosts: std::ops::Range<usize>, at_once: usize) {
        let hosts = hosts.map(|it| format!("h{it}").into()).collect();
        let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once };
        self.bench.coordinator.waves_requested(&[wave], &FastMap::default());
    }

    /// Returns how many hosts were maintained.
    pub fn maintained(&self) -> usize {
        self.maintained.len()
    }

    /// Loses a host for good, with what runs there.
    pub fn lose(&mut self, number: usize) {
        let id = self.worker_id(number);
        let now = self.bench.now;
        let lost = &mut self.hosts[number];
        lost.state = HostState::Down;
        lost.until = Moment(u64::MAX);
        lost.running.clear();
        self.bench.coordinator.worker_silent(&id, now);
    }

    /// Lets a run on a host go on for ever, as one that hangs.
    pub fn hang(&mut self, number: usize) {
        self.hosts[number].running.values_mut().for_each(|it| it.1 = None);
    }

    pub fn hosts_in(&self, pool: &str) -> usize {
        let is_up = |it: &&PoolHost| it.pool == pool && it.state != HostState::Down;
        self.hosts.iter().filter(is_up).count()
    }

    fn worker_id(&self, number: usize) -> Name {
        format!("w{number}-{}", self.hosts[number].life).into()
    }

    fn has_worker(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        host.state == HostState::Up && host.pool != SPARE
    }

    fn list(&mut self) {
        let mut infos: Vec<HostInfo> = Vec::new();
        for number in 0..self.hosts.len() {
            let id = self.has_worker(number).then(|| self.worker_id(number));
            let seen = &self.hosts[number];
            if let Some(id) = &id
                && !self.bench.coordinator.workers().contains_key(id)
            {
                let mut info = WorkerInfo { pool: seen.pool.as_str().into(), ..worker(id) };
                info.labels.extend(seen.labels.clone());
                self.bench.add(info);
            }
            let info = host(&format!("h{number}"), &seen.pool, id.as_deref());
            infos.push(HostInfo { state: seen.state, labels: seen.labels.clone(), ..info });
        }
        list(&mut self.bench, infos);
    }

    /// Returns how many jobs with names that begin so are done.
    pub fn done(&self, prefix: &str) -> usize {
        self.done.keys().filter(|it| it.starts_with(prefix)).count()
    }

    /// Checks that no long-running task was without a run for longer.
    pub fn assert_runs(&self, bound: Millisecond) {
        let (idle, task) = &self.longest_idle;
        assert!(*idle <= bound, "{task:?} does not run for {idle} ms");
    }

    /// Plays some time.
    pub fn play(&mut self, ms: Millisecond) {
        for _ in 0..ms.div_ceil(ROUND_MS) {
            self.round();
        }
    }

    fn round(&mut self) {
        let now = self.bench.now;
        for it in self.hosts.iter_mut().filter(|it| it.state != HostState::Down) {
            if it.state != HostState::Up && now >= it.until {
                it.state = HostState::Up;
                it.life += 1;
            }
        }
        self.list();
        let orders = self.bench.step();
        self.obey(&orders);
        self.report_all();
        self.note_idle();
        self.bench.wait(ROUND_MS);
    }

    fn obey(&mut self, orders: &[Order]) {
        let now = self.bench.now;
        for order in orders {
            if let Order::Host { host, duty } = order {
                self.carry_out(host, duty);
            }
        }
        for (task, run) in stops(orders) {
            let found = self.hosts.iter_mut().find_map(|it| it.running.get_mut(&task));
            if let Some(found) = found.filter(|it| it.0 == run) {
                (found.1, found.2) = (Some(now + STOP_MS), Ending::Stopped);
            }
            self.bench.coordinator.stop_answered(&task, run, now);
        }
        for (task, run, on) in starts(orders) {
            let number = (0..self.hosts.len()).find(|it| self.worker_id(*it) == on).unwrap();
            assert!(self.has_worker(number), "{on} is started on, and not there");
            let step = &self.specs[&task.job].steps[task.step as usize];
            let ends = (!step.long_running).then(|| now + step.estimate_ms);
            self.hosts[number].running.insert(task.clone(), (run, ends, Ending::Done));
            self.bench.coordinator.start_answered(&task, run, StartReply::Running, now);
        }
    }

    fn carry_out(&mut self, name: &Name, duty: &HostDuty) {
        let (now, timing) = (self.bench.now, Timing::default());
        let number: usize = name[1..].parse().unwrap();
        let ordered = &mut self.hosts[number];
        if ordered.is_deaf {
            return;
        }
        assert!(ordered.running.is_empty(), "{name} is ordered away with {:?}", ordered.running);
        let reply = match (ordered.state, duty) {
            (HostState::Up, HostDuty::Move { pool }) => {
                ordered.pool = pool.to_string();
                ordered.state = HostState::Moving;
                ordered.until = now + timing.move_ms;
                ordered.moves += 1;
                DutyReply::Done
            }
            (HostState::Up, HostDuty::Maintain { .. }) => {
                ordered.state = HostState::Maintenance;
                ordered.until = now + timing.maintenance_ms;
                self.maintained.push(number);
                DutyReply::Done
            }
            _ => DutyReply::Refused,
        };
        self.bench.coordinator.host_answered(name, duty, reply, now);
    }

    fn report_all(&mut self) {
        for number in 0..self.hosts.len() {
            if !self.has_worker(number) {
                continue;
            }
            let id = self.worker_id(number);
            let (now, running) = (self.bench.now, &mut self.hosts[number].running);
            let is_over =
                |it: &(&TaskId, &(u32, Option<Moment>, Ending))| it.1.1.is_some_and(|at| now >= at);
            let over: Vec<TaskId> = running.iter().filter(is_over).map(|it| it.0.clone()).collect();
            let mut ended = Vec::new();
            for task in over {
                let Some((run, _, ending)) = running.remove(&task) else { continue };
                self.ends += 1;
                if ending == Ending::Done {
                    self.done.insert(task.job.clone(), now);
                }
                let checkpoint = Name::default();
                ended.push(RunEnd { number: self.ends, task, run, ending, checkpoint });
            }
            let is_long = |it: &TaskId| self.specs[&it.job].steps[it.step as usize].long_running;
            // A run that hangs makes no progress.
            let percent = |task: &TaskId, ends: Option<Moment>| match ends {
                None if !is_long(task) => 50,
                _ => 100,
            };
            let running = running.iter();
            let running = running.map(|(task, it)| run_info(task, it.0, percent(task, it.1)));
            let running = running.collect();
            let (asked, has_more_ends) = (now, false);
            let report = WorkerReport { asked, born: 7, ended, running, has_more_ends };
            self.bench.coordinator.worker_reported(&id, report, now);
        }
    }

    /// Notes how long each long-running task of an open job has not run.
    fn note_idle(&mut self) {
        let now = self.bench.now;
        for (id, spec) in &self.specs {
            if self.bench.coordinator.job(id).is_none_or(|it| it.stage.is_over()) {
                continue;
            }
            let steps = spec.steps.iter().enumerate().filter(|it| it.1.long_running);
            for (number, step) in steps {
                for index in 0..step.count {
                    let task = super::task(id, number as u16, index);
                    if self.hosts.iter().any(|it| it.running.contains_key(&task)) {
                        self.idle_since.remove(&task);
                        continue;
                    }
                    let since = *self.idle_since.entry(task.clone()).or_insert(now);
                    if now.since(since) > self.longest_idle.0 {
                        self.longest_idle = (now.since(since), Some(task));
                    }
                }
            }
        }
    }

    /// Returns the time since [`WALL`], for jobs that are sent later.
    pub fn wall(&self) -> fuchsiamill_model::units::WallTime {
        fuchsiamill_model::units::WallTime(WALL.0 + self.bench.now.since(super::START))
    }
}
