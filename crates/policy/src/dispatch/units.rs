//! The units of the teams' upper limits that one entry host holds.

use fuchsiamill_model::{
    Configuration, EntryName, FastMap, Incarnation, Moment, TeamName, Units, Version,
};

use crate::escrow::{EscrowTiming, Holder, HolderId, LimitChange, Reclaimer, Step};

/// One team's units at this entry host.
#[derive(Debug)]
pub(super) struct TeamUnits {
    pub(super) holder: Holder,
    reclaimer: Reclaimer,
}

/// All teams' units at this entry host.
#[derive(Debug)]
pub(super) struct Teams {
    id: HolderId,
    timing: EscrowTiming,
    teams: FastMap<TeamName, TeamUnits>,
}

impl Teams {
    pub(super) fn new(id: HolderId, timing: EscrowTiming) -> Self {
        Self { id, timing, teams: FastMap::default() }
    }

    pub(super) fn get_mut(&mut self, team: &TeamName) -> Option<&mut Holder> {
        self.teams.get_mut(team).map(|it| &mut it.holder)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&TeamName, &Holder)> {
        self.teams.iter().map(|(team, units)| (team, &units.holder))
    }

    pub(super) fn names(&self) -> Vec<TeamName> {
        self.teams.keys().cloned().collect()
    }

    /// Applies a new configuration to the teams' limits.
    ///
    /// When versions were passed over, a limit may have been lowered and raised again in between, so every limit counts
    /// as lowered.
    pub(super) fn configure(&mut self, before: &Configuration, after: &Configuration) {
        for (name, team) in &after.teams {
            let Some(units) = self.teams.get_mut(name) else {
                self.add(name, after.version);
                continue;
            };
            let old = before.teams.get(name).map(|it| it.upper_limit);
            let is_next = before.version.next() == after.version;
            let change = match old {
                Some(old) if is_next && old == team.upper_limit => continue,
                Some(old) if is_next && old < team.upper_limit => LimitChange::Raised,
                _ => LimitChange::Lowered,
            };
            units.holder.limit_changed(change, after.version);
        }
        for units in self.teams.values_mut() {
            units.holder.set_applied_version(after.version);
        }
        self.teams.retain(|name, units| {
            after.teams.contains_key(name)
                || units.holder.running() > 0
                || units.holder.lent_units() > 0
        });
    }

    pub(super) fn lose_standing(&mut self) {
        self.id.term += 1;
        for units in self.teams.values_mut() {
            units.holder.lose_standing();
            units.reclaimer.lose_standing();
        }
    }

    /// Stops starting work and lending units, for good.
    pub(super) fn leave(&mut self) {
        for units in self.teams.values_mut() {
            units.holder.leave();
        }
    }

    /// Returns whether every unit that this host held or borrowed was given back.
    pub(super) fn have_left(&self) -> bool {
        self.teams.values().all(|units| units.holder.has_left())
    }

    /// Returns the next steps of one team's holder, when `wanted` more units could be used at once.
    pub(super) fn steps(
        &mut self,
        now: Moment,
        team: &TeamName,
        wanted: Units,
        peers: &[EntryName],
    ) -> Vec<Step> {
        let Some(units) = self.teams.get_mut(team) else { return Vec::new() };
        units.holder.next(now, wanted, peers)
    }

    /// Marks the holdings of processes that are gone, so that the next write of the row removes them.
    pub(super) fn reclaim(&mut self, now: Moment, live: &FastMap<EntryName, Incarnation>) {
        for units in self.teams.values_mut() {
            let Some(row) = units.holder.row() else { continue };
            let ended = units.reclaimer.observe(now, row, live, &self.timing);
            units.holder.reclaim(ended);
        }
    }

    fn add(&mut self, name: &TeamName, version: Version) {
        let holder = Holder::new(self.id.clone(), self.timing, version);
        let units = TeamUnits { holder, reclaimer: Reclaimer::default() };
        self.teams.insert(name.clone(), units);
    }
}
