//! The upper limits of teams.

use fuchsiamill_model::Resources;

use super::Coordinator;
use crate::Name;

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
}
