//! The true state of a simulated worker.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Ending, Name, RunEnd, TaskId,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::Moment;

/// A simulated worker.
pub struct SimWorker {
    pub born: u64,
    pub is_up: bool,
    /// Whether its entry is in the list of workers.
    pub is_listed: bool,
    pub fence: u64,
    pub running: BTreeMap<TaskId, u32>,
    /// Time at which all runs on the worker end unless it is extended; it never decreases.
    pub deadline: Moment,
    pub highest_runs: BTreeMap<TaskId, u32>,
    pub ended: Vec<RunEnd>,
    pub last_end: u64,
}

impl SimWorker {
    pub fn new(born: u64) -> Self {
        Self {
            born,
            is_up: true,
            is_listed: false,
            fence: 0,
            running: BTreeMap::new(),
            deadline: Moment(0),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    pub fn end(&mut self, task: &TaskId, ending: Ending) {
        let Some(run) = self.running.remove(task) else { return };
        self.last_end += 1;
        let checkpoint = Name::default();
        self.ended.push(RunEnd {
            number: self.last_end,
            task: task.clone(),
            run,
            ending,
            checkpoint,
        });
    }

    /// Starts a run, unless a newer coordinator or a later run of the task came first, or the deadline has passed.
    pub fn start(
        &mut self,
        (task, run): (&TaskId, u32),
        fence: u64,
        deadline: Moment,
        now: Moment,
    ) -> StartReply {
        if self.fence > fence {
            return StartReply::Refused(Refusal::Fence);
        }
        self.fence = fence;
        if self.running.get(task) == Some(&run) {
            return StartReply::Running;
        }
        if self.highest_runs.get(task).is_some_and(|it| *it >= run) {
            // The deadline is extended nevertheless.
            self.deadline = self.deadline.max(deadline);
            return StartReply::Refused(Refusal::Old);
        }
        if now > deadline {
            return StartReply::Refused(Refusal::Late);
        }
        self.highest_runs.insert(task.clone(), run);
        self.running.insert(task.clone(), run);
        self.deadline = self.deadline.max(deadline);
        StartReply::Running
    }

    /// Stops a run and prevents it from starting later.
    pub fn stop(&mut self, task: &TaskId, run: u32, fence: u64) -> bool {
        self.fence = fence;
        let highest_runs = self.highest_runs.entry(task.clone()).or_insert(0);
        *highest_runs = (*highest_runs).max(run);
        if self.running.get(task).is_some_and(|it| *it <= run) {
            self.end(task, Ending::Stopped);
        }
        true
    }
}

/// Returns the name of the worker with this number.
pub fn worker_name(number: usize) -> Name {
    format!("w{number}").into()
}
