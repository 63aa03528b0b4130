//! The stored progress of a job, from which another coordinator can go on after a takeover.

use serde::{Deserialize, Serialize};

use crate::{JobSpec, Name, RECORD_TASKS, TaskId};

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
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct JobRecord {
    /// The state of the job.
    pub stage: Stage,
    /// Tasks that are done and have no run.
    pub done: Vec<DoneRange>,
    /// Progress of the other tasks that have started at least once.
    pub tasks: Vec<TaskRecord>,
    /// Time at which the job reached its final stage, on the store's clock; 0 if it was not noted.
    pub ended_ms: u64,
    /// The team of the job, in its first row; empty if it was not noted.
    pub team: Name,
    /// The number of rows that were read, counted with missing ones up to the last; 0 in a record that was not read.
    pub parts: u32,
}

/// Consecutive tasks of a step that are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoneRange {
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Index of the first task within its step.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
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
        let mut ordered: Vec<&(u32, JobRecord)> = rows.iter().collect();
        ordered.sort_unstable_by_key(|it| it.0);
        let is_stored = |part| ordered.binary_search_by_key(&part, |it| it.0).is_ok();
        for (part, record) in &ordered {
            let is_own = |own: u32| own == *part || !is_stored(own);
            let part_of = |it: &&TaskRecord| spec.record_part((it.occurrence, it.step, it.index));
            merged.tasks.extend(record.tasks.iter().filter(|it| is_own(part_of(it))).cloned());
            for (own, range) in record.done.iter().flat_map(|it| it.by_part(spec)) {
                if is_own(own) {
                    merged.push_done(range);
                }
            }
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
        let tasks = self.tasks.iter().map(of_task).sum::<usize>();
        tasks + self.done.len() * RANGE_BYTES + RECORD_BYTES
    }

    /// Returns whether it has no task that has started.
    pub fn has_no_tasks(&self) -> bool {
        self.done.is_empty() && self.tasks.is_empty()
    }

    /// Returns one entry for each task that has started, those of done ranges too, by position.
    pub fn all_tasks(&self) -> Vec<TaskRecord> {
        let done = self.done.iter().flat_map(|it| {
            let range = it.first..it.first.saturating_add(it.count);
            range.map(|index| TaskRecord {
                occurrence: it.occurrence,
                step: it.step,
                index,
                run: 1,
                done: true,
                ..TaskRecord::default()
            })
        });
        let mut tasks: Vec<TaskRecord> = done.chain(self.tasks.iter().cloned()).collect();
        tasks.sort_by_key(|it| (it.occurrence, it.step, it.index));
        tasks
    }

    /// Adds done tasks, to the last range if they follow it.
    pub(crate) fn push_done(&mut self, it: DoneRange) {
        match self.done.last_mut() {
            Some(last)
                if (last.occurrence, last.step, last.first.checked_add(last.count))
                    == (it.occurrence, it.step, Some(it.first)) =>
            {
                last.count = last.count.saturating_add(it.count);
            }
            _ => self.done.push(it),
        }
    }
}

/// Records are equal if they tell the same of each task, as a range or one by one.
impl PartialEq for JobRecord {
    fn eq(&self, other: &Self) -> bool {
        (self.stage, self.ended_ms, &self.team, self.parts)
            == (other.stage, other.ended_ms, &other.team, other.parts)
            && self.all_tasks() == other.all_tasks()
    }
}

impl DoneRange {
    /// Returns the range in pieces by the row in which each is stored.
    fn by_part(self, spec: &JobSpec) -> impl Iterator<Item = (u32, DoneRange)> {
        let count = spec.steps.get(usize::from(self.step)).map_or(0, |it| it.count);
        let end = self.first.saturating_add(self.count).min(count);
        let mut first = self.first;
        std::iter::from_fn(move || {
            let count = end.checked_sub(first).filter(|it| *it > 0)?;
            let position = spec.record_position((self.occurrence, self.step, first));
            let count = u64::from(count).min(RECORD_TASKS - position % RECORD_TASKS) as u32;
            let piece = DoneRange { first, count, ..self };
            first += count;
            Some((spec.record_part((self.occurrence, self.step, piece.first)), piece))
        })
    }

    /// Takes a task out of the ranges; returns whether it was in one.
    fn take(ranges: &mut Vec<DoneRange>, (occurrence, step, index): (u32, u16, u32)) -> bool {
        let has = |it: &DoneRange| {
            (it.occurrence, it.step) == (occurrence, step)
                && index >= it.first
                && index - it.first < it.count
        };
        let Some(at) = ranges.iter().position(has) else { return false };
        let before = ranges[at];
        let after = before.count - (index - before.first) - 1;
        ranges[at].count = index - before.first;
        if after > 0 {
            ranges.push(DoneRange { first: index + 1, count: after, ..before });
        }
        true
    }
}

/// Bounds of what a record, a task in it, a range of done tasks and a worker, without its id, take in the stored form.
const RECORD_BYTES: usize = 128;
const TASK_BYTES: usize = 90;
const RANGE_BYTES: usize = 48;
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
        let done = it.done.iter().map(|it| (it.occurrence, it.step, it.first, it.count)).collect();
        let mut packed = Packed { stage, ended_ms, team, done, ..Packed::default() };
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
        let range = |(occurrence, step, first, count)| DoneRange { occurrence, step, first, count };
        let mut done: Vec<DoneRange> = it.done.into_iter().map(range).collect();
        let mut tasks = Vec::new();
        for (occurrence, step, index, run, worker) in it.superseded {
            if DoneRange::take(&mut done, (occurrence, step, index)) {
                let on = it.workers.get(worker as usize).cloned();
                let base = TaskRecord { occurrence, step, index, ..TaskRecord::default() };
                tasks.push(TaskRecord { run, done: true, on, ..base });
            }
        }
        done.retain(|it| it.count > 0);
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
        let Packed { stage, ended_ms, team, .. } = it;
        JobRecord { stage, done, tasks, ended_ms, team, parts: 0 }
    }
}

fn is_zero(it: &u64) -> bool {
    *it == 0
}
