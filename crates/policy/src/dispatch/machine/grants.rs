//! Giving and ending grants.

use fuchsiamill_model::{Moment, PoolName, TeamName, Units};

use super::{Action, Dispatcher, OpenGrant, answers::answer};
use crate::{
    dispatch::{Answer, Ending, GrantRef, Granted, pool::SlotUse},
    escrow::{GrantId, Step},
    membership::highest_weight,
    shares::Lane,
};

const PERCENT: u64 = 100;

impl Dispatcher {
    /// Grants queued requests of a pool as long as there are slots and units, and asks for units that are missing.
    pub(super) fn grant_waiting(&mut self, now: Moment, pool: &PoolName) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(owned) = self.pools.get_mut(pool) else { return actions };
        if !owned.is_granting(now) {
            return actions;
        }
        while self.grant_next(now, pool, &mut actions) {}
        for team in self.teams_short_of_units(now, pool) {
            self.step_holder(now, &team, &mut actions);
        }
        actions
    }

    /// Returns the teams with queued requests in a pool that still has free slots: what they lack is units.
    fn teams_short_of_units(&self, now: Moment, pool: &PoolName) -> Vec<TeamName> {
        let Some(owned) = self.pools.get(pool) else { return Vec::new() };
        if owned.queues.is_empty() || owned.slots.free(now) == 0 {
            return Vec::new();
        }
        let team = |lane: &Lane| match lane {
            Lane::Team(team) => Some(team.clone()),
            Lane::Open => None,
        };
        owned.queues.waiting_lanes().filter_map(team).collect()
    }

    /// Grants the next request of a pool, and returns whether one could be granted.
    fn grant_next(&mut self, now: Moment, pool: &PoolName, actions: &mut Vec<Action>) -> bool {
        let Some(owned) = self.pools.get_mut(pool) else { return false };
        if owned.slots.free(now) == 0 {
            return false;
        }
        let teams = &mut self.teams;
        let may_start = |lane: &Lane| match lane {
            Lane::Open => true,
            Lane::Team(team) => teams.get_mut(team).is_some_and(|it| it.free(now) > 0),
        };
        let Some((lane, waiting)) = owned.queues.pop(may_start) else { return false };
        let number = GrantId(self.next_grant);
        let until = waiting.until;
        let holder = match &lane {
            Lane::Open => None,
            Lane::Team(team) => self.teams.get_mut(team),
        };
        if let Some(holder) = holder
            && holder.charge(now, number, until).is_none()
        {
            return false;
        }
        let Some(host) = owned.slots.pick(now, &waiting.data_centre) else { return false };
        self.next_grant += 1;
        let ticket = waiting.ticket;
        let grant =
            GrantRef { owner: self.me.clone(), incarnation: self.incarnation.clone(), number };
        owned.begin_use(grant.clone(), SlotUse { lane: lane.clone(), host: host.clone(), until });
        let upper_limit = self.upper_limit(&lane);
        let open_grant =
            OpenGrant { pool: pool.clone(), lane, ticket: ticket.clone(), ask: waiting.ask, until };
        self.grants.insert(number, open_grant);
        self.by_ticket.insert(ticket.clone(), number);
        let granted = Granted { grant, host, version: self.config.version, upper_limit };
        actions.push(answer(ticket, Answer::Granted { grant: granted }));
        true
    }

    /// Ends a grant of this host and returns the team whose unit became free, if any. A grant whose answer was lost
    /// keeps its unit until its deadline.
    pub(super) fn end_grant(
        &mut self,
        now: Moment,
        number: GrantId,
        ending: Ending,
    ) -> Option<TeamName> {
        let open_grant = self.grants.get(&number)?.clone();
        let grant = self.grant_ref(number);
        if let Some(owned) = self.pools.get_mut(&open_grant.pool) {
            owned.end_use(now, &grant, ending);
        }
        if ending == Ending::Lost {
            return None;
        }
        self.grants.remove(&number);
        self.by_ticket.remove(&open_grant.ticket);
        let Lane::Team(team) = open_grant.lane else { return None };
        self.teams.get_mut(&team)?.release(number);
        Some(team)
    }

    /// Ends the grants whose deadline has passed without a release.
    pub(super) fn end_overdue_grants(&mut self, now: Moment) {
        let over = self.grants.iter().filter(|(_, it)| it.until <= now);
        for number in over.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.end_grant(now, number, Ending::Unsent);
        }
    }

    fn set_base(&mut self, team: &TeamName) {
        let base = self.base(team);
        if let Some(holder) = self.teams.get_mut(team) {
            holder.set_base(base);
        }
    }

    /// Returns the units of a team that this host keeps without demand, to lend them when others need them.
    ///
    /// Each member of the view keeps an equal part of the reserve of each limit. A reserve that is too small to be
    /// divided is kept by one member.
    fn base(&self, team: &TeamName) -> Units {
        if self.live.is_empty() {
            return 0;
        }
        let limit = self.config.teams.get(team).map_or(0, |it| it.upper_limit);
        let reserve = u64::from(limit) * u64::from(self.bounds.reserve_percent) / PERCENT;
        let reserve = Units::try_from(reserve).unwrap_or(limit);
        match reserve / self.live.len() as Units {
            0 if highest_weight(team.as_str(), self.live.keys()) == Some(&self.me) => reserve,
            equal_part => equal_part,
        }
    }

    fn upper_limit(&self, lane: &Lane) -> Option<Units> {
        let Lane::Team(team) = lane else { return None };
        self.config.teams.get(team).map(|it| it.upper_limit)
    }

    fn grant_ref(&self, number: GrantId) -> GrantRef {
        GrantRef { owner: self.me.clone(), incarnation: self.incarnation.clone(), number }
    }

    /// Grants queued requests of one team in every owned pool.
    pub(super) fn grant_waiting_of(&mut self, now: Moment, team: &TeamName) -> Vec<Action> {
        let lane = Lane::Team(team.clone());
        let waiting = self.pools.iter().filter(|(_, it)| it.queues.queued(&lane) > 0);
        let pools: Vec<PoolName> = waiting.map(|(name, _)| name.clone()).collect();
        let mut actions = Vec::new();
        for pool in pools {
            actions.extend(self.grant_waiting(now, &pool));
        }
        self.step_holder(now, team, &mut actions);
        actions
    }

    /// Adds the next steps of a team's holder to `actions`, given the units that the owned pools could use now.
    pub(super) fn step_holder(&mut self, now: Moment, team: &TeamName, actions: &mut Vec<Action>) {
        let lane = Lane::Team(team.clone());
        let wanted = self.pools.values().map(|it| it.units_wanted(now, &lane)).sum();
        self.set_base(team);
        let steps = self.teams.steps(now, team, wanted, &self.peers);
        let team = || team.clone();
        actions.extend(steps.into_iter().map(|step| match step {
            Step::Read => Action::ReadRow { team: team() },
            Step::Write { expected, row } => Action::WriteRow { team: team(), expected, row },
            Step::Ask(ask) => Action::AskLoan { team: team(), ask },
            Step::Return(ret) => Action::ReturnLoan { team: team(), ret },
            Step::Recall(recall) => Action::RecallLoan { team: team(), recall },
        }));
    }
}
