//! The specification of a job: its steps, their order, and its schedule.

use std::sync::Arc;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, WallTime},
};
use serde::{Deserialize, Serialize};

use crate::{Name, coordinator::Load};

/// A job as its caller specified it. Stored with the job, so that another coordinator can run it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Name of the queue to which the job was posted.
    pub queue: Name,
    /// Team that posted the job; empty on a queue that needs no API key.
    pub team: Name,
    /// Opaque payload, passed to the workers unchanged.
    pub payload: Arc<str>,
    /// Steps; the index of a step is its number.
    pub steps: Vec<Step>,
    /// When the job runs; `None` runs it once, immediately.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Time at which the job was accepted.
    pub accepted: WallTime,
    /// Address at which other entry hosts reach the one that accepted the job, and so has its payload; empty if it is
    /// not known.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub accepted_by: Name,
    /// Settings of the queue at the time at which the job was accepted.
    pub route: RouteSettings,
}

/// A job's copy of its queue's settings, so that the job can go on when the queue's route is removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouteSettings {
    /// Pool that runs the tasks.
    pub pool: Name,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task after which the job fails.
    pub max_attempts: u32,
    /// Factor of the critical path in the job's completion objective.
    pub stretch: f64,
    /// Constant part of the completion objective.
    pub objective_ms: Millisecond,
    /// Whether the advice service has to approve the workers of each step.
    pub advised: bool,
}

/// One step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate_ms: Millisecond,
    /// Numbers of the earlier steps that have to be done before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints from which a later run can go on.
    #[serde(rename = "saves", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang: either all of them run at the same time or none does.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks communicate so much that they are slow when spread over several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// Rack that holds the step's data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// Maximum number of the step's tasks on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub per_worker: Option<u32>,
    /// Whether a task may have several runs at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasts", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image are expected to behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// Target of the tail latency that the tasks' own users see; `None` for tasks that serve no users.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target_ms: Option<Millisecond>,
    /// Whether tasks use only processor time that other tasks leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Maximum number of tasks that the coordinator may make unavailable at the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// Repeated runs of a job at a fixed interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// Number of occurrences.
    pub times: u32,
    /// Time at which the first occurrence is due.
    pub first: WallTime,
    /// Time between two occurrences.
    pub interval_ms: Millisecond,
}

fn is_false(it: &bool) -> bool {
    !it
}

impl Step {
    /// Returns the part of a worker's capacity that a task reserves; a best-effort task reserves no processor time.
    pub fn room(&self) -> Resources {
        match self.best_effort {
            true => Resources { millicores: 0, ..self.size },
            false => self.size,
        }
    }
}

/// The most tasks whose progress is stored in one row. A task on a worker takes some 130 bytes there with its checkpoint, so
/// that a row stays under 65,536 bytes.
pub const RECORD_TASKS: u64 = 256;

impl JobSpec {
    /// Returns whether `other`, posted with the same id, is this job sent again. Its queue may have another name by then,
    /// but only its queue tells whose job it is if it has no team.
    pub fn is_repeated_by(&self, other: &JobSpec) -> bool {
        let has_same_work = || self.payload == other.payload && self.steps == other.steps;
        let may_be_renamed = !self.team.is_empty();
        self.team == other.team && (self.queue == other.queue || may_be_renamed && has_same_work())
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|it| u64::from(it.count)).sum()
    }

    /// Returns the number of the row in which the progress of a task is stored. The rows of a job follow the order of its
    /// tasks.
    pub fn record_part(&self, (occurrence, step, index): (u32, u16, u32)) -> u32 {
        let position = self.record_position((occurrence, step, index));
        u32::try_from(position / RECORD_TASKS).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks before this one in the order of the rows.
    pub(crate) fn record_position(&self, (occurrence, step, index): (u32, u16, u32)) -> u64 {
        let before: u64 = self.steps.iter().take(step.into()).map(|it| u64::from(it.count)).sum();
        let first = u64::from(occurrence).saturating_mul(self.task_count());
        first.saturating_add(before).saturating_add(index.into())
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|it| it.long_running)
    }

    /// Returns whether it has tasks that are to run all the time or at a time of day.
    pub fn is_standing(&self) -> bool {
        self.long_running() || self.schedule.is_some()
    }

    /// Returns the length of the longest chain of steps, where each step takes what `step_ms` returns.
    pub fn path_ms(&self, mut step_ms: impl FnMut(usize) -> Millisecond) -> Millisecond {
        if self.steps.len() == 1 {
            return step_ms(0);
        }
        let mut ends: Vec<Millisecond> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().filter_map(|it| ends.get(*it as usize)).max();
            ends.push(begin.copied().unwrap_or(0).saturating_add(step_ms(number)));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the work of all tasks on hosts of this capacity in millicore-milliseconds, where a task of each step takes what
    /// `step_ms` returns.
    pub fn work_on(&self, host: Resources, step_ms: impl Fn(usize) -> Millisecond) -> u64 {
        let work = |(number, step): (usize, &Step)| {
            Load::of(step.room(), u64::from(step.count).saturating_mul(step_ms(number)))
        };
        let all = self.steps.iter().enumerate().map(work).fold(Load::default(), Load::plus);
        all.millicores_on(host)
    }
}
