//! Hosts around the coordinator that are moved, maintained and lost while tasks that last run on them: see `any_wave`.

mod rules;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiamill_fleet::{
    Config, Coordinator, Ending, HostInfo, HostState, JobRecord, JobSpec, Name, Order, TaskId,
    Timing, WorkerInfo, WorkerReport,
    coordinator::{Commit, DutyReply, HostDuty, StartReply, Takeover, WaveRecord},
    worker::Wave,
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use rules::{HELD_UP_MS, is_held_up};

use super::{START, WALL, host, seen, work::Work, worker};

/// A call without an answer is carried out within this time, or not at all.
const LATE_MS: Millisecond = 12_000;

/// A host as it really is.
struct Machine {
    pool: Name,
    state: HostState,
    /// When it is up again.
    until: Moment,
    life: u64,
    work: Work,
    is_maintained: bool,
    fence: u64,
}

/// The list of hosts is read at least this often.
const LISTING_MS: Millisecond = 500;

/// Rounds of a tenth of a second in which all is done.
const CALM_ROUNDS: u32 = 400;

/// An order on its way.
struct Flight {
    order: Order,
    fence: u64,
    sent: Moment,
    /// Whether the coordinator was told that no answer came.
    is_given_up: bool,
}

impl Flight {
    fn is_host_order(&self) -> bool {
        matches!(self.order, Order::Host { .. })
    }
}

/// A task that is not at work.
struct Away {
    since: Moment,
    by_order: bool,
}

/// What is stored in one change.
struct Change {
    commit: Commit,
    waves: Vec<(u64, WaveRecord)>,
    orders: Option<Vec<(Name, Moment)>>,
}

/// The coordinator, its store and the hosts.
pub struct Machines {
    pub now: Moment,
    coordinator: Coordinator,
    timing: Timing,
    config: Arc<Config>,
    specs: BTreeMap<Name, Arc<JobSpec>>,
    wave: Wave,
    stored: BTreeMap<Name, JobRecord>,
    stored_waves: FastMap<u64, WaveRecord>,
    stored_orders: Vec<(Name, Moment)>,
    under_way: Option<Change>,
    fence: u64,
    machines: BTreeMap<Name, Machine>,
    listed: BTreeSet<Name>,
    flights: Vec<Flight>,
    away: BTreeMap<TaskId, Away>,
    begun: BTreeMap<TaskId, Moment>,
    /// What happened, for the report of a failure.
    pub story: Vec<String>,
    /// What went wrong first.
    pub wrong: Option<String>,
}

impl Machine {
    fn has_worker(&self, spare: Option<&Name>) -> bool {
        self.state == HostState::Up && Some(&self.pool) != spare
    }
}

fn worker_of(host: &str, life: u64) -> Name {
    format!("{host}-{life}").into()
}

impl Machines {
    /// `pools` tells the pool of each host; orders to hosts may come late where fences are checked.
    pub fn new(config: Config, pools: &[&str], wave: Wave, is_fenced: bool) -> Self {
        let machine = |pool: &str| Machine {
            pool: pool.into(),
            state: HostState::Up,
            until: START,
            life: 1,
            work: Work::born(1),
            is_maintained: false,
            fence: 0,
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
            stored: BTreeMap::new(),
            stored_waves: FastMap::default(),
            stored_orders: Vec::new(),
            under_way: None,
            fence: 1,
            machines: pools.iter().enumerate().map(named).collect(),
            listed: BTreeSet::new(),
            flights: Vec::new(),
            away: BTreeMap::new(),
            begun: BTreeMap::new(),
            story: Vec::new(),
            wrong: None,
        }
    }

    pub fn accept(&mut self, id: &str, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.specs.insert(id.into(), spec.clone());
        self.coordinator.accept(id.into(), spec, None, self.now, WALL);
    }

    /// The operator asks for the wave.
    pub fn ask_wave(&mut self) {
        self.coordinator.waves_requested(std::slice::from_ref(&self.wave), &self.stored_waves);
    }

    pub fn decide(&mut self) {
        self.coordinator.tick(self.now, WALL);
        self.coordinator.place(self.now);
        self.coordinator.plan_hosts(self.now);
        if self.under_way.is_none() {
            let change = Change {
                commit: self.coordinator.next_commit().unwrap_or_default(),
                waves: self.coordinator.take_wave_records(),
                orders: self.coordinator.take_recent_orders(),
            };
            self.check_completion(&change.waves);
            self.under_way = Some(change);
        }
        let (fence, sent) = (self.fence, self.now);
        let orders = self.coordinator.take_orders().into_iter();
        self.flights.extend(orders.map(|order| Flight { order, fence, sent, is_given_up: false }));
    }

    /// The store makes the change that is under way.
    pub fn store(&mut self) {
        if let Some(change) = self.under_way.take() {
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

    /// Time passes; the list of hosts is read again soon.
    pub fn pass(&mut self, ms: Millisecond) {
        if ms >= LISTING_MS {
            self.list();
        }
        self.now = self.now + ms;
        let now = self.now;
        // What the coordinator still waits for does not get lost without a word.
        let fence = self.fence;
        let is_waited_for = |it: &Flight| !it.is_given_up && it.fence == fence;
        self.flights.retain(|it| is_waited_for(it) || now.since(it.sent) <= LATE_MS);
        for machine in self.machines.values_mut() {
            if machine.state != HostState::Up && now >= machine.until {
                machine.state = HostState::Up;
                machine.life += 1;
                machine.work = Work::born(machine.life);
            }
        }
        self.note_away();
    }

    /// An order arrives; its answer may get lost.
    pub fn deliver(&mut self, pick: usize, is_answered: bool) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights.remove(pick % self.flights.len());
        let is_heard = is_answered && !flight.is_given_up && flight.fence == self.fence;
        if !matches!(flight.order, Order::Watch { .. }) {
            self.tell(format!("{:?}, answered: {is_heard}", flight.order));
        }
        match &flight.order {
            Order::Start { worker, task, run, .. } => {
                let deadline = flight.sent + self.timing.lease_ms;
                let now = self.now;
                let answer = match self.work_of(worker) {
                    Some(work) => work.start((task, *run), flight.fence, deadline, now),
                    None => StartReply::NotSent,
                };
                if answer == StartReply::Running {
                    self.begun.insert(task.clone(), now);
                }
                if flight.fence == self.fence && !flight.is_given_up {
                    let answer = if is_answered { answer } else { StartReply::Unknown };
                    self.coordinator.start_answered(task, *run, answer, now);
                }
            }
            Order::Stop { worker, task, run } => {
                self.check_stop(&flight, worker, task);
                let Some(work) = self.work_of(worker) else { return };
                let stopped = work.fence <= flight.fence && work.stop(task, *run, flight.fence);
                match stopped && is_heard {
                    true => self.coordinator.stop_answered(task, *run, self.now),
                    // A stop is sent until it is confirmed.
                    false if flight.fence == self.fence => self.flights.push(flight),
                    false => {}
                }
            }
            Order::Acknowledge { worker, upto, .. } => {
                if let Some(work) = self.work_of(worker) {
                    work.ended.retain(|it| it.number > *upto);
                }
            }
            Order::Host { host, duty } => {
                let reply = self.carry_out(&flight, host, duty);
                if flight.fence == self.fence && !flight.is_given_up {
                    let reply = if is_answered { reply } else { DutyReply::Unknown };
                    self.coordinator.host_answered(host, duty, reply, self.now);
                }
            }
            _ => {}
        }
        self.note_away();
        self.check_twice();
    }

    /// An order stays on its way, and the coordinator hears that it was not answered.
    pub fn leave_unanswered(&mut self, pick: usize) {
        let pick = pick % self.flights.len().max(1);
        let now = self.now;
        let Some(flight) = self.flights.get_mut(pick) else { return };
        if flight.fence != self.fence || flight.is_given_up {
            return;
        }
        match &flight.order {
            Order::Start { task, run, .. } => {
                self.coordinator.start_answered(task, *run, StartReply::Unknown, now);
            }
            // Without a fence, an order to a host without an answer was carried out, or never will be.
            Order::Host { host, duty } => {
                let (host, duty) = (host.clone(), duty.clone());
                match self.timing.late_order_ms {
                    0 => drop(self.flights.remove(pick)),
                    _ => flight.is_given_up = true,
                }
                self.coordinator.host_answered(&host, &duty, DutyReply::Unknown, now);
                return;
            }
            _ => return,
        }
        flight.is_given_up = true;
    }

    fn is_fenced(&self) -> bool {
        self.timing.late_order_ms > 0
    }

    fn work_of(&mut self, worker: &Name) -> Option<&mut Work> {
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let is_it = |(host, it): &(&Name, &mut Machine)| {
            it.has_worker(spare.as_ref()) && worker_of(host, it.life) == *worker
        };
        self.machines.iter_mut().find(is_it).map(|it| &mut it.1.work)
    }

    fn carry_out(&mut self, flight: &Flight, host: &Name, duty: &HostDuty) -> DutyReply {
        let now = self.now;
        let machine = &self.machines[host];
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
        let ended: Vec<TaskId> = machine.work.running.keys().cloned().collect();
        if !ended.is_empty() && !is_held_up(flight, now) {
            self.fail(format!("{duty:?} of {host} ends {ended:?}"));
        }
        let lasting: Vec<TaskId> = ended.into_iter().filter(|it| self.long_running(it)).collect();
        for task in lasting {
            self.away.insert(task, Away { since: now, by_order: true });
        }
        let down = self.down_for_wave();
        let machine = self.machines.get_mut(host).expect("a host");
        machine.fence = flight.fence;
        machine.work = Work::born(machine.life);
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
                    self.fail(format!("{host} is maintained beside {down} others"));
                }
            }
        }
        DutyReply::Done
    }

    fn down_for_wave(&self) -> usize {
        self.machines.values().filter(|it| it.state == HostState::Maintenance).count()
    }

    /// A worker that the coordinator knows is looked at; one whose life is over refuses the connection, or is silent.
    pub fn look(&mut self, pick: usize) {
        let mut known: Vec<(Name, u64)> =
            self.coordinator.workers().iter().map(|it| (it.0.clone(), it.1.seen.born)).collect();
        known.sort();
        let Some((id, born)) = known.get(pick % known.len().max(1)).cloned() else { return };
        let (now, fence, deadline) = (self.now, self.fence, self.now + self.timing.lease_ms);
        let Some(work) = self.work_of(&id) else {
            match self.is_dark(&id) {
                true => self.coordinator.worker_silent(&id, now),
                false => self.coordinator.worker_dead(&id, born, now),
            };
            return;
        };
        work.fence = work.fence.max(fence);
        work.deadline = work.deadline.max(deadline);
        let (ended, running) = (work.ended.clone(), work.running.clone());
        let percent = |it: &TaskId| if self.is_at_work(it) { 100 } else { 0 };
        let running = running.iter().map(|(task, run)| seen(task, *run, percent(task))).collect();
        let report = WorkerReport { asked: now, born, ended, running };
        self.coordinator.worker_reported(&id, report, now);
    }

    /// Whether a worker's host is down, so that nothing answers there.
    fn is_dark(&self, worker: &Name) -> bool {
        let is_it = |(host, it): (&Name, &Machine)| {
            it.state == HostState::Down && worker_of(host, it.life) == *worker
        };
        self.machines.iter().any(is_it)
    }

    /// The lists of workers and of hosts are read.
    pub fn list(&mut self) {
        self.list_workers();
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let seen = |(name, machine): (&Name, &Machine)| {
            let id = worker_of(name, machine.life);
            let has_worker = machine.has_worker(spare.as_ref());
            let on = has_worker.then_some(id.as_str());
            HostInfo { state: machine.state, ..host(name, &machine.pool, on) }
        };
        let hosts = self.machines.iter().map(seen).collect();
        self.coordinator.hosts_listed(hosts, self.now);
    }

    /// The entries of workers are read, which come sooner than the list of hosts.
    pub fn list_workers(&mut self) {
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let mut listed = BTreeSet::new();
        for (name, machine) in &self.machines {
            if !machine.has_worker(spare.as_ref()) {
                continue;
            }
            let id = worker_of(name, machine.life);
            let pool = machine.pool.clone();
            let seen = WorkerInfo { born: machine.life, pool, ..worker(&id) };
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

    /// A task ends; one that lasts always by a failure.
    pub fn finish(&mut self, pick: usize) {
        let running: Vec<TaskId> = self.running().cloned().collect();
        let Some(task) = running.get(pick % running.len().max(1)).cloned() else { return };
        let ending = if self.long_running(&task) { Ending::Failed } else { Ending::Done };
        for machine in self.machines.values_mut().filter(|it| it.state == HostState::Up) {
            machine.work.end(&task, ending);
        }
        self.note_away();
    }

    /// All tasks that end are done.
    fn finish_all(&mut self) {
        let running: Vec<TaskId> =
            self.running().filter(|it| !self.long_running(it)).cloned().collect();
        for task in running {
            self.machines.values_mut().for_each(|it| it.work.end(&task, Ending::Done));
        }
    }

    /// A host crashes and is up again after a while.
    pub fn crash(&mut self, pick: usize, for_ms: Millisecond) {
        let host = Name::from(format!("h{}", pick % self.machines.len()));
        let machine = self.machines.get_mut(&host).expect("a host");
        if machine.state == HostState::Up {
            machine.state = HostState::Down;
            machine.until = self.now + for_ms;
            machine.work = Work::born(machine.life);
            self.tell(format!("{host} is down for {for_ms} ms"));
        }
        self.note_away();
    }

    /// Another coordinator takes over from one that is over; the change under way was made or not.
    pub fn take_over(&mut self, is_stored: bool) {
        if let Some(change) = self.under_way.take()
            && is_stored
        {
            self.keep(change);
        }
        // Without a fence, orders to hosts that were under way were carried out, or never will be.
        while let Some(at) = self.flights.iter().position(Flight::is_host_order)
            && !self.is_fenced()
        {
            match at % 2 == 0 {
                true => self.deliver(at, false),
                false => drop(self.flights.remove(at)),
            }
        }
        // Reading the state takes longer than the way of an order: former orders that come after it were held up.
        self.pass(HELD_UP_MS + 1);
        self.fence += 1;
        self.tell("another coordinator takes over".into());
        let takeover = Takeover { renewals_end: self.now, at: self.now };
        self.coordinator = Coordinator::new(self.timing.clone(), self.config.clone(), takeover);
        for (host, at) in self.stored_orders.clone() {
            self.coordinator.note_former_order(host, at);
        }
        self.listed.clear();
        self.list();
        for (id, spec) in &self.specs {
            let record = self.stored.get(id);
            self.coordinator.accept(id.clone(), spec.clone(), record, self.now, WALL);
        }
        self.ask_wave();
    }

    /// Everything works for long enough; tells what is still not as it should be.
    pub fn calm_down(&mut self) -> Option<String> {
        for round in 0..CALM_ROUNDS {
            self.decide();
            self.store();
            while !self.flights.is_empty() {
                self.deliver(0, true);
            }
            (0..self.coordinator.workers().len()).for_each(|it| self.look(it));
            if round % 4 == 0 {
                self.list();
            }
            if round % 10 == 0 {
                self.finish_all();
            }
            self.pass(100);
        }
        let left: Vec<&Name> =
            self.machines.iter().filter(|it| !it.1.is_maintained).map(|it| it.0).collect();
        let left: Vec<&&Name> = left.iter().filter(|it| self.wave.hosts.contains(it)).collect();
        let is_over = self.stored_waves.values().all(|it| it.is_completed);
        match (left.is_empty() && is_over, self.away.keys().next()) {
            (true, None) => None,
            (false, _) => Some(format!("the wave is not over: {left:?} are left")),
            (_, Some(task)) => Some(format!("{task:?} is not at work")),
        }
    }
}
