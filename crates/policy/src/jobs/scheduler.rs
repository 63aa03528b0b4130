//! The scheduler of one pool's jobs, as the pool's owner keeps it in memory.
//!
//! The scheduler only proposes changes of rows. The daemon writes them, each conditional on the row's version and
//! on the lease of the pool, and reports the outcome. A worker gets an order only after the row that calls for it is
//! written.

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
    /// The row after the change.
    pub row: JobRow,
    /// What the same write does to the units of the team's upper limit.
    pub unit: UnitChange,
}

/// What a write does to the units of the team's upper limit that its jobs hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitChange {
    /// Takes one unit.
    Take,
    /// Gives one unit back.
    GiveBack,
    /// Changes nothing.
    None,
}

/// A source of ids for writes.
pub trait WriteIds {
    /// Returns an id that no other write has.
    fn next_id(&mut self) -> WriteId;
}

impl<F: FnMut() -> WriteId> WriteIds for F {
    fn next_id(&mut self) -> WriteId {
        self()
    }
}

/// What is known of the start of a placed task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// This owner wrote the run and has not ordered it yet.
    NotSent,
    /// The start was ordered, or an earlier owner may have ordered it; the worker has not reported the task.
    Unconfirmed,
    /// The worker reported the task as running.
    Running,
}

/// Whether a task is throttled to the resources reserved for it. The numbers are its use before that, in millicores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Throttle {
    /// It is not throttled.
    No,
    /// An earlier owner may have throttled it.
    Unknown,
    /// The throttle was ordered; no answer came yet.
    Ordered(u32),
    /// It is throttled.
    Active(u32),
    /// The end of the throttle was ordered; no answer came yet.
    Releasing(u32),
}

impl Throttle {
    /// Returns the state after the worker answered the last orders.
    fn confirmed(self) -> Self {
        match self {
            Throttle::Ordered(before) => Throttle::Active(before),
            Throttle::Releasing(_) => Throttle::No,
            Throttle::No | Throttle::Unknown | Throttle::Active(_) => self,
        }
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
struct Entry {
    row: JobRow,
    version: u64,
    /// The proposed row while it is being written.
    pending: Option<JobRow>,
    start: Start,
    /// The usage of the current run, as last reported.
    usage: Option<Usage>,
    throttle: Throttle,
    /// The peak usage that was last reported, also of an earlier run.
    peak: Resources,
    /// When the job was first found to have no room on any host, while it waits.
    no_room_since: Option<Moment>,
}

impl Entry {
    /// Returns the millicores that the task may use again once released, if it is or may be throttled.
    fn throttled_from(&self) -> Option<u32> {
        match self.throttle {
            Throttle::Active(before) | Throttle::Releasing(before) => Some(before),
            Throttle::Unknown => Some(self.usage?.peak.millicores),
            Throttle::No | Throttle::Ordered(_) => None,
        }
    }

    /// Returns the run that occupies a host, whether it is written or its write is pending.
    fn placement(&self) -> Option<&Running> {
        running_of(&self.row).or_else(|| self.pending.as_ref().and_then(running_of))
    }
}

/// A host that is kept free for a job that has waited long.
#[derive(Clone, Debug)]
struct Reservation {
    job: JobId,
    host: HostName,
}

/// The scheduler of one pool's jobs.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pool: PoolName,
    fence: Fence,
    timing: Timing,
    placer: Placer,
    hosts: FastMap<HostName, Host>,
    queue: Queue,
    entries: FastMap<JobId, Entry>,
    /// The jobs placed on each host, pending starts included.
    on_host: FastMap<HostName, Vec<JobId>>,
    /// The number of placed jobs of each team.
    running: FastMap<TeamName, Units>,
    workers: Workers,
    sizes: Sizes,
    /// Finished tasks whose usage the worker has not reported yet.
    awaiting_usage: FastMap<TaskId, (TeamName, JobKind)>,
    health: Health,
    reservation: Option<Reservation>,
    /// The jobs that were known when the read of the rows began; those missing from its result are dropped.
    known_before_read: FastSet<JobId>,
    /// The jobs that ended or whose row was found gone since the read began; its result may still have their rows.
    ended_in_read: FastSet<JobId>,
}

impl Scheduler {
    /// Creates the scheduler of an owner that took the pool over at `now`, without jobs and hosts so far.
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
            reservation: None,
            known_before_read: FastSet::default(),
            ended_in_read: FastSet::default(),
        }
    }

    /// Returns the pool whose jobs are scheduled.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns the fence of this owner's lease on the pool.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of jobs that are placed on a host.
    pub fn placed(&self) -> usize {
        self.on_host.values().map(Vec::len).sum()
    }

    /// Returns the number of jobs that are placed on one host, including those whose start is being written.
    pub fn placed_on(&self, host: &HostName) -> usize {
        self.on_host.get(host).map_or(0, Vec::len)
    }

    /// Returns whether a change of the job is being written.
    pub fn is_pending(&self, job: &JobId) -> bool {
        self.entries.get(job).is_some_and(|it| it.pending.is_some())
    }

    /// Sets the pool's hosts to those of the present configuration.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a Host>) {
        self.hosts = hosts.map(|it| (it.name.clone(), it.clone())).collect();
        let mut sorted: Vec<&Host> = self.hosts.values().collect();
        sorted.sort_by(|one, other| one.name.cmp(&other.name));
        self.placer = Placer::new(sorted.into_iter());
        self.reservation = None;
        for host in self.health.ejected() {
            self.placer.eject(host);
        }
        for entry in self.entries.values() {
            if let Some(run) = entry.placement() {
                self.placer.add_task(&run.host, &entry.row.core.team, run.size);
            }
        }
    }

    /// Returns the hosts of the pool.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Marks the beginning of a read of the pool's rows. Only one read may be under way at a time.
    pub fn begin_read(&mut self) {
        self.known_before_read = self.entries.keys().cloned().collect();
        self.ended_in_read.clear();
    }

    /// Applies the result of a read of all rows of the pool, with their versions. Known jobs without a row are dropped.
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

    /// Applies the result of a read of some rows of the pool, with their versions.
    pub fn end_partial_read(&mut self, rows: Vec<(JobRow, u64)>) {
        self.known_before_read.clear();
        for (row, version) in rows {
            self.put(row, version);
        }
    }

    /// Returns the teams that have waiting jobs.
    pub fn waiting_teams(&self) -> Vec<TeamName> {
        self.queue.teams()
    }

    fn insert(&mut self, row: JobRow, version: u64) {
        let job = row.core.id.clone();
        let team = row.core.team.clone();
        match &row.stage {
            Stage::Waiting(_) => self.queue.push(&team, job.clone()),
            Stage::Running(run) => self.add_placement(&job, &team, run),
            Stage::Ended(_) => return,
        }
        let entry = Entry {
            row,
            version,
            pending: None,
            start: Start::Unconfirmed,
            usage: None,
            throttle: Throttle::Unknown,
            peak: Resources::default(),
            no_room_since: None,
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
        self.cancel_reservation(job);
        self.queue.remove(job);
        let Some(entry) = self.entries.remove(job) else { return };
        if let Some(run) = entry.placement() {
            self.remove_placement(job, &entry.row.core.team, run);
        }
    }

    fn release_if_run_ended(&mut self, job: &JobId, before: &JobRow, after: &JobRow) {
        let Some(run) = running_of(before) else { return };
        if running_of(after).is_some() {
            return;
        }
        self.remove_placement(job, &before.core.team, run);
        if !self.awaiting_usage.contains_key(&before.core.task()) {
            self.workers.allow_forget(&run.host, before.core.task());
        }
        if let Some(entry) = self.entries.get_mut(job) {
            entry.row.stage = after.stage.clone();
        }
    }

    fn add_placement(&mut self, job: &JobId, team: &TeamName, run: &Running) {
        self.placer.add_task(&run.host, team, run.size);
        self.on_host.entry(run.host.clone()).or_default().push(job.clone());
        *self.running.entry(team.clone()).or_default() += 1;
    }

    fn remove_placement(&mut self, job: &JobId, team: &TeamName, run: &Running) {
        self.placer.remove_task(&run.host, team, run.size);
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
