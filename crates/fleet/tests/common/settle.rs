//! Invariants that hold at any time, and those that hold once all faults have ended: see `world`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{Ending, Name, TaskId, coordinator::Phase};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::{sim_worker::worker_name, worker, world::World};

/// Time without faults, with a poll of each worker per second, within which a needless run has ended.
const NEEDLESS_RUN_MS: Millisecond = 2_000;

/// Time without faults within which the coordinator drops a run that has to end: a lease, a poll and a stop.
const ENDING_RUN_MS: Millisecond = 8_000;

/// Number and length of the rounds without faults.
const SETTLE_ROUNDS: usize = 600;
const ROUND_MS: Millisecond = 100;

/// Rounds between two polls of a worker.
const POLL_ROUNDS: usize = 10;

/// Round at which the jobs with long-running tasks are cancelled.
const LONG_RUNNING_ROUNDS: usize = 300;

/// Runs that should have ended, by the kind of violation, and since when.
type Overdue = BTreeMap<(&'static str, Name, TaskId, u32), Moment>;

impl World {
    /// Checks that no task runs twice at a time, no worker is overcommitted, and no team exceeds its limit.
    pub(super) fn check(&mut self) {
        let mut runs: BTreeMap<&TaskId, u32> = BTreeMap::new();
        for task in self.workers.values().flat_map(|it| it.running.keys()) {
            *runs.entry(task).or_insert(0) += 1;
        }
        let twice = runs.iter().find(|it| *it.1 > 1).map(|it| (*it.0).clone());
        let used: u32 = runs.iter().map(|(task, count)| count * self.millicores(task)).sum();
        let limit = self.config.teams["north"].limit.millicores;
        let on = |id: &Name| -> u32 {
            self.workers[id].running.keys().map(|it| self.millicores(it)).sum()
        };
        let overcommitted = self.workers.keys().find(|it| on(it) > worker(it).capacity.millicores);
        let overcommitted = overcommitted.map(|it| format!("{it} is overcommitted: {}", on(it)));
        if let Some(task) = twice {
            self.fail(format!("{task:?} runs twice"));
        }
        if limit > 0 && used > limit {
            self.fail(format!("{used} of {limit} millicores run"));
        }
        if let Some(what) = overcommitted {
            self.fail(what);
        }
    }

    fn millicores(&self, task: &TaskId) -> u32 {
        self.specs[&task.job].steps[task.step as usize].size.millicores
    }

    /// Returns whether the job of a task has not ended.
    pub(super) fn is_open(&self, task: &TaskId) -> bool {
        self.coordinator.job(&task.job).is_some_and(|it| !it.stage.is_over())
    }

    /// Ends all faults and simulates long enough for all jobs to end.
    pub fn settle(&mut self) {
        self.is_settling = true;
        for number in 0..self.workers.len() {
            if !self.workers[&worker_name(number)].is_up {
                self.crash(number, true);
            }
            // Reading an entry triggers placement, which could hide a fault: only missing entries are read.
            if !self.workers[&worker_name(number)].is_listed {
                self.list(number);
            }
        }
        self.read_cancellations();
        // Stops that are no longer retried do not arrive any more.
        self.in_flight.retain(|it| !it.is_stop() || it.is_retried);
        let mut overdue = Overdue::new();
        for round in 0..SETTLE_ROUNDS {
            if round == LONG_RUNNING_ROUNDS {
                self.cancel_long_running();
            }
            self.decide();
            self.store();
            while !self.in_flight.is_empty() {
                self.deliver(0, true);
            }
            while self.advice.has_questions() {
                self.advise(0, true);
            }
            if round % POLL_ROUNDS == 0 {
                (0..self.workers.len()).for_each(|it| self.poll(it, true, true));
            }
            if round % 2 == 0 {
                (0..8).for_each(|it| self.finish(it, Ending::Done));
            }
            self.check_overdue(&mut overdue);
            self.pass(ROUND_MS);
        }
    }

    fn cancel_long_running(&mut self) {
        let long_running =
            self.specs.iter().filter(|it| it.1.steps.iter().any(|it| it.long_running));
        let long_running: Vec<Name> = long_running.map(|it| it.0.clone()).collect();
        long_running.into_iter().for_each(|it| {
            self.cancelled.entry(it).or_insert(false);
        });
        self.read_cancellations();
    }

    fn check_overdue(&mut self, overdue: &mut Overdue) {
        let mut found = Overdue::new();
        for (id, sim) in &self.workers {
            for (task, run) in sim.running.iter().filter(|it| !self.is_needed(id, it.0, *it.1)) {
                found.insert(("is running", id.clone(), task.clone(), *run), self.now);
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
            let bound = if *what == "is running" { NEEDLESS_RUN_MS } else { ENDING_RUN_MS };
            self.now.since(**since) > bound
        });
        if let Some(((what, worker, task, run), since)) = too_long {
            let ms = self.now.since(*since);
            self.fail(format!(
                "{task:?}, run {run}, {what} on {worker} for {ms} ms without faults"
            ));
        }
    }

    /// Returns whether the coordinator wants this run to go on.
    fn is_needed(&self, worker: &Name, id: &TaskId, run: u32) -> bool {
        let task = self.coordinator.job(&id.job).and_then(|it| it.task(id));
        let Some(task) = task.filter(|it| it.run == run && !it.is_superseded) else { return false };
        let is_going = |phase| !matches!(phase, Phase::Stopping | Phase::StopConfirmed);
        let is_here = task.live().is_some_and(|it| it.worker == *worker && is_going(it.phase));
        is_here && self.is_open(id)
    }
}
