//! Invariants of host maintenance, and the bookkeeping for them.

use std::collections::BTreeSet;

use fuchsiamill_fleet::{HostState, Name, TaskId};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Absence, HostWorld, InFlight, START};

/// Time without work after which a task counts as absent.
const ABSENT_MS: Millisecond = 4_500;

/// Time from the start of a run until its task works.
const STARTUP_MS: Millisecond = 400;

/// Delivery time above which an order counts as delayed.
pub(super) const DELAYED_MS: Millisecond = 300;

impl HostWorld {
    /// Checks that a stop of a long-running task does not exceed the limit of unavailable tasks of its step.
    pub(super) fn check_stop(&mut self, flight: &InFlight, worker: &Name, task: &TaskId) {
        let now = self.now;
        let runs = self.sim_worker(worker).is_some_and(|it| it.running.contains_key(task));
        if !runs || !self.long_running(task) || !self.is_working(task) {
            return;
        }
        let allowed = self.specs[&task.job].steps[task.step as usize].max_unavailable.unwrap_or(1);
        let is_out = |(it, absences): &(&TaskId, &Absence)| {
            (&it.job, it.step) == (&task.job, task.step)
                && *it != task
                && (absences.by_order || now.since(absences.since) >= ABSENT_MS)
        };
        let out = self.absences.iter().filter(is_out).count() as u32;
        if out >= allowed && !is_delayed(flight, now) {
            self.fail(format!("{task:?} is stopped while {out} others are absent"));
        }
        self.absences.insert(task.clone(), Absence { since: now, by_order: true });
    }

    /// Returns whether a task has run for at least [`STARTUP_MS`].
    pub(super) fn is_working(&self, task: &TaskId) -> bool {
        self.started_at.get(task).is_some_and(|it| self.now.since(*it) >= STARTUP_MS)
    }

    pub(super) fn long_running(&self, task: &TaskId) -> bool {
        self.specs[&task.job].steps[task.step as usize].long_running
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &TaskId> {
        let up = self.hosts.values().filter(|it| it.state == HostState::Up);
        up.flat_map(|it| it.sim.running.keys())
    }

    /// Records which long-running tasks are not working.
    pub(super) fn note_absences(&mut self) {
        let running: BTreeSet<TaskId> =
            self.running().filter(|it| self.is_working(it)).cloned().collect();
        let now = self.now;
        for (id, spec) in &self.specs {
            for (step, wanted) in spec.steps.iter().enumerate().filter(|it| it.1.long_running) {
                for index in 0..wanted.count {
                    let task = TaskId { job: id.clone(), occurrence: 0, step: step as u16, index };
                    match running.contains(&task) {
                        true => drop(self.absences.remove(&task)),
                        false => {
                            let new = Absence { since: now, by_order: false };
                            self.absences.entry(task).or_insert(new);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn check_duplicates(&mut self) {
        let mut seen = BTreeSet::new();
        let twice = self.running().find(|it| !seen.insert((*it).clone())).cloned();
        if let Some(task) = twice {
            self.fail(format!("{task:?} runs twice"));
        }
    }

    /// Checks that a wave is completed only when each of its hosts was maintained or is lost.
    pub(super) fn check_completion(&mut self) {
        let is_known = self.completed.as_ref().is_some_and(|it| it.0 == self.wave);
        let is_open = !self.coordinator.wave_progress(self.now).is_empty();
        if is_known || is_open || self.read.is_none() || !self.has_listed {
            return;
        }
        let is_left = |it: &&Name| !self.hosts[*it].is_maintained;
        let left: Vec<Name> = self.wave.hosts.iter().filter(is_left).cloned().collect();
        if let Some(host) = left.iter().find(|it| self.is_due(&self.hosts[*it])) {
            self.fail(format!("the wave is completed without {host}"));
        }
        self.completed = Some((self.wave.clone(), left));
    }

    /// Returns whether the wave was completed without a host, as it is allowed with one that is lost.
    pub(super) fn is_completed_without(&self, host: &Name) -> bool {
        let completed = self.completed.as_ref().filter(|it| it.0 == self.wave);
        completed.is_some_and(|it| it.1.contains(host))
    }

    pub(super) fn log(&mut self, what: String) {
        let ms = self.now.since(START);
        self.trace.push(format!("{ms:>6} {what}"));
    }

    pub(super) fn fail(&mut self, what: String) {
        self.log(what.clone());
        self.violation.get_or_insert(what);
    }
}

pub(super) fn is_delayed(flight: &InFlight, now: Moment) -> bool {
    now.since(flight.sent) > DELAYED_MS
}
