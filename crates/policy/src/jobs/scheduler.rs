//! The jobs of one pool, as their owner keeps them in memory.
//!
//! The scheduler only proposes changes of rows. The daemon writes them, each conditional on the row's version and
//! on the lease of the pool, and tells the outcome; no order is given to a worker before the row says so.

mod orders;
mod rows;
mod starts;
mod waits;

use fuchsiamill_model::{
    FastMap, FastSet, Host, HostName, HostState, JobId, JobKind, Moment, PoolName, Resources,
    TeamName, Units,
    task::{Fence, TaskId, Usage},
};

use super::{
    health::Health,
    queue::Queue,
    row::{JobRow, Running, Stage, WriteId},
    workers::{Timing, Workers},
};
use crate::placement::{Placer, Sizes};

pub use orders::AnswerOutcome;
pub use waits::WaitCause;

/// A proposed change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The version of the row that the change is conditional on.
    pub version: u64,
    /// The row as it is to be.
    pub row: JobRow,
    /// What happens to the team's upper limit in the same write.
    pub unit: UnitChange,
}

/// What a write does to the job units of the team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitChange {
    /// Takes one.
    Take,
    /// Gives one back.
    GiveBack,
    /// Leaves them as they are.
    None,
}

/// Gives an id to each write.
pub trait WriteIds {
    /// A new id.
    fn next_id(&mut self) -> WriteId;
}

impl<F: FnMut() -> WriteId> WriteIds for F {
    fn next_id(&mut self) -> WriteId {
        self()
    }
}

/// What is known of a task from its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    NotSent,
    Unconfirmed,
    Running,
}

/// Whether a task is held to what it was placed for, and what it used before, in millicores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Throttle {
    /// It is not.
    No,
    /// An earlier owner may have throttled it.
    NotKnown,
    /// It was ordered; no answer came yet.
    Ordered(u32),
    /// It is.
    Held(u32),
    /// Its end was ordered; no answer came yet.
    Releasing(u32),
}

impl Throttle {
    /// The state once an answer to the last orders came.
    fn confirmed(self) -> Self {
        match self {
            Throttle::Ordered(before) => Throttle::Held(before),
            Throttle::Releasing(_) => Throttle::No,
            Throttle::No | Throttle::NotKnown | Throttle::Held(_) => self,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    row: JobRow,
    version: u64,
    pending: Option<JobRow>,
    seen: Seen,
    usage: Option<Usage>,
    throttle: Throttle,
    peak: Resources,
    waits_since: Option<Moment>,
}

impl Entry {
    /// What the task may use once released, if it is throttled or may be.
    fn throttled_from(&self) -> Option<u32> {
        match self.throttle {
            Throttle::Held(before) | Throttle::Releasing(before) => Some(before),
            Throttle::NotKnown => Some(self.usage?.peak.millicores),
            Throttle::No | Throttle::Ordered(_) => None,
        }
    }

    /// The run that holds room on a host: written, or about to be.
    fn held(&self) -> Option<&Running> {
        running_of(&self.row).or_else(|| self.pending.as_ref().and_then(running_of))
    }
}

/// A host that is kept for a job that waited long.
#[derive(Clone, Debug)]
struct Hold {
    job: JobId,
    host: HostName,
}

/// The jobs of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pool: PoolName,
    fence: Fence,
    timing: Timing,
    placer: Placer,
    hosts: FastMap<HostName, Host>,
    queue: Queue,
    entries: FastMap<JobId, Entry>,
    on_host: FastMap<HostName, Vec<JobId>>,
    running: FastMap<TeamName, Units>,
    workers: Workers,
    sizes: Sizes,
    awaiting_usage: FastMap<TaskId, (TeamName, JobKind)>,
    health: Health,
    hold: Option<Hold>,
    known_before_read: FastSet<JobId>,
    ended_in_read: FastSet<JobId>,
}

impl Scheduler {
    /// A scheduler that took the pool over at `now`, before its rows and hosts are put in.
    pub fn new(pool: PoolName, fence: Fence, timing: Timing, now: Moment) -> Self {
        Self {
            pool,
            fence,
            timing,
            placer: Placer::default(),
            hosts: FastMap::default(),
            queue: Queue::default(),
            entries: FastMap::default(),
            on_host: FastMap::default(),
            running: FastMap::default(),
            workers: Workers::new(timing, now),
            sizes: Sizes::default(),
            awaiting_usage: FastMap::default(),
            health: Health::default(),
            hold: None,
            known_before_read: FastSet::default(),
            ended_in_read: FastSet::default(),
        }
    }

    /// The pool.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// The fence that this owner took.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The jobs that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The jobs that hold a host.
    pub fn placed(&self) -> usize {
        self.on_host.values().map(Vec::len).sum()
    }

    /// The jobs that hold one host, also those whose start is being written.
    pub fn placed_on(&self, host: &HostName) -> usize {
        self.on_host.get(host).map_or(0, Vec::len)
    }

    /// Whether a change of the job is being written.
    pub fn is_pending(&self, job: &JobId) -> bool {
        self.entries.get(job).is_some_and(|it| it.pending.is_some())
    }

    /// Takes over the pool's hosts as the configuration has them now.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a Host>) {
        self.hosts = hosts.map(|it| (it.name.clone(), it.clone())).collect();
        let mut sorted: Vec<&Host> = self.hosts.values().collect();
        sorted.sort_by(|one, other| one.name.cmp(&other.name));
        self.placer = Placer::new(sorted.into_iter());
        self.hold = None;
        for host in self.health.ejected() {
            self.placer.eject(host);
        }
        for entry in self.entries.values() {
            if let Some(run) = entry.held() {
                self.placer.take(&run.host, &entry.row.core.team, run.size);
            }
        }
    }

    /// The pool's hosts whose workers are to be synchronised with.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Notes that a read of the pool's rows begins. One read is under way at a time.
    pub fn begin_read(&mut self) {
        self.known_before_read = self.entries.keys().cloned().collect();
        self.ended_in_read.clear();
    }

    /// Takes in all rows of the pool, as the read gave them with their versions.
    pub fn end_read(&mut self, rows: Vec<(JobRow, u64)>) {
        let mut gone = std::mem::take(&mut self.known_before_read);
        for (row, version) in rows {
            gone.remove(&row.core.id);
            self.put(row, version);
        }
        for job in gone {
            self.drop_job(&job);
        }
    }

    /// Takes in some rows of the pool, as the read gave them with their versions.
    pub fn end_partial_read(&mut self, rows: Vec<(JobRow, u64)>) {
        self.known_before_read.clear();
        for (row, version) in rows {
            self.put(row, version);
        }
    }

    /// The teams that have waiting jobs.
    pub fn waiting_teams(&self) -> Vec<TeamName> {
        self.queue.teams()
    }

    fn insert(&mut self, row: JobRow, version: u64) {
        let job = row.core.id.clone();
        let team = row.core.team.clone();
        match &row.stage {
            Stage::Waiting(_) => self.queue.push(&team, job.clone()),
            Stage::Running(run) => self.hold(&job, &team, run),
            Stage::Ended(_) => return,
        }
        let entry = Entry {
            row,
            version,
            pending: None,
            seen: Seen::Unconfirmed,
            usage: None,
            throttle: Throttle::NotKnown,
            peak: Resources::default(),
            waits_since: None,
        };
        self.entries.insert(job, entry);
    }

    fn replace(&mut self, row: JobRow, version: u64) {
        let job = row.core.id.clone();
        let known = self.entries.get(&job);
        let same_run = known.is_some_and(|it| {
            it.row.core.attempt == row.core.attempt && running_of(&it.row) == running_of(&row)
        });
        if same_run && running_of(&row).is_some() {
            let Some(entry) = self.entries.get_mut(&job) else { return };
            entry.row = row;
            entry.version = version;
            return;
        }
        self.remove(&job);
        self.insert(row, version);
    }

    fn remove(&mut self, job: &JobId) {
        self.end_hold_of(job);
        self.queue.remove(job);
        let Some(entry) = self.entries.remove(job) else { return };
        if let Some(run) = entry.held() {
            self.unhold(job, &entry.row.core.team, run);
        }
    }

    fn release_if_held(&mut self, job: &JobId, before: &JobRow, after: &JobRow) {
        let Some(run) = running_of(before) else { return };
        if running_of(after).is_some() {
            return;
        }
        self.unhold(job, &before.core.team, run);
        if !self.awaiting_usage.contains_key(&before.core.task()) {
            self.workers.forget(&run.host, before.core.task());
        }
        if let Some(entry) = self.entries.get_mut(job) {
            entry.row.stage = after.stage.clone();
        }
    }

    fn hold(&mut self, job: &JobId, team: &TeamName, run: &Running) {
        self.placer.take(&run.host, team, run.size);
        self.on_host.entry(run.host.clone()).or_default().push(job.clone());
        *self.running.entry(team.clone()).or_default() += 1;
    }

    fn unhold(&mut self, job: &JobId, team: &TeamName, run: &Running) {
        self.placer.give_back(&run.host, team, run.size);
        if let Some(jobs) = self.on_host.get_mut(&run.host) {
            jobs.retain(|it| it != job);
        }
        if let Some(running) = self.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
    }

    fn is_leaving(&self, host: &HostName) -> bool {
        self.hosts.get(host).is_some_and(|it| it.state != HostState::Serving)
    }
}

fn running_of(row: &JobRow) -> Option<&Running> {
    match &row.stage {
        Stage::Running(run) => Some(run),
        Stage::Waiting(_) | Stage::Ended(_) => None,
    }
}
