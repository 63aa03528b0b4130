//! Why steps wait, and since when.

mod places;

use fuchsiamill_model::units::{Millisecond, Moment};

pub use places::StepPlaces;

use super::{Coordinator, Job, StepKey, TaskState, job::StepRun, room::RoomSearch};
use crate::Name;

/// Why a task that may run is not started. Ordered by how far the search for a worker got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// Its team runs as much as its limit allows, or the rest is kept for long-running tasks.
    TeamLimit,
    /// No worker of its pool that takes tasks has the label that it needs.
    Label,
    /// No worker is large enough.
    Size,
    /// Workers that are large enough are full.
    Room,
    /// Each worker with room runs as many tasks of the step as may share one.
    PerWorker,
    /// The advice service has not allowed a worker that has room.
    Permit,
    /// It waits for room near its data.
    NearData,
    /// Former members of its gang have not ended yet.
    Gang,
    /// As many tasks were placed as can be started at once; it is considered next time.
    Turn,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [WaitReason; 9] = [
        WaitReason::TeamLimit,
        WaitReason::Label,
        WaitReason::Size,
        WaitReason::Room,
        WaitReason::PerWorker,
        WaitReason::Permit,
        WaitReason::NearData,
        WaitReason::Gang,
        WaitReason::Turn,
    ];

    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::TeamLimit => "team-limit",
            WaitReason::Label => "label",
            WaitReason::Size => "size",
            WaitReason::Room => "room",
            WaitReason::PerWorker => "per-worker",
            WaitReason::Permit => "permit",
            WaitReason::NearData => "near-data",
            WaitReason::Gang => "gang",
            WaitReason::Turn => "turn",
        }
    }
}

/// The wait of a step whose tasks could not all be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Why the last placement left tasks of it.
    pub reason: WaitReason,
    /// Why the last placement did that looked at it.
    obstacle: WaitReason,
    /// Since when none of its tasks was placed.
    pub since: Moment,
    /// Since when not all of its tasks are placed.
    pub begun: Moment,
}

/// Long-running tasks that wait for this long ask for further hosts, and hold room on those that there are and below the limit
/// of their team. Tasks that end meanwhile often make room.
const ROOM_WAIT_MS: Millisecond = 1_000;

impl Wait {
    /// Returns the wait after another placement, for this reason.
    pub(super) fn after(
        before: Option<Wait>,
        reason: WaitReason,
        has_placed: bool,
        now: Moment,
    ) -> Self {
        let since = before.filter(|_| !has_placed).map_or(now, |it| it.since);
        let begun = before.map_or(now, |it| it.begun);
        let obstacle = match before.filter(|_| reason == WaitReason::Turn) {
            Some(before) if !has_placed => before.obstacle,
            _ => reason,
        };
        Self { reason, obstacle, since, begun }
    }

    fn is_long_at(&self, now: Moment) -> bool {
        now.since(self.begun) >= ROOM_WAIT_MS
    }

    /// Returns whether further hosts are asked for: the workers of its pool have been too full for a while, or have had too many
    /// of its tasks.
    pub(super) fn asks_for_hosts(&self, now: Moment) -> bool {
        matches!(self.obstacle, WaitReason::Room | WaitReason::PerWorker) && self.is_long_at(now)
    }

    /// Returns whether room is to be held. Workers with the label or of the size may be there and take no tasks now.
    pub(super) fn asks_for_room(&self, now: Moment) -> bool {
        let has_none = matches!(self.obstacle, WaitReason::Label | WaitReason::Size);
        self.asks_for_hosts(now) || (has_none && self.is_long_at(now))
    }

    /// Returns whether what its tasks take of their team's limit is to be kept for them. Advice may never allow them.
    pub(super) fn asks_for_limit(&self, now: Moment) -> bool {
        self.reason != WaitReason::Permit && self.is_long_at(now)
    }

    /// Returns whether no host that the pool might get would do.
    pub(super) fn is_beyond_hosts(&self) -> bool {
        matches!(self.obstacle, WaitReason::TeamLimit | WaitReason::Label | WaitReason::Size)
    }
}

/// A step that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepKey,
    /// Why it waits.
    pub reason: WaitReason,
    /// How long none of its tasks was placed, or, if they run until their job is cancelled, how long one of them has waited; in
    /// milliseconds.
    pub age_ms: Millisecond,
    /// How many of its tasks wait.
    pub tasks: u32,
    /// Whether its tasks run until their job is cancelled.
    pub long_running: bool,
}

impl StepRun {
    /// Returns since when the task that has waited longest waits, if that is known.
    pub(super) fn waits_since(&self) -> Option<Moment> {
        let begun = self.wait?.begun;
        Some(self.waits_since_run_end().unwrap_or(begun))
    }

    /// Returns when the last run of the task that has waited longest ended; `None` if a task waits that has not run.
    pub(super) fn waits_since_run_end(&self) -> Option<Moment> {
        let waiting = self.tasks.known().filter(|it| it.1.state == TaskState::Waiting);
        let (mut count, mut first) = (0, None);
        for end in waiting.map(|it| it.1.last_run_end) {
            count += 1;
            first = Some(first.map_or(end, |it: Option<Moment>| it.min(end)));
        }
        first.filter(|_| count == self.waiting).flatten()
    }
}

impl Coordinator {
    /// Returns the open steps of a job. If it is known of each that it waits, that is noted and none is returned.
    pub(super) fn open_steps(
        &mut self,
        id: &Name,
        search: &RoomSearch,
        now: Moment,
    ) -> Vec<(usize, usize)> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let open = job.open_steps();
        let obstacle =
            |it: &(usize, usize)| self.known_obstacle(&job.spec, &job.spec.steps[it.1], search);
        let Some(reasons) = open.iter().map(obstacle).collect::<Option<Vec<_>>>() else {
            return open;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            for ((occurrence, step), reason) in open.into_iter().zip(reasons) {
                job.step_mut(occurrence, step).note_wait(Some(reason), false, now);
            }
        }
        Vec::new()
    }

    /// Notes why a step waits after a placement, or that nothing of it waits. `has_placed` tells whether a task of it was
    /// placed.
    pub(super) fn note_wait(
        &mut self,
        key: &StepKey,
        reason: Option<WaitReason>,
        has_placed: bool,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = job.step_mut(key.occurrence as usize, key.step as usize);
        step.note_wait(reason, has_placed, now);
    }

    /// Returns the steps that wait, as of the last placement.
    pub fn waiting_steps(&self, now: Moment) -> impl Iterator<Item = WaitingStep> {
        let open = self.jobs.values().filter(|it| !it.stage.is_over());
        open.flat_map(move |it| waiting_steps_of(it, now))
    }
}

fn waiting_steps_of(job: &Job, now: Moment) -> impl Iterator<Item = WaitingStep> {
    job.open_occurrences().flat_map(move |(occurrence, run)| {
        run.steps.iter().enumerate().filter_map(move |(number, step)| {
            let wait = step.wait.filter(|_| step.waiting > 0)?;
            let key =
                StepKey { job: job.id.clone(), occurrence: occurrence as u32, step: number as u16 };
            // One of the tasks may wait while others of the step start again and again.
            let long_running = job.spec.steps[number].long_running;
            let since = match long_running {
                true => step.waits_since().map_or(wait.since, |it| it.min(wait.since)),
                false => wait.since,
            };
            Some(WaitingStep {
                step: key,
                reason: wait.reason,
                age_ms: now.since(since),
                tasks: step.waiting,
                long_running,
            })
        })
    })
}
