//! The checkpoint from which the members of a gang start.

use super::{Coordinator, job::StepRun};
use crate::{Name, RunInfo, TaskId};

/// The most checkpoints of one run that are told apart.
const MAX_SEEN: usize = 16;

/// The checkpoints that the members of a gang have reported. Each is valid for all members; their order is known only from
/// when each was first seen.
#[derive(Clone, Debug, Default)]
pub struct GangCheckpoints {
    /// The run that saved them.
    run: u32,
    /// The checkpoints of that run, in the order in which they were first seen.
    seen: Vec<Name>,
}

impl GangCheckpoints {
    fn note(&mut self, run: u32, checkpoint: &Name) {
        if run > self.run {
            *self = Self { run, seen: Vec::new() };
        }
        if run < self.run || self.seen.contains(checkpoint) {
            return;
        }
        if self.seen.len() == MAX_SEEN {
            self.seen.remove(0);
        }
        self.seen.push(checkpoint.clone());
    }
}

impl StepRun {
    /// Returns the newest checkpoint of a gang; after a takeover, which has no order of them, that of any member.
    fn gang_checkpoint(&self) -> Name {
        let newest = self.gang_checkpoints.seen.last();
        let saved = || self.tasks.known().filter(|it| !it.1.checkpoint.is_empty());
        let stored = || saved().min_by_key(|it| it.0).map(|it| &it.1.checkpoint);
        newest.or_else(stored).cloned().unwrap_or_default()
    }
}

impl Coordinator {
    /// Notes the checkpoint that a worker reports of a run.
    pub(super) fn note_checkpoint(&mut self, seen: &RunInfo) {
        self.note_saved(&seen.task, seen.run, &seen.checkpoint);
    }

    /// Notes a checkpoint that a run of a task has saved.
    pub(super) fn note_saved(&mut self, id: &TaskId, run: u32, checkpoint: &Name) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let is_gang = job.spec.steps.get(id.step as usize).is_some_and(|it| it.gang);
        let Some(task) = job.task_mut(id) else { return };
        task.checkpoint = checkpoint.clone();
        if is_gang {
            let step = job.step_mut(id.occurrence as usize, id.step as usize);
            step.gang_checkpoints.note(run, checkpoint);
        }
    }

    /// Gives all members of a gang the same checkpoint: a gang works only if its members start from the same one.
    pub(super) fn align_gang(&mut self, job: &Name, occurrence: usize, step: usize) {
        let Some(job) = self.jobs.get_mut(job) else { return };
        let step = job.step_mut(occurrence, step);
        let checkpoint = step.gang_checkpoint();
        step.tasks.set_checkpoints(&checkpoint);
    }
}
