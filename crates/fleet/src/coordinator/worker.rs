//! A worker in the coordinator's memory.

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};

use super::{health::RunningMean, reported_health::ReportedHealth};
use crate::{Name, Step, TaskId, WorkerInfo, WorkerState};

/// How long a host is idle before it leaves a pool that has enough hosts. A host that leaves and comes back costs as
/// much as about two seconds in a pool.
pub(super) const IDLE_MS: Millisecond = 800;

/// What one run takes of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunUsage {
    room: Resources,
    serves: u32,
    best_effort: u32,
    long_running: u32,
}

/// Runs that a worker lists and the coordinator has no record of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnknownRuns {
    /// The room of those whose step is known.
    pub room: Resources,
    /// Whether there are others, whose room is not known.
    pub has_unsized: bool,
}

/// A worker and the runs that the coordinator has on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's own description of itself.
    pub seen: WorkerInfo,
    /// Room that is taken by runs that may be on the worker.
    pub used: Resources,
    /// Those runs, with the room that each takes.
    pub live: FastMap<TaskId, RunUsage>,
    /// Whether its last report listed runs.
    pub reports_runs: bool,
    /// Room that is taken by runs on it which the coordinator has no record of.
    pub unknown: UnknownRuns,
    /// The highest number of an end that was handled in memory.
    pub last_end: u64,
    /// When the acknowledgement of that end was released to be sent; `None` before that.
    pub acknowledged: Option<Moment>,
    /// Whether this incarnation of the worker has answered this coordinator.
    pub answered: bool,
    /// When this coordinator first knew of this incarnation.
    pub known_since: Moment,
    /// Whether the last whole list of hosts lacked it while it was silent.
    pub absent: bool,
    /// Whether its entry is gone from the worker list.
    pub unlisted: bool,
    /// The start time of the incarnation before this one, in Unix milliseconds.
    pub former_born: Option<u64>,
    /// Until when a run may hold the longest lease that the worker grants, by an order that was meant for the former
    /// incarnation.
    pub longest_lease_until: Option<Moment>,
    /// Since when it has not answered: the last moment at which its leases may have been renewed.
    pub silent_since: Option<Moment>,
    /// The worker takes no new tasks before this moment.
    pub avoid_until: Moment,
    /// Consecutive failures of different tasks.
    pub failures: u32,
    /// The number of tasks on it that serve users of their own.
    pub serving: u32,
    /// The number of best-effort tasks on it.
    pub best_effort: u32,
    /// The number of its tasks that run until their job is cancelled.
    pub long_running: u32,
    /// Whether its room is held for tasks that run all the time, and against which work: that of this priority and of less
    /// urgent ones.
    pub held_for: Option<u32>,
    /// How long its tasks take relative to other tasks of their steps.
    pub slowness: RunningMean,
    /// Whether it takes no new tasks because its host is about to leave the pool or to be maintained.
    pub reserved: bool,
    /// Until when it is cold.
    pub cold_until: Moment,
    /// Whether it takes no new tasks because its data centre is evacuated.
    pub cordoned: bool,
    /// When its last run left it, or when it was first seen.
    pub idle_since: Moment,
    /// The health that it reports.
    pub health: ReportedHealth,
}

impl Worker {
    /// Creates a worker that was just seen.
    pub fn new(seen: WorkerInfo, now: Moment) -> Self {
        Self {
            cold_until: now + seen.cold_remaining_ms,
            seen,
            used: Resources::default(),
            live: FastMap::default(),
            reports_runs: false,
            unknown: UnknownRuns::default(),
            last_end: 0,
            acknowledged: None,
            answered: false,
            known_since: now,
            absent: false,
            unlisted: false,
            former_born: None,
            longest_lease_until: None,
            silent_since: None,
            avoid_until: Moment(0),
            failures: 0,
            serving: 0,
            best_effort: 0,
            long_running: 0,
            held_for: None,
            slowness: RunningMean::default(),
            reserved: false,
            cordoned: false,
            idle_since: now,
            health: ReportedHealth::default(),
        }
    }

    /// Returns whether new tasks may be placed on it.
    pub fn takes_tasks(&self, now: Moment) -> bool {
        !self.reserved && self.is_sound(now)
    }

    /// Returns whether it would take new tasks if it were not reserved.
    pub fn is_sound(&self, now: Moment) -> bool {
        self.answered
            && !self.unlisted
            && self.silent_since.is_none()
            && !self.unknown.has_unsized
            && !self.cordoned
            && self.seen.state == WorkerState::Ready
            && now >= self.avoid_until
    }

    /// Returns whether it takes new tasks once it has answered and is not reserved, as far as is known.
    pub fn may_become_sound(&self, now: Moment) -> bool {
        let answers = !self.answered || self.silent_since.is_none();
        answers
            && !self.unlisted
            && !self.unknown.has_unsized
            && !self.cordoned
            && self.seen.state == WorkerState::Ready
            && now >= self.avoid_until
    }

    /// Returns whether it is slow since it was started a short while ago.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Notes another entry of this incarnation. An entry that is read again may be old, so that it makes the worker cold for no
    /// longer than was known.
    pub fn note_entry(&mut self, seen: WorkerInfo, now: Moment) {
        self.cold_until = self.cold_until.min(now + seen.cold_remaining_ms);
        self.seen = seen;
        self.unlisted = false;
    }

    /// Avoids the worker until `until`, or longer if it is already avoided for longer.
    pub fn avoid(&mut self, until: Moment) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Returns whether its tasks should move elsewhere because it is about to leave or cordoned.
    pub fn is_leaving(&self) -> bool {
        self.reserved || self.cordoned || self.seen.state == WorkerState::Draining
    }

    /// Returns whether its data centre is evacuated, and it is not about to leave for another reason.
    pub fn is_only_cordoned(&self) -> bool {
        self.cordoned && !self.reserved && self.seen.state == WorkerState::Ready
    }

    /// Returns whether it has been idle for so long that its host may leave the pool.
    pub fn is_idle_long(&self, now: Moment) -> bool {
        self.live.is_empty() && now.since(self.idle_since) >= IDLE_MS
    }

    /// Returns after which moment the leases of all its runs have certainly lapsed, or `None` while it answers; `lease` is
    /// the length of one, with its drift.
    pub fn lapses_at(&self, lease: Millisecond) -> Option<Moment> {
        let renewed_end = self.silent_since? + lease;
        Some(self.longest_lease_until.map_or(renewed_end, |until| until.max(renewed_end)))
    }

    /// Returns whether the leases of all its runs have certainly lapsed.
    pub fn has_lapsed(&self, lease: Millisecond, now: Moment) -> bool {
        self.lapses_at(lease).is_some_and(|at| now > at)
    }

    /// Returns whether it has not answered since a list of hosts that was requested at `asked`. An incarnation that has
    /// never answered was there before the list if it was known by then.
    pub fn is_silent_since(&self, asked: Moment) -> bool {
        match self.answered {
            true => self.silent_since.is_some_and(|since| asked > since),
            false => self.silent_since.is_some() && asked > self.known_since,
        }
    }

    /// Returns the room that is left.
    pub fn free(&self) -> Resources {
        self.seen.capacity.minus(self.used).minus(self.unknown.room)
    }

    /// Returns whether one of its tasks runs until its job is cancelled.
    pub fn has_long_running(&self) -> bool {
        self.long_running > 0
    }

    /// Returns the room that is left once the runs for which `ends` holds have ended.
    pub fn room_after(&self, ends: impl Fn(&TaskId) -> bool) -> Resources {
        let left = self.live.iter().filter(|it| !ends(it.0)).map(|it| it.1.room);
        left.fold(self.seen.capacity.minus(self.unknown.room), Resources::minus)
    }

    /// Adds a run and takes its room.
    pub fn add_run(&mut self, id: TaskId, step: &Step) {
        let usage = RunUsage {
            room: step.room(),
            serves: u32::from(step.tail_target_ms.is_some()),
            best_effort: u32::from(step.best_effort),
            long_running: u32::from(step.long_running),
        };
        self.used = self.used.plus(usage.room);
        self.serving += usage.serves;
        self.best_effort += usage.best_effort;
        self.long_running += usage.long_running;
        self.live.insert(id, usage);
    }

    /// Removes a run and releases its room.
    pub fn remove_run(&mut self, id: &TaskId, now: Moment) {
        if let Some(usage) = self.live.remove(id) {
            self.used = self.used.minus(usage.room);
            self.serving -= usage.serves;
            self.best_effort -= usage.best_effort;
            self.long_running -= usage.long_running;
            if self.live.is_empty() {
                self.idle_since = now;
            }
        }
    }

    /// Returns how many tasks of the same step it runs.
    pub fn siblings_of(&self, id: &TaskId) -> u32 {
        let is_sibling =
            |it: &&TaskId| it.job == id.job && it.occurrence == id.occurrence && it.step == id.step;
        self.live.keys().filter(is_sibling).count() as u32
    }

    /// Returns the rack of its host, which is the second of its labels.
    pub fn rack(&self) -> Option<&Name> {
        self.seen.labels.get(1)
    }

    /// Returns whether the worker has a label, such as a rack.
    pub fn has_label(&self, label: &str) -> bool {
        self.seen.labels.iter().any(|it| it == label)
    }
}

/// Describes a worker that is known only from a job record. It takes no tasks and is removed once its leases have
/// lapsed.
pub(super) fn placeholder_for(id: &Name) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        born: 0,
        pool: Name::default(),
        addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        data_centre: Name::default(),
        state: WorkerState::Draining,
        capacity: Resources::default(),
        labels: Vec::new(),
        cold_remaining_ms: 0,
    }
}
