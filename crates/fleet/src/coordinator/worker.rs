//! A worker in the coordinator's memory.

use fuchsiamill_model::{FastMap, Resources, units::Moment};

use super::{health::Pace, told_health::ToldHealth};
use crate::{Name, Step, TaskId, WorkerInfo, WorkerState};

/// What one run takes of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    room: Resources,
    serves: u32,
    best_effort: u32,
}

/// A worker and what the coordinator has on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// How it describes itself.
    pub seen: WorkerInfo,
    /// Room that is taken by runs that may be there.
    pub used: Resources,
    /// Those runs, with the room each takes.
    pub live: FastMap<TaskId, Held>,
    /// Whether its last report listed runs.
    pub lists_runs: bool,
    /// The highest number of an end that was taken note of in memory.
    pub taken: u64,
    /// Whether it has answered this coordinator in this life.
    pub answered: bool,
    /// Whether its entry is gone from the list of workers.
    pub gone: bool,
    /// Since when it is silent: the last moment at which its leases may have been renewed.
    pub silent: Option<Moment>,
    /// Takes no new tasks before this moment.
    pub avoid_until: Moment,
    /// Failures in a row of different tasks.
    pub failures: u32,
    /// Tasks on it that serve users of their own.
    pub serving: u32,
    /// Tasks on it that fill unused capacity.
    pub filling: u32,
    /// How long its tasks take beside others.
    pub pace: Pace,
    /// Takes no new tasks, since its host is about to leave the pool or to be maintained.
    pub reserved: bool,
    /// When the last task left it.
    pub idle_since: Moment,
    /// What it tells of its health.
    pub health: ToldHealth,
}

impl Worker {
    /// A worker that was just seen.
    pub fn new(seen: WorkerInfo, now: Moment) -> Self {
        Self {
            seen,
            used: Resources::default(),
            live: FastMap::default(),
            lists_runs: false,
            taken: 0,
            answered: false,
            gone: false,
            silent: None,
            avoid_until: Moment(0),
            failures: 0,
            serving: 0,
            filling: 0,
            pace: Pace::default(),
            reserved: false,
            idle_since: now,
            health: ToldHealth::default(),
        }
    }

    /// Whether new tasks may be placed on it.
    pub fn takes_tasks(&self, now: Moment) -> bool {
        self.answered
            && !self.gone
            && !self.reserved
            && self.silent.is_none()
            && self.seen.state == WorkerState::Ready
            && now >= self.avoid_until
    }

    /// Leaves it out until `until`, or longer where it is left out for longer already.
    pub fn avoid(&mut self, until: Moment) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Whether tasks should go elsewhere before it leaves.
    pub fn is_leaving(&self) -> bool {
        self.reserved || self.seen.state == WorkerState::Draining
    }

    /// The room that is left.
    pub fn free(&self) -> Resources {
        self.seen.capacity.minus(self.used)
    }

    /// Takes room for a run.
    pub fn take(&mut self, id: TaskId, step: &Step) {
        let held = Held {
            room: step.room(),
            serves: u32::from(step.tail_target_ms.is_some()),
            best_effort: u32::from(step.best_effort),
        };
        self.used = self.used.plus(held.room);
        self.serving += held.serves;
        self.filling += held.best_effort;
        self.live.insert(id, held);
    }

    /// Gives the room of a run back.
    pub fn release(&mut self, id: &TaskId, now: Moment) {
        if let Some(held) = self.live.remove(id) {
            self.used = self.used.minus(held.room);
            self.serving -= held.serves;
            self.filling -= held.best_effort;
            if self.live.is_empty() {
                self.idle_since = now;
            }
        }
    }

    /// The rack of its host: the second of its labels.
    pub fn rack(&self) -> Option<&Name> {
        self.seen.labels.get(1)
    }

    /// The value of a label such as a rack: whether the worker has it.
    pub fn has_label(&self, label: &str) -> bool {
        self.seen.labels.iter().any(|it| it == label)
    }
}
