//! The upper limits of teams, and their weights.

use fuchsiamill_model::{FastMap, Resources, units::Moment};

use super::{Coordinator, StepKey, pool_view::RoomWait};
use crate::{JobSpec, Name, Step};

/// The window over which a team's jobs are counted against its weight.
pub(super) const EXCESS_WINDOW_MS: u64 = 1_000;

/// Jobs above the weight that are tolerated within the window, since arrivals are uneven.
const EXCESS_SLACK_JOBS: f64 = 1.0;

/// Long-running tasks of a step that may have to wait until their team's upper limit leaves room for them.
#[derive(Clone, Debug)]
pub(super) struct LimitWait {
    pub(super) team: Name,
    /// What one of the tasks takes of the limit.
    pub(super) size: Resources,
    pub(super) room: RoomWait,
}

/// What is kept of a team's upper limit for long-running tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeptPart {
    /// The priority of the tasks that it is kept for.
    priority: u32,
    size: Resources,
}

/// What is kept of each team's upper limit.
pub(super) type KeptParts = FastMap<Name, Vec<KeptPart>>;

/// What the limits of teams leave for long-running tasks that wait.
#[derive(Clone, Default)]
pub(super) struct LimitsLeft(FastMap<Name, Resources>);

impl LimitsLeft {
    /// Returns how many of so many tasks there is room for, of a gang all or none.
    pub(super) fn places(&self, wait: &LimitWait, tasks: u64) -> u64 {
        let left = self.0.get(&wait.team).copied().unwrap_or_default();
        let tasks = left.times(wait.size).min(tasks);
        if wait.room.is_gang && tasks < wait.room.tasks { 0 } else { tasks }
    }

    /// Takes the room for them, and returns how many there are.
    pub(super) fn take(&mut self, wait: &LimitWait, tasks: u64) -> u64 {
        let tasks = self.places(wait, tasks);
        if let Some(left) = self.0.get_mut(&wait.team) {
            (0..tasks).for_each(|_| *left = left.minus(wait.size));
        }
        tasks
    }
}

impl Coordinator {
    /// Returns whether the team's upper limit leaves room for one more task of a step, besides what is kept of it for others.
    pub(super) fn fits_limit(&self, spec: &JobSpec, step: &Step) -> bool {
        let (team, size) = (&spec.team, step.size);
        let Some(limit) = self.config.teams.get(team).map(|it| it.limit) else { return true };
        let used = self.used_by_team.get(team).copied().unwrap_or_default().plus(size);
        let within = |limit: u32, used: u32| limit == 0 || used <= limit;
        let fits = within(limit.millicores, used.millicores)
            && within(limit.memory_mib, used.memory_mib)
            && within(limit.accelerators, used.accelerators);
        if !fits || spec.is_standing() {
            return fits;
        }
        let kept = self.kept_from(team, spec.route.priority);
        let used = used.plus(kept);
        // Of what a task does not need it takes nothing, even where others have yet to give some of it back.
        let leaves = |limit: u32, size: u32, used: u32| size == 0 || within(limit, used);
        leaves(limit.millicores, size.millicores, used.millicores)
            && leaves(limit.memory_mib, size.memory_mib, used.memory_mib)
            && leaves(limit.accelerators, size.accelerators, used.accelerators)
    }

    /// Returns what is kept of a team's limit from tasks of this priority.
    fn kept_from(&self, team: &Name, priority: u32) -> Resources {
        let kept = self.kept_of_limits.get(team).map_or(&[][..], |it| it);
        let kept = kept.iter().filter(|it| it.priority <= priority).map(|it| it.size);
        kept.fold(Resources::default(), Resources::plus)
    }

    /// Returns whether the team has an upper limit.
    pub(super) fn is_limited(&self, team: &Name) -> bool {
        self.config.teams.get(team).is_some_and(|it| it.limit != Resources::default())
    }

    /// Keeps of the teams' limits what waiting tasks take, as far as they leave that. Each wait comes with the number of its
    /// tasks that there is a place for.
    pub(super) fn keep_limits(&mut self, mut waits: Vec<(LimitWait, u64)>, mut left: LimitsLeft) {
        waits.sort_by(|(a, _), (b, _)| a.room.order().cmp(&b.room.order()));
        let mut kept = KeptParts::default();
        for (wait, places) in &waits {
            let tasks = left.take(wait, *places);
            if tasks > 0 {
                let size = (0..tasks).fold(Resources::default(), |sum, _| sum.plus(wait.size));
                let part = KeptPart { priority: wait.room.urgency.priority, size };
                kept.entry(wait.team.clone()).or_default().push(part);
            }
        }
        self.needs_placing |= !self.kept_of_limits.is_empty() && self.kept_of_limits != kept;
        self.kept_of_limits = kept;
    }

    /// Returns what the limits of the teams that wait leave once the tasks have ended of which an end is in sight.
    pub(super) fn limits_left<'a>(
        &self,
        waits: impl Iterator<Item = &'a LimitWait>,
        now: Moment,
    ) -> LimitsLeft {
        let limit = |team: &Name| {
            let limit = self.config.teams.get(team).map(|it| it.limit).unwrap_or_default();
            let part = |limit: u32| if limit == 0 { u32::MAX } else { limit };
            Resources {
                millicores: part(limit.millicores),
                memory_mib: part(limit.memory_mib),
                accelerators: part(limit.accelerators),
            }
        };
        let mut left: FastMap<Name, Resources> =
            waits.map(|it| (it.team.clone(), limit(&it.team))).collect();
        if left.is_empty() {
            return LimitsLeft::default();
        }
        for job in self.jobs.values().filter(|it| it.live > 0) {
            let Some(left) = left.get_mut(&job.spec.team) else { continue };
            for (id, _) in job.live_tasks() {
                if self.ends_in(&id, now).is_none() {
                    *left = left.minus(job.spec.steps[id.step as usize].size);
                }
            }
        }
        LimitsLeft(left)
    }

    /// Returns how many more tasks of this size the team's upper limit leaves room for.
    pub(super) fn left_of_limit(&self, team: &Name, size: Resources) -> u64 {
        let Some(limit) = self.config.teams.get(team).map(|it| it.limit) else { return u64::MAX };
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let part = |limit: u32, used: u32, size: u32| match (limit, size) {
            (0, _) | (_, 0) => u64::MAX,
            _ => (limit.saturating_sub(used) / size).into(),
        };
        part(limit.millicores, used.millicores, size.millicores)
            .min(part(limit.memory_mib, used.memory_mib, size.memory_mib))
            .min(part(limit.accelerators, used.accelerators, size.accelerators))
    }

    /// Returns the share of its team's upper limit that runs take, for a step's job: in percent, of the resource of which it is
    /// the largest. Returns 0 without a limit.
    pub fn limit_percent(&self, key: &StepKey) -> u64 {
        let team = self.jobs.get(&key.job).map(|it| &it.spec.team);
        let limit = team.and_then(|it| self.config.teams.get(it)).map(|it| it.limit);
        let used = team.and_then(|it| self.used_by_team.get(it));
        let (limit, used) = (limit.unwrap_or_default(), used.copied().unwrap_or_default());
        let part =
            |limit: u32, used: u32| (u64::from(used) * 100).checked_div(limit.into()).unwrap_or(0);
        part(limit.millicores, used.millicores)
            .max(part(limit.memory_mib, used.memory_mib))
            .max(part(limit.accelerators, used.accelerators))
    }

    /// Counts a new job of a team and returns whether it exceeds the team's weight, in jobs per second. The team is not
    /// entitled to hosts for such jobs.
    pub(super) fn is_excess(&mut self, team: &Name, now: Moment) -> bool {
        let Some(weight) = self.config.teams.get(team).map(|it| it.weight) else { return false };
        let recent = self.recent_jobs.entry(team.clone()).or_default();
        while recent.front().is_some_and(|it| now.since(*it) > EXCESS_WINDOW_MS) {
            recent.pop_front();
        }
        recent.push_back(now);
        recent.len() as f64 > weight * EXCESS_WINDOW_MS as f64 / 1_000.0 + EXCESS_SLACK_JOBS
    }
}
