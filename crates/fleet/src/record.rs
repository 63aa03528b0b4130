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

    /// The stage in a word.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Queued => "queued",
            Stage::Running => "running",
            Stage::Completed => "completed",
            Stage::Failed => "failed",
            Stage::Cancelled => "cancelled",
        }
    }
}

/// A job's progress. Tasks that never started are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct JobRecord {
    /// Where it stands.
    pub stage: Stage,
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// When it was over, on the store's clock.
    pub ended_ms: u64,
}

/// Progress of one task. Of a task that is done nothing else is kept.
#[derive(Clone, Debug, Default, PartialEq)]
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
    pub checkpoint: Name,
}

impl TaskRecord {
    /// The task's id within `job`.
    pub fn id(&self, job: &Name) -> TaskId {
        TaskId { job: job.clone(), occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// The stored form: records are rewritten with every change, so that their size is most of what is sent to the store.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct Packed {
    #[serde(rename = "s")]
    stage: Stage,
    /// Workers and their births, named by their place here.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    workers: Vec<(Name, u64)>,
    /// Runs of done tasks: occurrence, step, first index, how many.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u16, u32, u32)>,
    /// Other tasks: occurrence, step, index, run, failures, worker (-1 for none).
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<(u32, u16, u32, u32, u32, i32)>,
    /// Saved progress, by the place in `tasks`.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty")]
    checkpoint: Vec<(u32, Name)>,
    #[serde(rename = "o", skip_serializing_if = "is_zero")]
    ended_ms: u64,
}

const NO_WORKER: i32 = -1;

impl From<JobRecord> for Packed {
    fn from(it: JobRecord) -> Packed {
        let mut packed = Packed { stage: it.stage, ended_ms: it.ended_ms, ..Packed::default() };
        for task in it.tasks {
            match task.done {
                true => packed.push_done(&task),
                false => packed.push(task),
            }
        }
        packed
    }
}

impl Packed {
    fn push_done(&mut self, task: &TaskRecord) {
        match self.done.last_mut() {
            Some((k, s, first, count))
                if (*k, *s, *first + *count) == (task.occurrence, task.step, task.index) =>
            {
                *count += 1;
            }
            _ => self.done.push((task.occurrence, task.step, task.index, 1)),
        }
    }

    fn push(&mut self, task: TaskRecord) {
        let worker = task.on.map_or(NO_WORKER, |on| {
            let known = self.workers.iter().position(|it| *it == on);
            known.unwrap_or_else(|| {
                self.workers.push(on);
                self.workers.len() - 1
            }) as i32
        });
        if !task.checkpoint.is_empty() {
            self.checkpoint.push((self.tasks.len() as u32, task.checkpoint));
        }
        let TaskRecord { occurrence, step, index, run, failures, .. } = task;
        self.tasks.push((occurrence, step, index, run, failures, worker));
    }
}

impl From<Packed> for JobRecord {
    fn from(it: Packed) -> JobRecord {
        let mut tasks = Vec::new();
        for (occurrence, step, first, count) in it.done {
            let done = |index| TaskRecord {
                occurrence,
                step,
                index,
                run: 1,
                done: true,
                ..TaskRecord::default()
            };
            tasks.extend((first..first.saturating_add(count)).map(done));
        }
        let first = tasks.len();
        for (occurrence, step, index, run, failures, worker) in it.tasks {
            let on = usize::try_from(worker).ok().and_then(|place| it.workers.get(place).cloned());
            tasks.push(TaskRecord {
                occurrence,
                step,
                index,
                run,
                failures,
                on,
                ..TaskRecord::default()
            });
        }
        for (place, checkpoint) in it.checkpoint {
            if let Some(task) = tasks.get_mut(first + place as usize) {
                task.checkpoint = checkpoint;
            }
        }
        JobRecord { stage: it.stage, tasks, ended_ms: it.ended_ms }
    }
}

fn is_zero(it: &u64) -> bool {
    *it == 0
}
