//! A job in the coordinator's memory.

use std::sync::Arc;

use fuchsiamill_model::units::{Millisecond, Moment, WallTime};

use super::{LiveRun, Tasks, Tier, Wait, WaitReason, gang::GangCheckpoints, health::RunningMean};
use crate::{JobSpec, Name, Stage, TaskId};

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
    /// Occurrences that were opened, by number.
    pub occurrences: Vec<Occurrence>,
    /// The number of occurrences that are done and have no runs.
    pub closed: u32,
    /// The number of the first occurrence that is not closed.
    pub first_open: usize,
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
    /// The steps, in the order of the specification; none once all are done and have no runs.
    pub steps: Vec<StepRun>,
}

/// The tasks of one step in one occurrence.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// The tasks, by index.
    pub tasks: Tasks,
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

/// The most steps of open occurrences of one job, unless a single occurrence has more. Each takes some 200 bytes before one of
/// its tasks has run; the occurrences that are due beyond them are opened as earlier ones are done.
const MAX_OPEN_STEPS: usize = 1_024;

impl Occurrence {
    fn is_closed(&self) -> bool {
        self.steps.is_empty()
    }
}

impl StepRun {
    fn new(count: u32) -> Self {
        Self {
            tasks: Tasks::new(count),
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
        self.done == self.tasks.count()
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
            closed: 0,
            first_open: 0,
            live: 0,
            waiting: 0,
            has_begun: false,
            parts: 1,
            dirty_parts: 0,
        }
    }

    /// Opens the occurrences that are due, as long as the open ones have no more than [`MAX_OPEN_STEPS`] steps together.
    pub fn open_due(&mut self, wall: WallTime) {
        let due = match self.spec.schedule {
            None => 1,
            Some(it) if wall < it.first => 0,
            Some(it) => {
                let passed = (wall.0 - it.first.0) / it.interval_ms.max(1) + 1;
                passed.min(it.times.into()) as usize
            }
        };
        let most = (MAX_OPEN_STEPS / self.spec.steps.len().max(1)).max(1);
        while self.occurrences.len() < due && self.open_count() < most {
            self.open_next();
        }
    }

    fn open_count(&self) -> usize {
        self.occurrences.len() - self.closed as usize
    }

    /// Returns the occurrences that may have work left, with their numbers.
    pub fn open_occurrences(&self) -> impl Iterator<Item = (usize, &Occurrence)> {
        let opened = self.occurrences.iter().enumerate().skip(self.first_open);
        opened.filter(|it| !it.1.is_closed())
    }

    /// Releases what is kept of a step, and of its occurrence, if they are done and have no runs.
    pub(super) fn close_done(&mut self, occurrence: usize, step: usize) {
        let run = &mut self.occurrences[occurrence];
        let step = &mut run.steps[step];
        if !step.is_done() || step.tasks.live() > 0 {
            return;
        }
        step.tasks.close();
        if run.steps.iter().all(|it| it.tasks.is_over()) {
            run.steps = Vec::new();
            self.closed += 1;
            let later = self.occurrences[self.first_open..].iter();
            self.first_open += later.take_while(|it| it.is_closed()).count();
        }
    }

    /// Returns about how many bytes the job's state takes besides its specification.
    pub fn state_bytes(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|it| &it.steps);
        let tasks: usize = steps.map(|it| size_of::<StepRun>() + it.tasks.heap_bytes()).sum();
        size_of::<Self>() + self.occurrences.capacity() * size_of::<Occurrence>() + tasks
    }

    pub(super) fn open_next(&mut self) {
        let steps = self.spec.steps.iter().map(|it| StepRun::new(it.count)).collect();
        self.waiting += self.spec.steps.iter().map(|it| it.count).sum::<u32>();
        self.occurrences.push(Occurrence { steps });
    }

    /// Returns whether all occurrences were opened and are done.
    pub fn is_done(&self) -> bool {
        let expected = self.spec.schedule.map_or(1, |it| it.times as usize);
        self.occurrences.len() == expected
            && self.open_occurrences().all(|it| it.1.steps.iter().all(StepRun::is_done))
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
        for (k, run) in self.open_occurrences() {
            for (s, step) in run.steps.iter().enumerate() {
                if step.waiting > 0 && self.is_open(k, s) {
                    open.push((k, s));
                }
            }
        }
        open
    }

    /// Returns one step of one occurrence, which must exist and not be closed.
    pub fn step_mut(&mut self, occurrence: usize, step: usize) -> &mut StepRun {
        &mut self.occurrences[occurrence].steps[step]
    }

    /// Returns a task, or `None` if the job has no such task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let run = self.occurrences.get(id.occurrence as usize)?;
        match run.steps.get(id.step as usize) {
            Some(step) => step.tasks.get(id.index),
            None if run.is_closed() => self.closed_task(id),
            None => None,
        }
    }

    fn closed_task(&self, id: &TaskId) -> Option<&Task> {
        let step = self.spec.steps.get(id.step as usize)?;
        (id.index < step.count).then(Task::done)
    }

    /// Returns a task for changes other than of its state, or `None` if the job has no such task or it is done.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let run = self.occurrences.get_mut(id.occurrence as usize)?;
        run.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index)
    }

    /// Changes a task's state and updates the counts of its step and of the job. Returns the former state.
    pub fn set_state(&mut self, id: &TaskId, state: TaskState) -> Option<TaskState> {
        let step = self.occurrences.get_mut(id.occurrence as usize)?;
        let step = step.steps.get_mut(id.step as usize)?;
        let is_superseded = step.tasks.get(id.index)?.is_superseded;
        let is_done = state == TaskState::Done;
        match &state {
            TaskState::Waiting => {
                step.waiting += 1;
                self.waiting += 1;
            }
            TaskState::Done if is_superseded => {}
            TaskState::Done => step.done += 1,
            TaskState::Live(_) => self.live += 1,
        }
        let former = step.tasks.set_state(id.index, state)?;
        match &former {
            TaskState::Waiting => {
                step.waiting -= 1;
                self.waiting -= 1;
            }
            TaskState::Done => step.done -= 1,
            TaskState::Live(_) => self.live -= 1,
        }
        if is_done {
            self.close_done(id.occurrence as usize, id.step as usize);
        }
        Some(former)
    }

    /// Counts a task as done although a run of it that is no longer needed may still be live.
    pub fn supersede(&mut self, id: &TaskId) {
        let step = self.step_mut(id.occurrence as usize, id.step as usize);
        if let Some(task) = step.tasks.get_mut(id.index) {
            task.is_superseded = true;
            step.done += 1;
        }
    }

    /// Returns the tasks that may be on a worker, each with its run.
    pub fn live_tasks(&self) -> Vec<(TaskId, LiveRun)> {
        let mut live = Vec::new();
        for (k, run) in self.open_occurrences() {
            for (s, step) in run.steps.iter().enumerate().filter(|it| it.1.tasks.live() > 0) {
                let begin = live.len();
                for (index, task) in step.tasks.known() {
                    let Some(it) = task.live() else { continue };
                    let (occurrence, step) = (k as u32, s as u16);
                    live.push((
                        TaskId { job: self.id.clone(), occurrence, step, index },
                        it.clone(),
                    ));
                }
                live[begin..].sort_unstable_by_key(|it| it.0.index);
            }
        }
        live
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
}

/// Returns the time within which a job should be completed, counted from its acceptance; `critical_path` is how long
/// its longest chain of steps takes.
pub fn objective_ms(spec: &JobSpec, critical_path: Millisecond) -> Millisecond {
    ((critical_path as f64 * spec.route.stretch.max(1.0)) as Millisecond)
        .saturating_add(spec.route.objective_ms)
}
