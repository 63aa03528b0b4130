//! A simulation of hosts that are moved, maintained and lost while long-running tasks run on them: see `any_wave`.

mod presence;
mod rules;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiamill_fleet::{
    Config, Coordinator, Ending, HostState, JobRecord, JobSpec, Name, Order, TaskId, Timing,
    WorkerInfo, WorkerReport,
    coordinator::{Commit, DutyReply, HostDuty, StartReply, Takeover, WaveRecord},
    worker::Wave,
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use presence::Presence;
use rules::{DELAYED_MS, is_delayed};

use super::{START, WALL, run_info, sim_worker::SimWorker, worker};

/// Longest delay with which an unanswered call may be executed.
const LATE_MS: Millisecond = 12_000;

/// The true state of a host.
struct SimHost {
    pool: Name,
    state: HostState,
    /// Time at which the host is up again.
    until: Moment,
    born: u64,
    sim: SimWorker,
    is_maintained: bool,
    fence: u64,
    presence: Presence,
}

/// Longest interval at which the list of hosts is read.
const LIST_INTERVAL_MS: Millisecond = 500;

/// Rounds of 100 ms without faults within which the wave has to be completed.
const SETTLE_ROUNDS: u32 = 400;

/// An order that was sent and not processed yet.
struct InFlight {
    order: Order,
    fence: u64,
    sent: Moment,
    /// Whether the coordinator was told that the order was not answered.
    timed_out: bool,
}

impl InFlight {
    fn is_host_order(&self) -> bool {
        matches!(self.order, Order::Host { .. })
    }
}

/// A long-running task that is not working.
struct Absence {
    since: Moment,
    by_order: bool,
}

/// The rows stored in one change.
struct Change {
    commit: Commit,
    waves: Vec<(u64, WaveRecord)>,
    orders: Option<Vec<(Name, Moment)>>,
}

/// The coordinator under test, its store and the simulated hosts.
pub struct HostWorld {
    pub now: Moment,
    coordinator: Coordinator,
    timing: Timing,
    config: Arc<Config>,
    specs: BTreeMap<Name, Arc<JobSpec>>,
    wave: Wave,
    /// The wave as the coordinator read it.
    read: Option<Wave>,
    /// The wave that was completed last, and the hosts that it was completed without.
    completed: Option<(Wave, Vec<Name>)>,
    /// Whether this coordinator has read a list of hosts.
    has_listed: bool,
    /// Until when the list of hosts cannot be read.
    lists_fail_until: Moment,
    stored: BTreeMap<Name, JobRecord>,
    stored_waves: FastMap<u64, WaveRecord>,
    stored_orders: Vec<(Name, Moment)>,
    pending_commit: Option<Change>,
    fence: u64,
    hosts: BTreeMap<Name, SimHost>,
    listed: BTreeSet<Name>,
    orders: Vec<InFlight>,
    absences: BTreeMap<TaskId, Absence>,
    started_at: BTreeMap<TaskId, Moment>,
    /// Log of the events, printed on a failure.
    pub trace: Vec<String>,
    /// The first violation of an invariant.
    pub violation: Option<String>,
}

impl SimHost {
    fn has_worker(&self, spare: Option<&Name>) -> bool {
        self.state == HostState::Up && Some(&self.pool) != spare
    }
}

fn worker_id(host: &str, born: u64) -> Name {
    format!("{host}-{born}").into()
}

impl HostWorld {
    /// `pools` has the pool of each host. With `is_fenced`, hosts check fences and orders to them may arrive late.
    pub fn new(config: Config, pools: &[&str], wave: Wave, is_fenced: bool) -> Self {
        let machine = |pool: &str| SimHost {
            pool: pool.into(),
            state: HostState::Up,
            until: START,
            born: 1,
            sim: SimWorker::new(1),
            is_maintained: false,
            fence: 0,
            presence: Presence::default(),
        };
        let named = |(at, pool): (usize, &&str)| (Name::from(format!("h{at}")), machine(pool));
        let late_order_ms = if is_fenced { LATE_MS } else { 0 };
        let timing = Timing { late_order_ms, ..Timing::default() };
        let config = Arc::new(config);
        let takeover = Takeover { renewals_end: START, at: START };
        Self {
            now: START,
            coordinator: Coordinator::new(timing.clone(), config.clone(), takeover),
            timing,
            config,
            specs: BTreeMap::new(),
            wave,
            read: None,
            completed: None,
            has_listed: false,
            lists_fail_until: START,
            stored: BTreeMap::new(),
            stored_waves: FastMap::default(),
            stored_orders: Vec::new(),
            pending_commit: None,
            fence: 1,
            hosts: pools.iter().enumerate().map(named).collect(),
            listed: BTreeSet::new(),
            orders: Vec::new(),
            absences: BTreeMap::new(),
            started_at: BTreeMap::new(),
            trace: Vec::new(),
            violation: None,
        }
    }

    pub fn accept(&mut self, id: &str, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.specs.insert(id.into(), spec.clone());
        self.coordinator.accept(id.into(), spec, None, self.now, WALL);
    }

    /// Passes the operator's wave to the coordinator.
    pub fn ask_wave(&mut self) {
        if self.read.as_ref() != Some(&self.wave) {
            self.read = Some(self.wave.clone());
            self.hosts.values_mut().for_each(|it| it.presence.forget_lists());
        }
        let waves = std::slice::from_ref(&self.wave);
        self.coordinator.waves_requested(waves, &self.stored_waves, self.now);
    }

    pub fn decide(&mut self) {
        self.coordinator.tick(self.now, WALL);
        self.coordinator.place(self.now);
        self.coordinator.plan_hosts(self.now);
        self.check_completion();
        if self.pending_commit.is_none() {
            let change = Change {
                commit: self.coordinator.next_commit().unwrap_or_default(),
                waves: self.coordinator.take_wave_records(),
                orders: self.coordinator.take_recent_orders(),
            };
            self.pending_commit = Some(change);
        }
        let (fence, sent) = (self.fence, self.now);
        let orders = self.coordinator.take_orders().into_iter();
        self.orders.extend(orders.map(|order| InFlight { order, fence, sent, timed_out: false }));
    }

    /// Completes the pending change in the store.
    pub fn store(&mut self) {
        if let Some(change) = self.pending_commit.take() {
            self.keep(change);
            self.coordinator.committed(self.now);
        }
    }

    fn keep(&mut self, change: Change) {
        self.stored.extend(change.commit.records);
        self.stored_waves.extend(change.waves);
        if let Some(orders) = change.orders {
            self.stored_orders = orders;
        }
    }

    /// Advances the time; the list of hosts is read first if `ms` is long.
    pub fn pass(&mut self, ms: Millisecond) {
        if ms >= LIST_INTERVAL_MS {
            self.list();
        }
        self.now = self.now + ms;
        let now = self.now;
        // An order that the coordinator still waits for is not lost without being reported as unanswered.
        let fence = self.fence;
        let is_waited_for = |it: &InFlight| !it.timed_out && it.fence == fence;
        self.orders.retain(|it| is_waited_for(it) || now.since(it.sent) <= LATE_MS);
        for machine in self.hosts.values_mut() {
            if machine.state != HostState::Up && now >= machine.until {
                machine.state = HostState::Up;
                machine.born += 1;
                machine.sim = SimWorker::new(machine.born);
            }
        }
        self.note_absences();
    }

    /// Delivers an order; its answer may be lost.
    pub fn deliver(&mut self, pick: usize, is_answered: bool) {
        if self.orders.is_empty() {
            return;
        }
        let flight = self.orders.remove(pick % self.orders.len());
        let is_heard = is_answered && !flight.timed_out && flight.fence == self.fence;
        if !matches!(flight.order, Order::Watch { .. }) {
            self.log(format!("{:?}, answered: {is_heard}", flight.order));
        }
        match &flight.order {
            Order::Start { worker, task, run, .. } => {
                let deadline = flight.sent + self.timing.lease_ms;
                let now = self.now;
                let answer = match self.sim_worker(worker) {
                    Some(sim) => sim.start((task, *run), flight.fence, deadline, now),
                    None => StartReply::NotSent,
                };
                if answer == StartReply::Running {
                    self.started_at.insert(task.clone(), now);
                }
                if flight.fence == self.fence && !flight.timed_out {
                    let answer = if is_answered { answer } else { StartReply::Unknown };
                    self.coordinator.start_answered(task, *run, answer, now);
                }
            }
            Order::Stop { worker, task, run } => {
                self.check_stop(&flight, worker, task);
                let Some(sim) = self.sim_worker(worker) else { return };
                let stopped = sim.fence <= flight.fence && sim.stop(task, *run, flight.fence);
                match stopped && is_heard {
                    true => self.coordinator.stop_answered(task, *run, self.now),
                    // Stops are retried until they are confirmed.
                    false if flight.fence == self.fence => self.orders.push(flight),
                    false => {}
                }
            }
            Order::Acknowledge { worker, upto, .. } => {
                if let Some(sim) = self.sim_worker(worker) {
                    sim.ended.retain(|it| it.number > *upto);
                }
            }
            Order::Host { host, duty } => {
                let reply = self.execute(&flight, host, duty);
                if flight.fence == self.fence && !flight.timed_out {
                    let reply = if is_answered { reply } else { DutyReply::Unknown };
                    self.coordinator.host_answered(host, duty, reply, self.now);
                }
            }
            _ => {}
        }
        self.note_absences();
        self.check_duplicates();
    }

    /// Reports an order as unanswered while it is still in flight.
    pub fn leave_unanswered(&mut self, pick: usize) {
        let pick = pick % self.orders.len().max(1);
        let now = self.now;
        let Some(flight) = self.orders.get_mut(pick) else { return };
        if flight.fence != self.fence || flight.timed_out {
            return;
        }
        match &flight.order {
            Order::Start { task, run, .. } => {
                self.coordinator.start_answered(task, *run, StartReply::Unknown, now);
            }
            // Without fences, an unanswered order to a host was executed already or never will be.
            Order::Host { host, duty } => {
                let (host, duty) = (host.clone(), duty.clone());
                match self.timing.late_order_ms {
                    0 => drop(self.orders.remove(pick)),
                    _ => flight.timed_out = true,
                }
                self.coordinator.host_answered(&host, &duty, DutyReply::Unknown, now);
                return;
            }
            _ => return,
        }
        flight.timed_out = true;
    }

    fn is_fenced(&self) -> bool {
        self.timing.late_order_ms > 0
    }

    fn sim_worker(&mut self, worker: &Name) -> Option<&mut SimWorker> {
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let is_it = |(host, it): &(&Name, &mut SimHost)| {
            it.has_worker(spare.as_ref()) && worker_id(host, it.born) == *worker
        };
        self.hosts.iter_mut().find(is_it).map(|it| &mut it.1.sim)
    }

    fn execute(&mut self, flight: &InFlight, host: &Name, duty: &HostDuty) -> DutyReply {
        let now = self.now;
        let machine = &self.hosts[host];
        if machine.fence > flight.fence {
            return DutyReply::Refused;
        }
        let is_done = match duty {
            HostDuty::Move { pool } => machine.pool == *pool,
            HostDuty::Maintain { .. } => machine.is_maintained,
        };
        if is_done {
            return DutyReply::Done;
        }
        if machine.state != HostState::Up {
            return DutyReply::Refused;
        }
        let ended: Vec<TaskId> = machine.sim.running.keys().cloned().collect();
        if !ended.is_empty() && !is_delayed(flight, now) {
            self.fail(format!("{duty:?} of {host} ends {ended:?}"));
        }
        let lost: Vec<TaskId> = ended.into_iter().filter(|it| self.long_running(it)).collect();
        for task in lost {
            self.absences.insert(task, Absence { since: now, by_order: true });
        }
        let down = self.down_for_wave();
        let machine = self.hosts.get_mut(host).expect("a host");
        machine.fence = flight.fence;
        machine.sim = SimWorker::new(machine.born);
        match duty {
            HostDuty::Move { pool } => {
                machine.pool = pool.clone();
                machine.state = HostState::Moving;
                machine.until = now + self.timing.move_ms;
            }
            HostDuty::Maintain { .. } => {
                machine.is_maintained = true;
                machine.state = HostState::Maintenance;
                machine.until = now + self.timing.maintenance_ms;
                if down >= self.wave.at_once {
                    self.fail(format!("{host} is maintained while {down} others are"));
                }
            }
        }
        DutyReply::Done
    }

    fn down_for_wave(&self) -> usize {
        self.hosts.values().filter(|it| it.state == HostState::Maintenance).count()
    }

    /// Polls a worker that the coordinator knows. One that has ended does not answer, unless another one listens at its
    /// address.
    pub fn poll(&mut self, pick: usize) {
        let mut known: Vec<(Name, u64)> =
            self.coordinator.workers().iter().map(|it| (it.0.clone(), it.1.seen.born)).collect();
        known.sort();
        let Some((id, born)) = known.get(pick % known.len().max(1)).cloned() else { return };
        let (now, fence, deadline) = (self.now, self.fence, self.now + self.timing.lease_ms);
        let Some(sim) = self.sim_worker(&id) else {
            match self.is_replaced(&id) {
                true => self.coordinator.worker_dead(&id, born, now),
                false => self.coordinator.worker_silent(&id, now),
            };
            return;
        };
        sim.fence = sim.fence.max(fence);
        sim.deadline = sim.deadline.max(deadline);
        let (ended, running) = (sim.ended.clone(), sim.running.clone());
        let percent = |it: &TaskId| if self.is_working(it) { 100 } else { 0 };
        let running = running.iter().map(|(it, run)| run_info(it, *run, percent(it))).collect();
        let report = WorkerReport { asked: now, born, ended, running, has_more_ends: false };
        self.coordinator.worker_reported(&id, report, now);
    }

    /// Returns whether a worker's host runs a later one.
    fn is_replaced(&self, worker: &Name) -> bool {
        let is_later = |(host, it): (&Name, &SimHost)| {
            let mut former = (0..it.born).map(|born| worker_id(host, born));
            it.state == HostState::Up && former.any(|id| id == *worker)
        };
        self.hosts.iter().any(is_later)
    }

    /// Passes the list of workers, which is up to date sooner than the list of hosts.
    pub fn list_workers(&mut self) {
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let mut listed = BTreeSet::new();
        for (name, machine) in &self.hosts {
            if !machine.has_worker(spare.as_ref()) {
                continue;
            }
            let id = worker_id(name, machine.born);
            let pool = machine.pool.clone();
            let seen = WorkerInfo { born: machine.born, pool, ..worker(&id) };
            if !self.listed.contains(&id) {
                self.coordinator.worker_listed(seen, self.now);
            }
            listed.insert(id);
        }
        for gone in self.listed.difference(&listed) {
            self.coordinator.worker_unlisted(gone);
        }
        self.listed = listed;
    }

    /// Ends a task; a long-running one always by a failure.
    pub fn finish(&mut self, pick: usize) {
        let running: Vec<TaskId> = self.running().cloned().collect();
        let Some(task) = running.get(pick % running.len().max(1)).cloned() else { return };
        let ending = if self.long_running(&task) { Ending::Failed } else { Ending::Done };
        for machine in self.hosts.values_mut().filter(|it| it.state == HostState::Up) {
            machine.sim.end(&task, ending);
        }
        self.note_absences();
    }

    /// Completes all running tasks that are not long-running.
    fn finish_all(&mut self) {
        let ids: Vec<_> = self.running().filter(|it| !self.long_running(it)).cloned().collect();
        for task in ids {
            self.hosts.values_mut().for_each(|it| it.sim.end(&task, Ending::Done));
        }
    }

    /// Crashes a host, which is up again after `for_ms`.
    pub fn crash(&mut self, pick: usize, for_ms: Millisecond) {
        let host = Name::from(format!("h{}", pick % self.hosts.len()));
        let machine = self.hosts.get_mut(&host).expect("a host");
        if machine.state == HostState::Up {
            machine.state = HostState::Down;
            machine.until = self.now + for_ms;
            machine.sim = SimWorker::new(machine.born);
            self.log(format!("{host} is down for {for_ms} ms"));
        }
        self.note_absences();
    }

    /// Lets another coordinator take over from one that has ended; the pending change was stored or not.
    pub fn take_over(&mut self, is_stored: bool) {
        if let Some(change) = self.pending_commit.take()
            && is_stored
        {
            self.keep(change);
        }
        // Without fences, orders to hosts that were in flight were executed or never will be.
        while let Some(at) = self.orders.iter().position(InFlight::is_host_order)
            && !self.is_fenced()
        {
            match at % 2 == 0 {
                true => self.deliver(at, false),
                false => drop(self.orders.remove(at)),
            }
        }
        // Reading the state takes longer than a normal delivery: former orders that arrive after it were delayed.
        self.pass(DELAYED_MS + 1);
        self.fence += 1;
        self.log("another coordinator takes over".into());
        let takeover = Takeover { renewals_end: self.now, at: self.now };
        self.coordinator = Coordinator::new(self.timing.clone(), self.config.clone(), takeover);
        for (host, at) in self.stored_orders.clone() {
            self.coordinator.note_former_order(host, at);
        }
        self.listed.clear();
        (self.read, self.has_listed) = (None, false);
        let is_stored = self.stored_waves.get(&self.wave.number).is_some_and(|it| it.is_completed);
        self.completed.take_if(|_| !is_stored);
        self.list();
        for (id, spec) in &self.specs {
            let record = self.stored.get(id);
            self.coordinator.accept(id.clone(), spec.clone(), record, self.now, WALL);
        }
        self.ask_wave();
    }

    /// Simulates a time without faults; returns what is still wrong after it.
    pub fn settle(&mut self) -> Option<String> {
        self.lists_fail_until = self.now;
        for round in 0..SETTLE_ROUNDS {
            self.decide();
            self.store();
            while !self.orders.is_empty() {
                self.deliver(0, true);
            }
            (0..self.coordinator.workers().len()).for_each(|it| self.poll(it));
            if round % 4 == 0 {
                self.list();
            }
            if round % 10 == 0 {
                self.finish_all();
            }
            self.pass(100);
        }
        let is_left = |(name, it): &(&Name, &SimHost)| {
            !it.is_maintained && it.presence.is_there() && !self.is_completed_without(name)
        };
        let left: Vec<&Name> = self.hosts.iter().filter(is_left).map(|it| it.0).collect();
        let left: Vec<&&Name> = left.iter().filter(|it| self.wave.hosts.contains(it)).collect();
        let is_over = self.stored_waves.values().all(|it| it.is_completed);
        match (left.is_empty() && is_over, self.absences.keys().next()) {
            (true, None) => None,
            (false, _) => Some(format!("the wave is not completed: {left:?} are left")),
            (_, Some(task)) => Some(format!("{task:?} is not working")),
        }
    }
}
