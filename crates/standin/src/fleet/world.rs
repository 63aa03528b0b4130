//! What truly happened: hosts, the workers on them and every run.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use super::{
    hosts::{DutyRecord, Host, Loss},
    narrow_link::NarrowLinks,
    rows::Rows,
};

/// How a worker treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// It serves.
    #[default]
    None,
    /// It answers nothing and does nothing new; what runs goes on until its lease ends.
    Silent,
    /// It carries out orders to start and answers nothing.
    AnswersLost,
    /// It carries out orders to start so many milliseconds later and does not answer them.
    Late(u64),
    /// It carries out orders to stop so many milliseconds later and does not answer them.
    StopsLate(u64),
    /// It does so with orders to start and to stop.
    OrdersLate(u64),
    /// It tells that it is sick, and what it starts fails at once.
    Sick,
    /// It tells that it is sick and works well.
    SickFalsely,
}

/// One run, as it truly went.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The task.
    pub task: String,
    /// The run.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// What the order to start carried as `spec`.
    pub payload: String,
    /// When it began.
    pub began: Instant,
    /// When and how it ended.
    pub ended: Option<(Instant, String)>,
}

#[derive(Clone, Debug)]
pub(super) struct Running {
    pub run: u64,
    pub until: Instant,
    pub work_ms: u64,
    /// It runs until it is stopped, and is at work from the start.
    pub is_lasting: bool,
    pub ending: &'static str,
    pub record: usize,
}

/// The payload of tasks that run until they are stopped.
pub const LASTING: &str = "lasting";

/// How long they run if they are not stopped.
const LASTING_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// How a run ended that was done on a worker whose life was over before anybody acknowledged it.
const LOST_DONE: &str = "done, never acknowledged";

/// One life of a host.
#[derive(Debug)]
pub struct Worker {
    /// Its id.
    pub id: String,
    /// When it was started, in Unix milliseconds.
    pub born: u64,
    pub(super) boot: Instant,
    pub(super) fence: u64,
    pub(super) deadline: u64,
    pub(super) running: BTreeMap<String, Running>,
    pub(super) ended: Vec<(u64, String, u64, String)>,
    pub(super) highest: BTreeMap<String, u64>,
    pub(super) next_end: u64,
    /// The fault in force.
    pub fault: WorkerFault,
    /// How long a run goes on after the order to stop it.
    pub stop_time: Duration,
}

/// The state of everything.
#[derive(Debug)]
pub struct World {
    /// The store.
    pub rows: Rows,
    /// Every run.
    pub runs: Vec<RunRecord>,
    /// Tasks of which two runs were at work at once, or one began after another was done.
    pub twice: Vec<String>,
    /// Every order to start or stop a run that was carried out or refused, every poll by which a worker forgot ends, and when.
    pub orders: Vec<(Instant, String)>,
    /// The links of the entry hosts to the workers, if they are narrow.
    pub links: Option<NarrowLinks>,
    /// Workers renew their leases when they are polled; their reports and what they tell of their health get lost, also
    /// those of workers that start meanwhile.
    pub loses_reports: bool,
    /// Every move and maintenance of a host.
    pub duties: Vec<DutyRecord>,
    /// The pool whose hosts are off.
    pub(super) spare: String,
    pub(super) hosts: Vec<Host>,
    pub(super) began: Instant,
    lives: u64,
}

impl Default for World {
    fn default() -> Self {
        Self {
            rows: Rows::default(),
            runs: Vec::new(),
            twice: Vec::new(),
            orders: Vec::new(),
            links: None,
            loses_reports: false,
            duties: Vec::new(),
            spare: "spare".to_owned(),
            hosts: Vec::new(),
            began: Instant::now(),
            lives: 0,
        }
    }
}

impl World {
    pub(super) fn with_spare(spare: &str) -> Self {
        Self { spare: spare.to_owned(), ..Self::default() }
    }

    /// The store's clock.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Starts a host's worker anew.
    pub(super) fn boot(&mut self, host: usize, addr: SocketAddr) {
        self.hosts[host].addr = Some(addr);
        self.end_life(host, "gone");
        if self.hosts[host].pool == self.spare {
            return;
        }
        self.lives += 1;
        self.begin_life(host, format!("w-{host}-{}", self.lives));
        self.list(host);
    }

    fn begin_life(&mut self, host: usize, id: String) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
        let worker = Worker {
            id,
            born: born as u64,
            boot: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            next_end: 1,
            fault: WorkerFault::None,
            stop_time: Duration::ZERO,
        };
        self.hosts[host].worker = Some(worker);
    }

    /// Puts the entry of a host's worker into the table, with a new row version if it is there.
    pub fn list(&mut self, host: usize) {
        let at = &self.hosts[host];
        let Some(worker) = &at.worker else { return };
        let entry = json!({
            "service": at.pool,
            "address": at.addr.map(|it| it.to_string()),
            "zone": format!("dc-{}", host % 3),
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": { "cpu": 8_000, "mem_mb": 32_768, "gpu": 0 },
            "labels": ["a", format!("rack-{}", host / 4)],
            "seq": 1,
            "born": worker.born,
        });
        self.rows.put("servers", &worker.id, &entry);
    }

    /// The address at which a host's worker is listed.
    pub fn addr(&self, host: usize) -> Option<SocketAddr> {
        self.hosts[host].addr
    }

    /// Lists a host's worker at another address, which leads to it.
    pub fn set_addr(&mut self, host: usize, addr: SocketAddr) {
        self.hosts[host].addr = Some(addr);
        self.list(host);
    }

    /// The entry of a host's worker lapses; the worker lives on.
    pub fn lapse(&mut self, host: usize) {
        let Some(worker) = &self.hosts[host].worker else { return };
        self.rows.drop_row("servers", &worker.id);
    }

    /// Ends a host's worker: everything on it ends, and its entry goes.
    pub(super) fn end_life(&mut self, host: usize, how: &str) {
        if let Some(id) = self.end_worker(host, how) {
            self.rows.drop_row("servers", &id);
        }
    }

    /// Ends a host's worker and everything on it; returns its id. Its entry stays.
    fn end_worker(&mut self, host: usize, how: &str) -> Option<String> {
        let worker = self.hosts[host].worker.take()?;
        for it in worker.running.values() {
            self.runs[it.record].ended = Some((Instant::now(), how.to_owned()));
        }
        // An end that nobody acknowledged is lost with the life: the task may run again. A former life under the same id may
        // have begun the same run, so the last record is that of this life.
        for (_, task, run, _) in worker.ended.iter().filter(|it| it.3 == "done") {
            let is_it =
                |it: &&mut RunRecord| it.task == *task && it.run == *run && it.worker == worker.id;
            if let Some((_, how)) =
                self.runs.iter_mut().rfind(is_it).and_then(|it| it.ended.as_mut())
            {
                *how = LOST_DONE.to_owned();
            }
        }
        Some(worker.id)
    }

    /// A worker crashes; its host starts another one.
    pub fn crash(&mut self, host: usize) {
        let at = &self.hosts[host];
        if let Some(addr) = at.addr.filter(|_| at.loss.is_none()) {
            self.boot(host, addr);
        }
    }

    /// A host is gone for good, and its worker with it. The entry of the worker stays, as it does until it lapses.
    pub fn lose(&mut self, host: usize, loss: Loss) {
        self.end_worker(host, "gone");
        self.hosts[host].loss = Some(loss);
        self.hosts[host].back = None;
    }

    /// The host that has the worker with this id.
    pub fn host_of(&self, id: &str) -> Option<usize> {
        self.hosts.iter().position(|it| it.worker.as_ref().is_some_and(|it| it.id == id))
    }

    /// A worker crashes and is started anew under its id, at its address.
    pub fn rebirth(&mut self, host: usize) {
        let Some(id) = self.hosts[host].worker.as_ref().map(|it| it.id.clone()) else { return };
        self.end_life(host, "gone");
        self.begin_life(host, id);
        self.list(host);
    }

    /// The same, but its entry stays that of its former life until [`World::list`].
    pub fn rebirth_with_former_entry(&mut self, host: usize) {
        if let Some(id) = self.end_worker(host, "gone") {
            self.begin_life(host, id);
        }
    }

    /// How many hosts there are.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The worker on a host.
    pub fn worker(&self, host: usize) -> Option<&Worker> {
        self.hosts[host].worker.as_ref()
    }

    /// The worker on a host, to be changed.
    pub fn worker_mut(&mut self, host: usize) -> Option<&mut Worker> {
        self.hosts[host].worker.as_mut()
    }

    /// Ends runs whose work is done or whose lease is over, and brings hosts back.
    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            if self.hosts[host].back.is_some_and(|it| now >= it) {
                self.hosts[host].back = None;
                if let Some(addr) = self.hosts[host].addr {
                    self.boot(host, addr);
                }
            }
            let Some(worker) = &mut self.hosts[host].worker else { continue };
            let lapsed = worker.clock_ms() > worker.deadline;
            let over: Vec<String> = worker
                .running
                .iter()
                .filter(|(_, it)| lapsed || now >= it.until)
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                let how = if lapsed { "lapsed" } else { worker.running[&task].ending };
                let record = worker.end(&task, how);
                self.runs[record].ended = Some((now, how.to_owned()));
            }
        }
    }

    /// Hosts of a pool whose workers are up.
    pub fn hosts_up(&self, pool: &str) -> Vec<usize> {
        let is_up = |it: &usize| self.hosts[*it].pool == pool && self.hosts[*it].worker.is_some();
        (0..self.hosts.len()).filter(is_up).collect()
    }

    /// Begins a run and judges it.
    pub(super) fn begin(&mut self, host: usize, task: &str, run: u64, payload: &str) {
        let now = Instant::now();
        let is_bad = self
            .runs
            .iter()
            .any(|it| it.task == task && it.ended.as_ref().is_none_or(|(_, how)| how == "done"));
        if is_bad {
            self.twice.push(task.to_owned());
        }
        let Some(worker) = &mut self.hosts[host].worker else { return };
        let is_lasting = payload == LASTING;
        let work_ms = payload.split('=').nth(1).and_then(|it| it.parse().ok()).unwrap_or(100);
        let is_sick = worker.fault == WorkerFault::Sick;
        let ending = if is_sick || payload.starts_with("fail") { "failed" } else { "done" };
        let record = self.runs.len();
        let time = if is_lasting { LASTING_TIME } else { Duration::from_millis(work_ms) };
        let running = Running { run, until: now + time, work_ms, is_lasting, ending, record };
        worker.running.insert(task.to_owned(), running);
        self.runs.push(RunRecord {
            task: task.to_owned(),
            run,
            worker: worker.id.clone(),
            payload: payload.to_owned(),
            began: now,
            ended: None,
        });
    }

    /// Tasks of a job of which a run was done, whether that was acknowledged or not.
    pub fn done_tasks(&self, job: &str) -> usize {
        let is_done = |it: &&RunRecord| {
            let how = it.ended.as_ref().map(|(_, how)| how.as_str());
            it.task.starts_with(job) && how.is_some_and(|how| how == "done" || how == LOST_DONE)
        };
        let done: BTreeSet<&str> =
            self.runs.iter().filter(is_done).map(|it| it.task.as_str()).collect();
        done.len()
    }
}

impl Worker {
    pub(super) fn clock_ms(&self) -> u64 {
        self.boot.elapsed().as_millis() as u64
    }

    /// Stops a run at once, or lets it end as stopped a while later; gives the place of its record if it has ended.
    pub(super) fn stop(&mut self, task: &str) -> Option<usize> {
        if self.stop_time.is_zero() {
            return Some(self.end(task, "stopped"));
        }
        let until = Instant::now() + self.stop_time;
        let it = self.running.get_mut(task).expect("the run is there");
        if until < it.until {
            it.until = until;
            it.ending = "stopped";
        }
        None
    }

    /// Ends a run; gives the place of its record.
    pub(super) fn end(&mut self, task: &str, how: &str) -> usize {
        let it = self.running.remove(task).expect("the run is there");
        self.ended.push((self.next_end, task.to_owned(), it.run, how.to_owned()));
        self.next_end += 1;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(it.run);
        it.record
    }
}
