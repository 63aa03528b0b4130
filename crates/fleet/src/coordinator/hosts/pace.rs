//! How many hosts with long-running tasks are drained at a time.
//!
//! A step may miss only some of its tasks at a time, so that hosts beyond that are not emptied any sooner for being drained. They would
//! only be missing from their pool, up to the whole of it.

use fuchsiamill_model::FastMap;

use crate::{
    Name, TaskId,
    coordinator::{Coordinator, StepKey},
};

/// Hosts are drained ahead, for this many times the tasks that a step may miss, so that their short tasks end meanwhile.
const DRAINED_AHEAD: u32 = 2;

/// The tasks of each step that are on drained hosts.
pub(super) type DrainedTasks = FastMap<StepKey, u32>;

impl Coordinator {
    /// Returns whether a host may be drained beside those whose long-running tasks are counted in `drained`, and counts its own. The
    /// first host with tasks of a step always may.
    pub(super) fn may_drain(&self, host: &Name, drained: &mut DrainedTasks) -> bool {
        let Some(worker) = self.worker_on(host).filter(|it| it.has_long_running()) else {
            return true;
        };
        let mut own = DrainedTasks::default();
        for task in worker.live.keys().filter(|it| self.is_lasting(it)) {
            *own.entry(StepKey::from(task)).or_insert(0) += 1;
        }
        let may_drain = own.iter().all(|(step, count)| {
            let before = drained.get(step).copied().unwrap_or(0);
            let away = self.waiting_tasks(step);
            before == 0 || before + away + count <= DRAINED_AHEAD * self.max_unavailable(step)
        });
        if may_drain {
            own.into_iter().for_each(|(step, count)| *drained.entry(step).or_insert(0) += count);
        }
        may_drain
    }

    fn is_lasting(&self, task: &TaskId) -> bool {
        self.step_of(task).is_some_and(|it| it.long_running)
    }

    fn waiting_tasks(&self, step: &StepKey) -> u32 {
        let job = self.jobs.get(&step.job);
        let run = job.and_then(|it| it.occurrences.get(step.occurrence as usize));
        run.map_or(0, |it| it.steps[step.step as usize].waiting)
    }

    fn max_unavailable(&self, step: &StepKey) -> u32 {
        let job = self.jobs.get(&step.job);
        job.and_then(|it| it.spec.steps[step.step as usize].max_unavailable).unwrap_or(1)
    }
}
