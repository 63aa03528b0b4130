//! Effect of a plan on the slots of each team's share.

use fuchsiamill_model::{Configuration, Slots, TeamName};
use serde::{Deserialize, Serialize};

use super::{fleet::Fleet, timeline::Timeline};

/// The slots that a team's share of the fleet is worth when all slots are in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEffect {
    /// The team whose share it is.
    pub team: TeamName,
    /// Slots before the plan.
    pub before: Slots,
    /// The fewest slots during the plan, if every pool is at its lowest at the same time.
    pub lowest: Slots,
    /// Slots after the plan.
    pub after: Slots,
}

/// Returns the effect on each team whose slots change.
pub fn on_teams(
    fleet: &Fleet<'_>,
    timeline: &Timeline<'_>,
    after: &Configuration,
) -> Vec<TeamEffect> {
    let serving: Slots = fleet.pools.iter().map(|pool| pool.serving).sum();
    let (lost, change) = timeline.effects().iter().fold((0, 0i64), |(lost, change), pool| {
        let lowest = pool.before.min(pool.lowest);
        (lost + pool.before - lowest, change + i64::from(pool.after) - i64::from(pool.before))
    });
    let serving_after = (i64::from(serving) + change).max(0) as Slots;
    let each = |(name, team): (&TeamName, &fuchsiamill_model::Team)| {
        let before = fleet.config.teams.get(name).map_or(0, |it| it.share);
        let effect = TeamEffect {
            team: name.clone(),
            before: slots_of_share(fleet.config, before, serving),
            lowest: slots_of_share(fleet.config, before, serving - lost.min(serving)),
            after: slots_of_share(after, team.share, serving_after),
        };
        let same = effect.before == effect.after && effect.before == effect.lowest;
        (!same).then_some(effect)
    };
    after.teams.iter().filter_map(each).collect()
}

fn slots_of_share(config: &Configuration, share: u32, slots: Slots) -> Slots {
    let all: u64 = config.teams.values().map(|team| u64::from(team.share)).sum();
    (u64::from(slots) * u64::from(share) / all.max(1)) as Slots
}
