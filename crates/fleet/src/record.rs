//! The stored progress of a job, from which another coordinator can go on after a takeover.

use serde::{Deserialize, Serialize};

use crate::{JobSpec, Name, TaskId};

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// No task has started yet.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed more often than the queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl Stage {
    /// Returns whether the stage is final.
    pub fn is_over(self) -> bool {
        matches!(self, Stage::Completed | Stage::Failed | Stage::Cancelled)
    }

    /// Returns the name of the stage in stored records and in answers to callers.
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

/// The progress of a job. Tasks that never started are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct JobRecord {
    /// The state of the job.
    pub stage: Stage,
    /// Progress of the tasks that have started at least once.
    pub tasks: Vec<TaskRecord>,
    /// Time at which the job reached its final stage, on the store's clock; 0 if it was not noted.
    pub ended_ms: u64,
    /// The team of the job, in its first row; empty if it was not noted.
    pub team: Name,
    /// The number of rows that were read, counted with missing ones up to the last; 0 in a record that was not read.
    pub parts: u32,
}

/// The progress of one task. Of a task that is done, only its position in the job and a run that may go on are stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskRecord {
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
    /// Number of the last run; 0 before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Id and `born` of the worker that may be running the task; of a task that is done, a later run of it.
    pub on: Option<(Name, u64)>,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// One row of a job's progress. A job of many tasks has several, of which the first has its stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordKey {
    /// The id of the job.
    pub job: Name,
    /// The number of the row, counted from 0.
    pub part: u32,
}

impl RecordKey {
    /// Returns the key of a job's first row.
    pub fn first(job: &Name) -> Self {
        Self { job: job.clone(), part: 0 }
    }

    /// Returns the name of the row: the id of the job, with the number of each row but the first.
    pub fn row_name(&self) -> Name {
        match self.part {
            0 => self.job.clone(),
            part => format!("{}.{part}", self.job).into(),
        }
    }

    /// Reads the name of a row.
    pub fn from_row_name(name: &Name) -> Self {
        let parts = name.rsplit_once('.').and_then(|(job, part)| Some((job, part.parse().ok()?)));
        match parts {
            Some((job, part)) => Self { job: job.into(), part },
            None => Self::first(name),
        }
    }
}

impl JobRecord {
    /// Puts the rows of a job together. Former versions stored all tasks in the first row, where they no longer count once
    /// their own row is stored.
    pub fn merge(rows: &[(u32, JobRecord)], spec: &JobSpec) -> Option<JobRecord> {
        let first = rows.iter().find(|it| it.0 == 0).map(|it| &it.1);
        if first.is_some_and(|it| !it.may_be_of(&spec.team)) {
            return None;
        }
        let mut merged = JobRecord {
            stage: first.map_or_else(Stage::default, |it| it.stage),
            ended_ms: first.map_or(0, |it| it.ended_ms),
            ..JobRecord::default()
        };
        for (part, record) in rows {
            let is_own = |it: &&TaskRecord| {
                let own = spec.record_part((it.occurrence, it.step, it.index));
                own == *part || !rows.iter().any(|it| it.0 == own)
            };
            merged.tasks.extend(record.tasks.iter().filter(is_own).cloned());
            merged.parts = merged.parts.max(part.saturating_add(1));
        }
        (!rows.is_empty()).then_some(merged)
    }

    /// Returns whether the record may be that of a job of this team. The record of a former job of the same id may outlast
    /// its job; former versions noted no team.
    pub fn may_be_of(&self, team: &Name) -> bool {
        self.team.is_empty() || self.team == *team
    }

    /// Returns a bound of the size of the stored form in bytes.
    pub fn size_bound(&self) -> usize {
        let of_task = |it: &TaskRecord| {
            let worker = it.on.as_ref().map_or(0, |on| on.0.len() + WORKER_BYTES);
            TASK_BYTES + worker + it.checkpoint.len()
        };
        self.tasks.iter().map(of_task).sum::<usize>() + RECORD_BYTES
    }
}

/// Bounds of what a record, a task in it and a worker, without its id, take in the stored form.
const RECORD_BYTES: usize = 128;
const TASK_BYTES: usize = 90;
const WORKER_BYTES: usize = 30;

impl TaskRecord {
    /// Returns the id of this task of `job`.
    pub fn id(&self, job: &Name) -> TaskId {
        TaskId { job: job.clone(), occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// The stored form of a [`JobRecord`], kept compact: a record is rewritten with every change of the job, so records make
/// up most of the data sent to the store.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct Packed {
    #[serde(rename = "s")]
    stage: Stage,
    /// Id and `born` of each worker; `tasks` refers to them by index.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    workers: Vec<(Name, u64)>,
    /// Ranges of done tasks: occurrence, step, first index, number of tasks.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u16, u32, u32)>,
    /// Other tasks: occurrence, step, index, run, failures, index into `workers` or [`NO_WORKER`].
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<(u32, u16, u32, u32, u32, i32)>,
    /// Runs that may go on although their tasks are done: occurrence, step, index, run, index into `workers`. These
    /// tasks are in `done` as well.
    #[serde(rename = "x", skip_serializing_if = "Vec::is_empty")]
    superseded: Vec<(u32, u16, u32, u32, u32)>,
    /// Checkpoints: index into `tasks`, checkpoint.
    #[serde(rename = "p", skip_serializing_if = "Vec::is_empty")]
    checkpoint: Vec<(u32, Name)>,
    #[serde(rename = "o", skip_serializing_if = "is_zero")]
    ended_ms: u64,
    #[serde(rename = "k", skip_serializing_if = "Name::is_empty")]
    team: Name,
}

/// Marks a task in [`Packed::tasks`] that no worker runs.
const NO_WORKER: i32 = -1;

impl From<JobRecord> for Packed {
    fn from(it: JobRecord) -> Packed {
        let JobRecord { stage, ended_ms, team, .. } = it;
        let mut packed = Packed { stage, ended_ms, team, ..Packed::default() };
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
        if let Some(on) = &task.on {
            let worker = self.worker_index(on) as u32;
            self.superseded.push((task.occurrence, task.step, task.index, task.run, worker));
        }
        match self.done.last_mut() {
            Some((occurrence, step, first, count))
                if (*occurrence, *step, *first + *count)
                    == (task.occurrence, task.step, task.index) =>
            {
                *count += 1;
            }
            _ => self.done.push((task.occurrence, task.step, task.index, 1)),
        }
    }

    fn push(&mut self, task: TaskRecord) {
        let worker = task.on.map_or(NO_WORKER, |on| self.worker_index(&on) as i32);
        if !task.checkpoint.is_empty() {
            self.checkpoint.push((self.tasks.len() as u32, task.checkpoint));
        }
        let TaskRecord { occurrence, step, index, run, failures, .. } = task;
        self.tasks.push((occurrence, step, index, run, failures, worker));
    }

    fn worker_index(&mut self, on: &(Name, u64)) -> usize {
        let known = self.workers.iter().position(|it| it == on);
        known.unwrap_or_else(|| {
            self.workers.push(on.clone());
            self.workers.len() - 1
        })
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
        for (occurrence, step, index, run, worker) in it.superseded {
            let place = (occurrence, step, index);
            let task = tasks.iter_mut().find(|it| (it.occurrence, it.step, it.index) == place);
            let Some(task) = task else { continue };
            task.run = run;
            task.on = it.workers.get(worker as usize).cloned();
        }
        let first = tasks.len();
        for (occurrence, step, index, run, failures, worker) in it.tasks {
            let on = usize::try_from(worker).ok().and_then(|at| it.workers.get(at).cloned());
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
        for (at, checkpoint) in it.checkpoint {
            if let Some(task) = tasks.get_mut(first + at as usize) {
                task.checkpoint = checkpoint;
            }
        }
        JobRecord { stage: it.stage, tasks, ended_ms: it.ended_ms, team: it.team, parts: 0 }
    }
}

fn is_zero(it: &u64) -> bool {
    *it == 0
}
