//! What is kept of a job so that another coordinator can go on with it.

use serde::{Deserialize, Serialize};

use crate::{Name, TaskId};

/// Where a job stands, as callers are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Stage {
    /// Whether nothing will change any more.
    pub fn is_over(self) -> bool {
        matches!(self, Stage::Completed | Stage::Failed | Stage::Cancelled)
    }
}

/// A job's progress. Tasks that never started are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobRecord {
    /// Where it stands.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Its tasks.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
    /// When it was over, in store time.
    #[serde(rename = "o", skip_serializing_if = "is_zero")]
    pub over_ms: u64,
}

fn is_zero(it: &u64) -> bool {
    *it == 0
}

/// Progress of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct TaskRecord {
    /// The occurrence of its job.
    pub occurrence: u32,
    /// Its step.
    pub step: u16,
    /// Its place in the step.
    pub index: u32,
    /// The number of its last run; 0 before the first.
    pub run: u32,
    /// How often it has failed.
    pub failures: u32,
    /// Whether it is done.
    pub done: bool,
    /// The worker that may be running it, and that worker's birth.
    pub on: Option<(Name, u64)>,
    /// Its saved progress, empty when there is none.
    pub saved: Name,
}

impl TaskRecord {
    /// The task's id within `job`.
    pub fn id(&self, job: &Name) -> TaskId {
        TaskId { job: job.clone(), occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// The short form: numbers, then worker, birth and progress where there are any.
type Row = (u32, u16, u32, u32, u32, bool, Name, u64, Name);

impl From<Row> for TaskRecord {
    fn from((occurrence, step, index, run, failures, done, worker, born, saved): Row) -> Self {
        let on = (!worker.is_empty()).then_some((worker, born));
        Self { occurrence, step, index, run, failures, done, on, saved }
    }
}

impl From<TaskRecord> for Row {
    fn from(it: TaskRecord) -> Row {
        let (worker, born) = it.on.unwrap_or_default();
        let TaskRecord { occurrence, step, index, run, failures, done, saved, .. } = it;
        (occurrence, step, index, run, failures, done, worker, born, saved)
    }
}
