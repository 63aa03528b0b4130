//! A job in the coordinator's memory.

use std::sync::Arc;

use fuchsiamill_model::units::{Millisecond, Moment, WallTime};

use super::{
    LiveRun, Phase, Tier, Wait, WaitReason, gang::GangCheckpoints, health::RunningMean, live::Speed,
};
use crate::{JobRecord, JobSpec, Name, RECORD_TASKS, Stage, TaskId, TaskRecord};

/// A job that has not ended, or whose last runs are being stopped.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the job.
    pub id: Name,
    /// The specification as submitted.
    pub spec: Arc<JobSpec>,
    /// The stage that the job has reached.
    pub stage: Stage,
    /// When the job was accepted.
    pub accepted: Moment,
    /// Whether its team had exceeded its weight when the job arrived.
    pub excess: bool,
    /// Its tier in the last placement that looked at it.
    pub tier: Tier,
    /// Occurrences that are due, by number.
    pub occurrences: Vec<Occurrence>,
    /// The number of tasks that may be on a worker.
    pub live: u32,
    /// The number of tasks that wait for a worker, including those whose step may not run yet.
    pub waiting: u32,
    /// Whether a worker is known to have started one of its tasks.
    pub has_begun: bool,
    /// The number of rows that its progress takes in the store.
    pub parts: u32,
    /// How many of them wait to be stored.
    pub dirty_parts: u32,
}

/// One pass through a job's steps.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// The steps, in the order of the specification.
    pub steps: Vec<StepRun>,
}

/// The tasks of one step in one occurrence.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that wait for a worker.
    pub waiting: u32,
    /// How long its done tasks ran, in milliseconds.
    pub durations: RunningMean,
    /// The checkpoints that its tasks have saved, if they form a gang.
    pub gang_checkpoints: GangCheckpoints,
    /// Since when its tasks have waited for room near their data although there is room elsewhere.
    pub near_wait_since: Option<Moment>,
    /// Why some of its tasks were not placed; `None` if all were, or it was not considered yet.
    pub wait: Option<Wait>,
}

/// A task and what is known of its runs.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether the task waits, may be on a worker, or is done.
    pub state: TaskState,
    /// The number of its last run; 0 before the first.
    pub run: u32,
    /// How often the task has failed.
    pub failures: u32,
    /// How often a run of the task was stopped because it stalled.
    pub stalls: u32,
    /// The checkpoint that was saved last; empty if there is none.
    pub checkpoint: Name,
    /// When its last run ended; `None` if none has under this coordinator.
    pub last_run_end: Option<Moment>,
    /// Whether an earlier run turned out to have done the work; the current run is then stopped.
    pub is_superseded: bool,
}

/// The state of a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum TaskState {
    /// The task waits for earlier steps or for room.
    #[default]
    Waiting,
    /// The task may be on a worker.
    Live(LiveRun),
    /// The task is done.
    Done,
}

impl Task {
    /// Returns the run that may be on a worker, if there is one.
    pub fn live(&self) -> Option<&LiveRun> {
        match &self.state {
            TaskState::Live(it) => Some(it),
            _ => None,
        }
    }
}

impl StepRun {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            done: 0,
            waiting: count,
            durations: RunningMean::default(),
            gang_checkpoints: GangCheckpoints::default(),
            near_wait_since: None,
            wait: None,
        }
    }

    /// Notes why it waits after a placement, or that nothing of it waits.
    pub(super) fn note_wait(&mut self, reason: Option<WaitReason>, has_placed: bool, now: Moment) {
        self.wait = reason.map(|reason| Wait::after(self.wait, reason, has_placed, now));
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

impl Job {
    /// Creates a job that was just accepted, or that an earlier coordinator left.
    pub fn new(id: Name, spec: Arc<JobSpec>, now: Moment, wall: WallTime) -> Self {
        let age = wall.0.saturating_sub(spec.accepted.0);
        let tier = if spec.is_standing() { Tier::Standing } else { Tier::InTime };
        Self {
            id,
            spec,
            stage: Stage::Queued,
            accepted: now - age,
            excess: false,
            tier,
            occurrences: Vec::new(),
            live: 0,
            waiting: 0,
            has_begun: false,
            parts: 1,
            dirty_parts: 0,
        }
    }

    /// Opens the occurrences that are due.
    pub fn open_due(&mut self, wall: WallTime) {
        let due = match self.spec.schedule {
            None => 1,
            Some(it) if wall < it.first => 0,
            Some(it) => {
                let passed = (wall.0 - it.first.0) / it.interval_ms.max(1) + 1;
                passed.min(it.times.into()) as usize
            }
        };
        while self.occurrences.len() < due {
            self.open_next();
        }
    }

    fn open_next(&mut self) {
        let steps = self.spec.steps.iter().map(|it| StepRun::new(it.count)).collect();
        self.waiting += self.spec.steps.iter().map(|it| it.count).sum::<u32>();
        self.occurrences.push(Occurrence { steps });
    }

    /// Returns whether all occurrences were opened and are done.
    pub fn is_done(&self) -> bool {
        let expected = self.spec.schedule.map_or(1, |it| it.times as usize);
        self.occurrences.len() == expected
            && self.occurrences.iter().all(|it| it.steps.iter().all(StepRun::is_done))
    }

    /// Returns whether the tasks of a step may run: all steps that it depends on are done.
    pub fn is_open(&self, occurrence: usize, step: usize) -> bool {
        let run = &self.occurrences[occurrence];
        self.spec.steps[step].after.iter().all(|it| run.steps[*it as usize].is_done())
    }

    /// Returns whether a task waits, including tasks whose step may not run yet.
    pub fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Returns the occurrence and step numbers of the steps that may run and have waiting tasks.
    pub fn open_steps(&self) -> Vec<(usize, usize)> {
        let mut open = Vec::new();
        for (k, run) in self.occurrences.iter().enumerate() {
            for (s, step) in run.steps.iter().enumerate() {
                if step.waiting > 0 && self.is_open(k, s) {
                    open.push((k, s));
                }
            }
        }
        open
    }

    /// Returns one step of one occurrence, which must exist.
    pub fn step_mut(&mut self, occurrence: usize, step: usize) -> &mut StepRun {
        &mut self.occurrences[occurrence].steps[step]
    }

    /// Returns a task, or `None` if the job has no such task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let run = self.occurrences.get(id.occurrence as usize)?;
        run.steps.get(id.step as usize)?.tasks.get(id.index as usize)
    }

    /// Returns a task for changes, or `None` if the job has no such task.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let run = self.occurrences.get_mut(id.occurrence as usize)?;
        run.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
    }

    /// Changes a task's state and updates the counts of its step and of the job. Returns the former state.
    pub fn set_state(&mut self, id: &TaskId, state: TaskState) -> Option<TaskState> {
        let step = self.occurrences.get_mut(id.occurrence as usize)?;
        let step = step.steps.get_mut(id.step as usize)?;
        let task = step.tasks.get_mut(id.index as usize)?;
        match &task.state {
            TaskState::Waiting => {
                step.waiting -= 1;
                self.waiting -= 1;
            }
            TaskState::Done => step.done -= 1,
            TaskState::Live(_) => self.live -= 1,
        }
        match &state {
            TaskState::Waiting => {
                step.waiting += 1;
                self.waiting += 1;
            }
            TaskState::Done if task.is_superseded => {}
            TaskState::Done => step.done += 1,
            TaskState::Live(_) => self.live += 1,
        }
        Some(std::mem::replace(&mut task.state, state))
    }

    /// Counts a task as done although a run of it that is no longer needed may still be live.
    pub fn supersede(&mut self, id: &TaskId) {
        let step = self.step_mut(id.occurrence as usize, id.step as usize);
        step.done += 1;
        step.tasks[id.index as usize].is_superseded = true;
    }

    /// Returns the tasks that may be on a worker, each with its run.
    pub fn live_tasks(&self) -> Vec<(TaskId, LiveRun)> {
        let mut live = Vec::new();
        self.each_task(|id, task| {
            if let Some(it) = task.live() {
                live.push((id, it.clone()));
            }
        });
        live
    }

    fn each_task(&self, mut f: impl FnMut(TaskId, &Task)) {
        for (k, run) in self.occurrences.iter().enumerate() {
            for (s, step) in run.steps.iter().enumerate() {
                for (i, task) in step.tasks.iter().enumerate() {
                    let id = TaskId {
                        job: self.id.clone(),
                        occurrence: k as u32,
                        step: s as u16,
                        index: i as u32,
                    };
                    f(id, task);
                }
            }
        }
    }

    /// Visits the tasks whose progress is in one row.
    fn each_task_of(&self, part: u32, mut f: impl FnMut(TaskId, &Task)) {
        let count = self.spec.task_count();
        let first = u64::from(part) * RECORD_TASKS;
        let rows = first..first + RECORD_TASKS;
        for k in first.checked_div(count).unwrap_or(0)..self.occurrences.len() as u64 {
            let mut begin = k * count;
            for (s, step) in self.occurrences[k as usize].steps.iter().enumerate() {
                let end = begin + step.tasks.len() as u64;
                for position in begin.max(rows.start)..end.min(rows.end) {
                    let index = (position - begin) as u32;
                    let id = TaskId {
                        job: self.id.clone(),
                        occurrence: k as u32,
                        step: s as u16,
                        index,
                    };
                    f(id, &step.tasks[index as usize]);
                }
                begin = end;
            }
            if begin >= rows.end {
                return;
            }
        }
    }

    /// Returns all tasks of the step that a task belongs to.
    pub fn members_of(&self, id: &TaskId) -> Vec<TaskId> {
        let count = self.spec.steps.get(id.step as usize).map_or(0, |it| it.count);
        (0..count).map(|index| TaskId { index, ..id.clone() }).collect()
    }

    /// Returns the row in which a task's progress is stored.
    pub fn part_of(&self, id: &TaskId) -> u32 {
        self.spec.record_part((id.occurrence, id.step, id.index))
    }

    /// Returns one row of the job's record as it is stored.
    pub fn record(&self, part: u32) -> JobRecord {
        let team = if part == 0 { self.spec.team.clone() } else { Name::default() };
        let mut record = JobRecord { stage: self.stage, team, ..JobRecord::default() };
        if self.stage.is_over() && self.live == 0 {
            return record;
        }
        self.each_task_of(part, |id, task| {
            if task.run == 0 {
                return;
            }
            let on = task.live().map(|it| (it.worker.clone(), it.born));
            record.tasks.push(TaskRecord {
                occurrence: id.occurrence,
                step: id.step,
                index: id.index,
                run: task.run,
                failures: task.failures,
                done: task.state == TaskState::Done || task.is_superseded,
                on,
                checkpoint: task.checkpoint.clone(),
            });
        });
        record
    }

    /// Restores what an earlier coordinator stored; returns the tasks that may be on a worker.
    pub fn restore(&mut self, record: &JobRecord, now: Moment) -> Vec<(TaskId, LiveRun)> {
        self.stage = record.stage;
        self.parts = record.parts.max(1);
        self.has_begun = record.tasks.iter().any(|it| it.done || it.failures > 0);
        let mut live = Vec::new();
        for it in &record.tasks {
            let expected = self.spec.schedule.map_or(1, |it| it.times);
            while self.occurrences.len() <= it.occurrence as usize && it.occurrence < expected {
                self.open_next();
            }
            let id = it.id(&self.id);
            let Some(task) = self.task_mut(&id) else { continue };
            task.run = it.run;
            task.failures = it.failures;
            task.checkpoint = it.checkpoint.clone();
            if let Some((worker, born)) = &it.on {
                let run = LiveRun {
                    worker: worker.clone(),
                    born: *born,
                    phase: Phase::Inherited,
                    since: now,
                    last_seen_working: None,
                    progress: None,
                    speed: Speed::Unknown,
                    stop_ordered: None,
                    checkpoint: it.checkpoint.clone(),
                    is_inherited: true,
                    is_listed: false,
                    lost_start: None,
                    began_cold: false,
                };
                self.set_state(&id, TaskState::Live(run.clone()));
                if it.done {
                    self.supersede(&id);
                }
                live.push((id, run));
            } else if it.done {
                self.set_state(&id, TaskState::Done);
            }
        }
        live
    }
}

/// Returns the time within which a job should be completed, counted from its acceptance; `critical_path` is how long
/// its longest chain of steps takes.
pub fn objective_ms(spec: &JobSpec, critical_path: Millisecond) -> Millisecond {
    ((critical_path as f64 * spec.route.stretch.max(1.0)) as Millisecond)
        .saturating_add(spec.route.objective_ms)
}
