//! Runs that may be on a worker.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, TaskState, replies::LostStart};
use crate::{Name, Step, TaskId};

/// A run that takes room on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveRun {
    /// The worker.
    pub worker: Name,
    /// The start time of the worker incarnation, in Unix milliseconds; distinguishes two incarnations under one id.
    pub born: u64,
    /// What is known of the run.
    pub phase: Phase,
    /// When the run entered this phase.
    pub since: Moment,
    /// When the run was last seen working: running, and at full speed if its step is long-running.
    pub last_seen_working: Option<Moment>,
    /// Its progress in per cent, and since when it has had that value.
    pub progress: Option<(u32, Moment)>,
    /// The speed that was ordered for it.
    pub speed: Speed,
    /// When its stop was last ordered; `None` if that order is known to have failed.
    pub stop_ordered: Option<Moment>,
    /// The checkpoint that its start names.
    pub checkpoint: Name,
    /// Whether it was taken over from an earlier coordinator or incarnation of the worker, so that its start was not seen.
    pub is_inherited: bool,
    /// Whether a report of its worker incarnation has listed it. A start that no report has shown may have reached a later
    /// incarnation.
    pub is_listed: bool,
    /// Its start, if that was given up without an answer.
    pub lost_start: Option<LostStart>,
    /// Whether its worker was cold when it was placed, so that it may take longer than others.
    pub began_cold: bool,
}

/// What is known of a run's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speed {
    /// No other speed was ordered.
    #[default]
    Full,
    /// This speed was ordered.
    Ordered(SpeedOrder),
    /// A former coordinator may have ordered a speed, or an order was not answered.
    Unknown,
}

impl Speed {
    /// Returns the share of full speed in per cent. A speed that is unknown counts as full.
    pub fn percent(self) -> u32 {
        match self {
            Speed::Ordered(it) => it.percent,
            Speed::Full | Speed::Unknown => FULL_PERCENT,
        }
    }
}

/// The full speed, in per cent.
pub const FULL_PERCENT: u32 = 100;

/// An order to run at a share of full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedOrder {
    /// When the order was given.
    pub at: Moment,
    /// The share, in per cent.
    pub percent: u32,
}

/// How long a report that a task is working stays valid; workers with tasks are polled every second.
const AT_WORK_MS: Millisecond = 2_200;

impl LiveRun {
    /// Returns whether a worker may have begun the run. A start that was refused, withdrawn or lost is no run.
    pub fn may_have_run(&self) -> bool {
        let was_lost = self.lost_start.is_some() && self.last_seen_working.is_none();
        !was_lost && !matches!(self.phase, Phase::Recorded | Phase::Sent | Phase::Unanswered)
    }

    /// Returns whether the run may be on a later incarnation of its worker than the one that was to start it. That
    /// incarnation takes the end of the lease for a time on its own clock, which is behind, and grants its longest lease.
    pub fn may_be_on_next_incarnation(&self) -> bool {
        !self.is_listed && !self.is_inherited && self.phase != Phase::Recorded
    }

    /// Returns whether the run is known to be working, and so serves its users.
    pub fn is_serving(&self, now: Moment) -> bool {
        let is_fresh = self.last_seen_working.is_some_and(|it| now.since(it) <= AT_WORK_MS);
        is_fresh && self.phase == Phase::Running
    }
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start order waits until its record is stored.
    Recorded,
    /// The start order was sent and not answered.
    Sent,
    /// The start order was given up without an answer: the worker may have the run, or get it later.
    Unanswered,
    /// The worker has the run.
    Running,
    /// A stop was ordered and not answered.
    Stopping,
    /// The worker has confirmed a stop; it has not listed the end yet.
    StopConfirmed,
    /// An earlier coordinator recorded the run; the worker has not reported on it yet.
    Inherited,
}

impl Coordinator {
    pub(super) fn set_phase(&mut self, id: &TaskId, phase: Phase, now: Moment) {
        if let Some(live) = self.live_mut(id) {
            live.phase = phase;
            live.since = now;
        }
    }

    pub(super) fn step_of(&self, id: &TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.spec.steps.get(id.step as usize)
    }

    pub(super) fn live_mut(&mut self, id: &TaskId) -> Option<&mut LiveRun> {
        match &mut self.jobs.get_mut(&id.job)?.task_mut(id)?.state {
            TaskState::Live(live) => Some(live),
            _ => None,
        }
    }
}
