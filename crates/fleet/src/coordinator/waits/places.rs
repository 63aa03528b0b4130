//! Where the waiting tasks of steps could run, by what runs on the workers.

use fuchsiamill_model::{FastMap, Resources, units::Moment};

use super::super::{Coordinator, StepKey, Worker};
use crate::{Name, Step, TaskId, WorkerState};

/// The places for further tasks of a step on the workers of its pool, and what keeps tasks from them. A place counts for one
/// cause only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepPlaces {
    /// How many tasks the workers could hold beside what runs on them, whether they take tasks now or not. Workers that shut
    /// down do not count.
    pub all: u64,
    /// Those on workers that do not answer, have not answered this coordinator yet, or have left the worker list.
    pub silent: u64,
    /// Those on workers that are avoided, or list runs whose room is not known.
    pub avoided: u64,
    /// Those on workers whose host is about to leave the pool or to be maintained.
    pub reserved: u64,
    /// Those that are taken by starts which no worker has confirmed.
    pub unconfirmed: u64,
}

impl StepPlaces {
    /// Adds the places on a worker: `all`, of which it has room for `free` as far as is known.
    fn add(&mut self, worker: &Worker, all: u64, free: u64, now: Moment) {
        let is_silent = !worker.answered || worker.unlisted || worker.silent_since.is_some();
        let (cause, places) = match () {
            () if is_silent => (&mut self.silent, all),
            () if !worker.is_sound(now) => (&mut self.avoided, all),
            () if worker.reserved => (&mut self.reserved, all),
            () => (&mut self.unconfirmed, all.saturating_sub(free)),
        };
        *cause = cause.saturating_add(places);
        self.all = self.all.saturating_add(all);
    }
}

/// A step whose places are counted, and its position among the results.
struct Search<'a> {
    key: &'a StepKey,
    step: &'a Step,
    number: usize,
}

impl Search<'_> {
    /// Returns how many of its tasks fit in this room of a worker.
    fn places_on(&self, worker: &Worker, room: Resources) -> u64 {
        if !self.step.label.as_ref().is_none_or(|it| worker.has_label(it)) {
            return 0;
        }
        let places = room.times(self.step.room());
        match self.step.per_worker {
            Some(most) => {
                let siblings = worker.siblings_of(&self.key.task(0));
                places.min(most.saturating_sub(siblings).into())
            }
            None => places,
        }
    }
}

impl Coordinator {
    /// Returns the places for each of some steps; there are none for a step of an unknown job. Looks once at all runs on the
    /// workers of their pools, and for each step at each worker of its pool.
    pub fn places_for(&self, steps: &[&StepKey], now: Moment) -> Vec<StepPlaces> {
        let mut places = vec![StepPlaces::default(); steps.len()];
        let mut by_pool: FastMap<&Name, Vec<Search<'_>>> = FastMap::default();
        for (number, &key) in steps.iter().enumerate() {
            let Some(spec) = self.jobs.get(&key.job).map(|it| &it.spec) else { continue };
            let step = &spec.steps[key.step as usize];
            let search = Search { key, step, number };
            by_pool.entry(&spec.route.pool).or_default().push(search);
        }
        for worker in self.workers.values().filter(|it| it.seen.state == WorkerState::Ready) {
            let Some(searches) = by_pool.get(&worker.seen.pool) else { continue };
            let confirmed = worker.room_after(|it| !self.may_have_run(it));
            for it in searches {
                let all = it.places_on(worker, confirmed);
                let free = it.places_on(worker, worker.free());
                places[it.number].add(worker, all, free, now);
            }
        }
        places
    }

    fn may_have_run(&self, id: &TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|it| it.task(id));
        task.and_then(|it| it.live()).is_some_and(|it| it.may_have_run())
    }
}
