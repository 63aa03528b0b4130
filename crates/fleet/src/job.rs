//! What a caller asks for: a job of several steps.

use std::sync::Arc;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, WallTime},
};
use serde::{Deserialize, Serialize};

use crate::Name;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// The queue it was posted to.
    pub queue: Name,
    /// The team that posted it; empty on a queue open to all.
    pub team: Name,
    /// Passed on to workers as it is.
    pub payload: Arc<str>,
    /// Its steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// When its steps run, if not once and at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was accepted.
    pub accepted: WallTime,
    /// What its tasks may no longer be chosen for once the queue's route is gone.
    pub route: RouteSettings,
}

/// What a job keeps of its queue, so that it can go on when the queue's route is removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouteSettings {
    /// The pool that runs its tasks.
    pub pool: Name,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// Factor of the longest chain of work.
    pub stretch: f64,
    /// The fixed part of the objective.
    pub objective_ms: Millisecond,
    /// Whether workers have to be asked for at the advice service.
    pub advised: bool,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each task needs.
    pub size: Resources,
    /// A rough guess of how long a task takes.
    pub estimate_ms: Millisecond,
    /// Earlier steps that have to be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Tasks save their progress.
    #[serde(rename = "saves", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// All tasks run together or none does.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Tasks are slow when they run in more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// A label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// The rack of the step's data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// The most tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub per_worker: Option<u32>,
    /// A task may run more than once at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Tasks run until the job is cancelled.
    #[serde(rename = "lasts", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What its tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// The latency that the tasks' own users are promised.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target_ms: Option<Millisecond>,
    /// Tasks take only the processor time that others leave.
    #[serde(rename = "fills", skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// How many tasks may be away at once by our own doing.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Occurrences of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// How many there are.
    pub times: u32,
    /// When the first is due.
    pub first: WallTime,
    /// The time between two.
    pub interval_ms: Millisecond,
}

fn is_false(it: &bool) -> bool {
    !it
}

impl Step {
    /// The part of a worker's room that a task takes.
    pub fn room(&self) -> Resources {
        match self.best_effort {
            true => Resources { millicores: 0, ..self.size },
            false => self.size,
        }
    }
}

impl JobSpec {
    /// Whether the job runs until it is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|it| it.long_running)
    }
}
