//! The upper limits of teams, and their weights.

use fuchsiamill_model::{Resources, units::Moment};

use super::Coordinator;
use crate::Name;

/// The window over which a team's jobs are counted against its weight.
pub(super) const EXCESS_WINDOW_MS: u64 = 1_000;

/// Jobs above the weight that are tolerated within the window, since arrivals are uneven.
const EXCESS_SLACK_JOBS: f64 = 1.0;

impl Coordinator {
    /// Returns whether the team's upper limit leaves room for one more task of this size.
    pub(super) fn fits_limit(&self, team: &Name, size: Resources) -> bool {
        let Some(limit) = self.config.teams.get(team).map(|it| it.limit) else { return true };
        let used = self.used_by_team.get(team).copied().unwrap_or_default().plus(size);
        let within = |limit: u32, used: u32| limit == 0 || used <= limit;
        within(limit.millicores, used.millicores)
            && within(limit.memory_mib, used.memory_mib)
            && within(limit.accelerators, used.accelerators)
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
