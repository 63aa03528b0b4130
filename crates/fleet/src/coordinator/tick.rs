//! Changes that are due only because time passes.

use fuchsiamill_model::units::{Millisecond, Moment, WallTime};

use super::{Coordinator, LiveRun, Worker};
use crate::{Name, TaskId, timing::with_drift};

/// Waiting tasks are considered again after this time even if nothing is known to have changed for them.
const PLACE_AGAIN_MS: Millisecond = 500;

/// A worker may carry out a start this long after its lease was counted from: the start may be handed to another sender
/// first, whose call to the worker has a time limit of its own.
const START_ARRIVAL_MS: Millisecond = 2_000;

/// Runs whose tasks start elsewhere only once the leases of their worker have lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRuns {
    /// The number of runs.
    pub runs: usize,
    /// The number of those whose tasks are to run until their job is cancelled.
    pub long_running: usize,
    /// When the last of the leases has certainly lapsed.
    pub until: Moment,
}

impl Coordinator {
    /// Opens occurrences that are due and gives up runs whose leases have certainly lapsed.
    pub fn tick(&mut self, now: Moment, wall: WallTime) {
        self.open_occurrences(wall);
        self.end_avoid_periods(now);
        self.end_near_waits(now);
        self.end_advice_waits(now);
        self.ask_health(now);
        self.lives.late_starts.retain(|_, until| now < *until);
        self.needs_placing |= now.since(self.last_placed) >= PLACE_AGAIN_MS;
        let lease = with_drift(self.timing.lease_ms);
        let longest_lease = self.longest_lease();
        let lapsed: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_lapsed(lease, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            for (task, live) in self.live_on(&id) {
                if self.run_lapses_at(&id, &live).is_some_and(|at| now > at) {
                    self.requeue(&task, now);
                }
            }
            let Some(worker) = self.workers.get(&id) else { continue };
            if worker.has_lapsed(longest_lease, now) {
                self.forget_stray_runs(&id);
            }
            let worker = &self.workers[&id];
            if worker.unlisted && worker.live.is_empty() && !self.has_stray_runs_on(&id) {
                self.forget_worker(&id, now);
            }
        }
    }

    /// Returns after which moment the lease of a run has certainly lapsed, or `None` while its worker answers.
    fn run_lapses_at(&self, worker: &Name, live: &LiveRun) -> Option<Moment> {
        let worker = self.workers.get(worker)?;
        let lapses_at = worker.lapses_at(with_drift(self.timing.lease_ms))?;
        if !live.may_be_on_next_incarnation() {
            return Some(lapses_at);
        }
        worker.lapses_at(self.longest_lease())
    }

    /// Returns how long a run may hold a lease that was named on the clock of a former incarnation, counted from when the
    /// order was sent.
    pub(super) fn longest_lease(&self) -> Millisecond {
        with_drift(self.timing.longest_lease_ms + START_ARRIVAL_MS)
    }

    /// Returns the runs that wait for the leases of a worker that does not answer; `None` if it answers or has none.
    pub fn held_runs(&self, worker: &Name) -> Option<HeldRuns> {
        let live = self.live_on(worker);
        let ends = live.iter().map(|(_, live)| self.run_lapses_at(worker, live));
        let until = ends.max()??;
        let is_long = |it: &TaskId| self.step_of(it).is_some_and(|step| step.long_running);
        let long_running = live.iter().filter(|(task, _)| is_long(task)).count();
        Some(HeldRuns { runs: live.len(), long_running, until })
    }

    /// Requests placement when the time for which a worker is avoided has ended.
    fn end_avoid_periods(&mut self, now: Moment) {
        let since = std::mem::replace(&mut self.last_tick, now);
        let is_back = |it: &Worker| since < it.avoid_until && it.avoid_until <= now;
        self.needs_placing |= self.workers.values().any(is_back);
    }

    fn open_occurrences(&mut self, wall: WallTime) {
        let scheduled = self.jobs.values_mut().filter(|it| it.spec.schedule.is_some());
        for job in scheduled {
            let before = job.occurrences.len();
            job.open_due(wall);
            self.needs_placing |= job.occurrences.len() > before;
        }
    }
}
