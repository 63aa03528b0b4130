//! A fleet whose store and workers answer at once, for the search of tasks that wait although they could start: see
//! `any_place`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiamill_fleet::{
    Config, Coordinator, Ending, JobRecord, JobSpec, Name, Order, RunEnd, TaskId, Timing,
    WorkerInfo, WorkerReport,
    coordinator::{Permit, Refusal, StartReply, StepKey, Takeover},
};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment, WallTime},
};

use super::{START, WALL, run_info, starts};

/// Lease of the runs on a worker, by its own clock.
const LEASE_MS: Millisecond = 6_000;

/// Validity of a ticket while all is well.
pub const VALID_MS: Millisecond = 3_000;

/// Validity of a ticket that is over before it can be used for long.
pub const SHORT_VALID_MS: Millisecond = 700;

/// The true state of a worker.
pub struct PlaceWorker {
    pub info: WorkerInfo,
    /// The runs on it, with the room that each takes.
    pub running: BTreeMap<TaskId, (u32, Resources)>,
    ended: Vec<RunEnd>,
    last_end: u64,
    /// Since when it does not answer.
    pub down_since: Option<Moment>,
}

impl PlaceWorker {
    pub fn end(&mut self, task: &TaskId, ending: Ending) {
        let Some((run, _)) = self.running.remove(task) else { return };
        self.last_end += 1;
        let (number, task, checkpoint) = (self.last_end, task.clone(), Name::default());
        self.ended.push(RunEnd { number, task, run, ending, checkpoint });
    }
}

/// How start orders are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Starts {
    Begin,
    Refuse(Refusal),
    NotSent,
    /// The answer is lost; the run began or not.
    Lost(bool),
}

/// How questions to the advice service are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    Answers(Millisecond),
    Fails,
    Lost,
}

/// Which workers may run the advised steps of a job: so many of ten, as `salt` selects them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    pub salt: usize,
    pub of_ten: usize,
}

impl Policy {
    pub fn permits(&self, number: usize) -> bool {
        (number * 7 + number / 10 + self.salt) % 10 < self.of_ten
    }
}

pub struct Places {
    pub coordinator: Coordinator,
    pub now: Moment,
    pub config: Arc<Config>,
    pub specs: BTreeMap<Name, Arc<JobSpec>>,
    pub policies: BTreeMap<Name, Policy>,
    stored: BTreeMap<Name, JobRecord>,
    pub workers: Vec<PlaceWorker>,
    pub starts: Starts,
    pub advice: Advice,
    /// The most tasks that one placement places.
    pub most: usize,
    /// The pools that take tasks.
    pub pools: Vec<Name>,
    /// The pools of the tasks that the last placement started.
    pub started_in: BTreeSet<Name>,
    /// Jobs with a stored cancellation.
    cancelled: BTreeSet<Name>,
    /// The first start of a task before one that comes first.
    pub violation: Option<String>,
    pub trace: Option<Vec<String>>,
}

impl Places {
    pub fn new(config: Config, up_ms: Millisecond, infos: Vec<WorkerInfo>) -> Self {
        let config = Arc::new(config);
        let worker = |info| PlaceWorker {
            info,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            down_since: None,
        };
        let mut places = Self {
            coordinator: coordinator(&config, START),
            now: START + up_ms,
            config,
            specs: BTreeMap::new(),
            policies: BTreeMap::new(),
            stored: BTreeMap::new(),
            workers: infos.into_iter().map(worker).collect(),
            starts: Starts::Begin,
            advice: Advice::Answers(VALID_MS),
            most: usize::MAX,
            pools: vec!["web".into()],
            started_in: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            violation: None,
            trace: None,
        };
        places.list_all();
        places
    }

    pub fn wall(&self) -> WallTime {
        WallTime(WALL.0 + self.now.since(START))
    }

    pub fn note(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>6} {}", self.now.since(START), what()));
        }
    }

    pub fn accept(&mut self, id: Name, spec: JobSpec, policy: Policy) {
        let spec = Arc::new(JobSpec { accepted: self.wall(), ..spec });
        self.specs.insert(id.clone(), spec.clone());
        self.policies.insert(id.clone(), policy);
        self.coordinator.accept(id, spec, None, self.now, self.wall());
    }

    pub fn cancel(&mut self, id: &Name) {
        self.cancelled.insert(id.clone());
        self.coordinator.cancel(id, self.now);
    }

    pub fn configure(&mut self, config: Config) {
        self.config = Arc::new(config);
        self.coordinator.configure(self.config.clone());
    }

    /// Replaces the coordinator by one that goes on from the stored records.
    pub fn take_over(&mut self) {
        self.store();
        self.coordinator = coordinator(&self.config, self.now);
        for (id, spec) in &self.specs {
            let record = self.stored.get(id);
            let wall = WallTime(WALL.0 + self.now.since(START));
            self.coordinator.accept(id.clone(), spec.clone(), record, self.now, wall);
        }
        self.cancelled.iter().for_each(|it| self.coordinator.cancel(it, self.now));
        self.list_all();
    }

    fn list_all(&mut self) {
        let infos = self.workers.iter().map(|it| it.info.clone());
        infos.for_each(|it| self.coordinator.worker_listed(it, self.now));
        self.poll_all();
    }

    /// Cuts a worker off; its runs go on until their leases lapse.
    pub fn cut(&mut self, number: usize) {
        self.workers[number].down_since.get_or_insert(self.now);
    }

    /// Lets a worker answer again: the same incarnation, or the next one without runs.
    pub fn bring_back(&mut self, number: usize, is_restarted: bool) {
        let worker = &mut self.workers[number];
        worker.down_since = None;
        if is_restarted {
            worker.info.born += 1;
            worker.running.clear();
            worker.ended.clear();
            worker.last_end = 0;
            self.coordinator.worker_listed(worker.info.clone(), self.now);
        }
    }

    /// Ends a worker; the coordinator is told that it is dead.
    pub fn kill(&mut self, number: usize) {
        self.cut(number);
        let worker = &mut self.workers[number];
        worker.running.clear();
        worker.ended.clear();
        let (id, born) = (worker.info.id.clone(), worker.info.born);
        self.coordinator.worker_dead(&id, born, self.now);
    }

    pub fn pass(&mut self, ms: Millisecond) {
        self.now = self.now + ms;
        let now = self.now;
        for worker in &mut self.workers {
            if worker.down_since.is_some_and(|it| now.since(it) > LEASE_MS) {
                let lapsed: Vec<TaskId> = worker.running.keys().cloned().collect();
                lapsed.iter().for_each(|it| worker.end(it, Ending::Lapsed));
            }
        }
    }

    fn poll_all(&mut self) {
        (0..self.workers.len()).for_each(|it| self.poll(it));
    }

    fn poll(&mut self, number: usize) {
        let worker = &self.workers[number];
        let id = worker.info.id.clone();
        if let Some(since) = worker.down_since {
            self.coordinator.worker_silent(&id, since);
            return;
        }
        let report = WorkerReport {
            asked: self.now,
            born: worker.info.born,
            running: worker.running.iter().map(|(id, it)| run_info(id, it.0, 100)).collect(),
            ended: worker.ended.clone(),
            has_more_ends: false,
        };
        self.coordinator.worker_reported(&id, report, self.now);
    }

    fn store(&mut self) {
        while let Some(commit) = self.coordinator.next_commit() {
            self.stored.extend(commit.records);
            self.coordinator.committed(self.now);
        }
    }

    /// Lets the coordinator decide, stores its records, carries out its orders and polls all workers. Returns the
    /// number of starts.
    pub fn round(&mut self) -> usize {
        let wall = self.wall();
        self.coordinator.tick(self.now, wall);
        self.coordinator.place_at_most(self.most, self.now);
        let left = self.standing_left();
        self.store();
        let orders = self.coordinator.take_orders();
        let started = starts(&orders);
        self.check_first(&left, &started);
        let pool = |it: &(TaskId, u32, Name)| self.specs[&it.0.job].route.pool.clone();
        self.started_in = started.iter().map(pool).collect();
        orders.into_iter().for_each(|it| self.carry_out(it));
        self.poll_all();
        self.store();
        self.coordinator.take_orders().into_iter().for_each(|it| self.carry_out(it));
        started.len()
    }

    pub fn number(&self, id: &Name) -> usize {
        id[1..].parse().expect("a worker's number")
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Start { worker, task, run, .. } => self.start(&worker, task, run),
            Order::Stop { worker, task, run } => {
                let number = self.number(&worker);
                if self.workers[number].down_since.is_some() {
                    self.coordinator.stop_failed(&task, run);
                    return;
                }
                if self.workers[number].running.get(&task).is_some_and(|it| it.0 <= run) {
                    self.workers[number].end(&task, Ending::Stopped);
                }
                self.coordinator.stop_answered(&task, run, self.now);
            }
            Order::Acknowledge { worker, born, upto } => {
                let number = self.number(&worker);
                let worker = &mut self.workers[number];
                if worker.info.born == born && worker.down_since.is_none() {
                    worker.ended.retain(|it| it.number > upto);
                }
            }
            Order::Advise { step, workers } => self.advise(&step, &workers),
            _ => {}
        }
    }

    fn start(&mut self, worker: &Name, task: TaskId, run: u32) {
        let number = self.number(worker);
        let room = self.specs[&task.job].steps[task.step as usize].room();
        let (begins, reply) = match self.starts {
            _ if self.workers[number].down_since.is_some() => (false, StartReply::Unknown),
            Starts::Begin => (true, StartReply::Running),
            Starts::Refuse(why) => (false, StartReply::Refused(why)),
            Starts::NotSent => (false, StartReply::NotSent),
            Starts::Lost(begins) => (begins, StartReply::Unknown),
        };
        self.note(|| format!("start of {task:?}, run {run}, on {worker}: {reply:?}"));
        if begins {
            self.workers[number].running.insert(task.clone(), (run, room));
        }
        self.coordinator.start_answered(&task, run, reply, self.now);
    }

    fn advise(&mut self, step: &StepKey, workers: &[Name]) {
        let policy = self.policies[&step.job];
        let permits = match self.advice {
            Advice::Lost => return,
            Advice::Fails => None,
            Advice::Answers(valid_ms) => {
                let permit = Permit { ticket: "t".into(), until: self.now + valid_ms };
                let permitted = workers.iter().filter(|it| policy.permits(self.number(it)));
                Some(permitted.map(|it| (it.clone(), permit.clone())).collect())
            }
        };
        self.coordinator.advice_answered(step, workers, permits);
    }
}

fn coordinator(config: &Arc<Config>, at: Moment) -> Coordinator {
    let takeover = Takeover { renewals_end: at, at };
    Coordinator::new(Timing::default(), config.clone(), takeover)
}
