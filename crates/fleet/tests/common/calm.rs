//! What has to hold at any moment, and what once everything works again: see `world`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{Ending, Name, TaskId, coordinator::Phase};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::{work::name_of, worker, world::World};

/// Within this time of calm, with a look at each worker a second, a run that nobody needs is gone.
const NEEDLESS_MS: Millisecond = 2_000;

/// Within this time of calm no run is kept as one that has to end: a lease, a look and a stop.
const TO_END_MS: Millisecond = 8_000;

/// Rounds of calm, and how long one is.
const ROUNDS: usize = 600;
const ROUND_MS: Millisecond = 100;

/// Rounds between two looks at a worker.
const LOOK_ROUNDS: usize = 10;

/// The round after which tasks that last are cancelled.
const LASTING_ROUNDS: usize = 300;

/// Runs that should be gone, by what is wrong with them, and since when.
type Overdue = BTreeMap<(&'static str, Name, TaskId, u32), Moment>;

impl World {
    /// No task runs twice at a time, no worker is overfilled, and no team runs more than its limit.
    pub(super) fn check(&mut self) {
        let mut runs: BTreeMap<&TaskId, u32> = BTreeMap::new();
        for task in self.works.values().flat_map(|it| it.running.keys()) {
            *runs.entry(task).or_insert(0) += 1;
        }
        let twice = runs.iter().find(|it| *it.1 > 1).map(|it| (*it.0).clone());
        let used: u32 = runs.iter().map(|(task, count)| count * self.millicores(task)).sum();
        let limit = self.config.teams["north"].limit.millicores;
        let on = |id: &Name| -> u32 {
            self.works[id].running.keys().map(|it| self.millicores(it)).sum()
        };
        let overfilled = self.works.keys().find(|it| on(it) > worker(it).capacity.millicores);
        let overfilled = overfilled.map(|it| format!("{it} is overfilled: {}", on(it)));
        if let Some(task) = twice {
            self.fail(format!("{task:?} runs twice"));
        }
        if limit > 0 && used > limit {
            self.fail(format!("{used} of {limit} millicores run"));
        }
        if let Some(what) = overfilled {
            self.fail(what);
        }
    }

    fn millicores(&self, task: &TaskId) -> u32 {
        self.specs[&task.job].steps[task.step as usize].size.millicores
    }

    /// Whether the job of a task goes on.
    pub(super) fn is_open(&self, task: &TaskId) -> bool {
        self.coordinator.job(&task.job).is_some_and(|it| !it.stage.is_over())
    }

    /// Everything works again, for long enough.
    pub fn calm_down(&mut self) {
        self.is_calm = true;
        for number in 0..self.works.len() {
            if !self.works[&name_of(number)].is_up {
                self.crash(number, true);
            }
            // An entry that is read has tasks placed: only those that are missing come back.
            if !self.works[&name_of(number)].is_listed {
                self.list(number);
            }
        }
        self.hear();
        // What nobody repeats does not arrive any more.
        self.flights.retain(|it| !it.is_stop() || it.is_carried);
        let mut overdue = Overdue::new();
        for round in 0..ROUNDS {
            if round == LASTING_ROUNDS {
                self.cancel_lasting();
            }
            self.decide();
            self.store();
            while !self.flights.is_empty() {
                self.deliver(0, true);
            }
            while self.policy.has_questions() {
                self.advise(0, true);
            }
            if round % LOOK_ROUNDS == 0 {
                (0..self.works.len()).for_each(|it| self.look(it, true, true));
            }
            if round % 2 == 0 {
                (0..8).for_each(|it| self.finish(it, Ending::Done));
            }
            self.check_overdue(&mut overdue);
            self.pass(ROUND_MS);
        }
    }

    fn cancel_lasting(&mut self) {
        let lasting = self.specs.iter().filter(|it| it.1.steps.iter().any(|it| it.long_running));
        let lasting: Vec<Name> = lasting.map(|it| it.0.clone()).collect();
        lasting.into_iter().for_each(|it| {
            self.cancelled.entry(it).or_insert(false);
        });
        self.hear();
    }

    fn check_overdue(&mut self, overdue: &mut Overdue) {
        let mut found = Overdue::new();
        for (id, work) in &self.works {
            for (task, run) in work.running.iter().filter(|it| !self.is_needed(id, it.0, *it.1)) {
                found.insert(("is at work", id.clone(), task.clone(), *run), self.now);
            }
            for it in self.coordinator.runs_to_end_on(id, self.now) {
                found.insert(("has to end", id.clone(), it.task, it.run), self.now);
            }
        }
        for (key, since) in &mut found {
            *since = overdue.get(key).copied().unwrap_or(*since);
        }
        *overdue = found;
        let too_long = overdue.iter().find(|((what, ..), since)| {
            let bound = if *what == "is at work" { NEEDLESS_MS } else { TO_END_MS };
            self.now.since(**since) > bound
        });
        if let Some(((what, worker, task, run), since)) = too_long {
            let ms = self.now.since(*since);
            self.fail(format!("{task:?}, run {run}, {what} on {worker} for {ms} ms of calm"));
        }
    }

    /// Whether a run is the one that the coordinator wants.
    fn is_needed(&self, worker: &Name, id: &TaskId, run: u32) -> bool {
        let task = self.coordinator.job(&id.job).and_then(|it| it.task(id));
        let Some(task) = task.filter(|it| it.run == run && !it.is_superseded) else { return false };
        let is_going = |phase| !matches!(phase, Phase::Stopping | Phase::StopConfirmed);
        let is_here = task.live().is_some_and(|it| it.worker == *worker && is_going(it.phase));
        is_here && self.is_open(id)
    }
}
