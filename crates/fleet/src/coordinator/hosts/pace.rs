//! How many hosts with long-running tasks are drained at a time.
//!
//! A step may miss only some of its tasks at a time, so that hosts beyond that are not emptied any sooner for being drained. They would
//! only be missing from their pool, up to the whole of it.

use fuchsiamill_model::FastMap;

use crate::{
    Name,
    coordinator::{Coordinator, StepKey},
};

/// Hosts are drained ahead, for this many times the tasks that a step may miss, so that their short tasks end meanwhile.
const DRAINED_AHEAD: u32 = 2;

/// The tasks of each step that are on drained hosts.
#[derive(Default)]
pub(super) struct DrainedTasks {
    of_all_waves: FastMap<StepKey, u32>,
    /// Those on hosts of each wave, by its number.
    of_wave: FastMap<(u64, StepKey), u32>,
}

impl Coordinator {
    /// Returns whether a wave may drain a host beside those whose long-running tasks are counted. The first host of each wave
    /// with tasks of a step always may, so that no wave waits for the hosts of another.
    pub(super) fn may_drain(&self, host: &Name, wave: u64, drained: &DrainedTasks) -> bool {
        self.lasting_on(host).iter().all(|(step, count)| {
            let is_first = !drained.of_wave.contains_key(&(wave, step.clone()));
            let before = drained.of_all_waves.get(step).copied().unwrap_or(0);
            let away = self.waiting_tasks(step);
            is_first || before + away + count <= DRAINED_AHEAD * self.max_unavailable(step)
        })
    }

    /// Counts the tasks on a host that is drained.
    pub(super) fn count_drained(&self, host: &Name, wave: u64, drained: &mut DrainedTasks) {
        for (step, count) in self.lasting_on(host) {
            *drained.of_wave.entry((wave, step.clone())).or_insert(0) += count;
            *drained.of_all_waves.entry(step).or_insert(0) += count;
        }
    }

    /// Returns how many long-running tasks of each step are on a host.
    fn lasting_on(&self, host: &Name) -> FastMap<StepKey, u32> {
        let mut on: FastMap<StepKey, u32> = FastMap::default();
        let worker = self.worker_on(host).filter(|it| it.has_long_running());
        let tasks = worker.into_iter().flat_map(|it| it.live.keys());
        for task in tasks.filter(|it| self.step_of(it).is_some_and(|step| step.long_running)) {
            *on.entry(StepKey::from(task)).or_insert(0) += 1;
        }
        on
    }

    fn waiting_tasks(&self, step: &StepKey) -> u32 {
        let job = self.jobs.get(&step.job);
        let run = job.and_then(|it| it.occurrences.get(step.occurrence as usize));
        run.and_then(|it| it.steps.get(step.step as usize)).map_or(0, |it| it.waiting)
    }

    fn max_unavailable(&self, step: &StepKey) -> u32 {
        let job = self.jobs.get(&step.job);
        job.and_then(|it| it.spec.steps[step.step as usize].max_unavailable).unwrap_or(1)
    }
}
