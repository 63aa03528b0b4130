//! A worker of the world as it really is.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Ending, Name, RunEnd, TaskId,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::Moment;

/// A worker as it really is.
pub struct Work {
    pub born: u64,
    pub is_up: bool,
    /// Whether its entry is in the list of workers.
    pub is_listed: bool,
    pub fence: u64,
    pub running: BTreeMap<TaskId, u32>,
    /// When all that runs here ends unless it is put off; it never goes back.
    pub deadline: Moment,
    pub highest: BTreeMap<TaskId, u32>,
    pub ended: Vec<RunEnd>,
    pub numbers: u64,
}

impl Work {
    pub fn born(born: u64) -> Self {
        Self {
            born,
            is_up: true,
            is_listed: false,
            fence: 0,
            running: BTreeMap::new(),
            deadline: Moment(0),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
        }
    }

    pub fn end(&mut self, task: &TaskId, ending: Ending) {
        let Some(run) = self.running.remove(task) else { return };
        self.numbers += 1;
        let checkpoint = Name::default();
        self.ended.push(RunEnd {
            number: self.numbers,
            task: task.clone(),
            run,
            ending,
            checkpoint,
        });
    }

    /// Starts a run, unless another coordinator or a later run came before it, or it comes too late.
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
        if self.highest.get(task).is_some_and(|it| *it >= run) {
            // The deadline is taken all the same.
            self.deadline = self.deadline.max(deadline);
            return StartReply::Refused(Refusal::Old);
        }
        if now > deadline {
            return StartReply::Refused(Refusal::Late);
        }
        self.highest.insert(task.clone(), run);
        self.running.insert(task.clone(), run);
        self.deadline = self.deadline.max(deadline);
        StartReply::Running
    }

    /// Stops a run, and keeps it from starting later.
    pub fn stop(&mut self, task: &TaskId, run: u32, fence: u64) -> bool {
        self.fence = fence;
        let highest = self.highest.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(run);
        if self.running.get(task).is_some_and(|it| *it <= run) {
            self.end(task, Ending::Stopped);
        }
        true
    }
}

/// The name of the worker with this number.
pub fn name_of(number: usize) -> Name {
    format!("w{number}").into()
}
