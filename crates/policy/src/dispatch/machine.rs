//! The state machine of one entry host's dispatch.

use std::{collections::BTreeMap, rc::Rc};

use fuchsiamill_model::{
    Configuration, EntryName, FastMap, HostName, Incarnation, Millisecond, Moment, PoolName,
    TeamName,
};

use super::{
    Acquire, Answer, Ending, GrantState, InFlight, LaneUse, Release, pool::OwnedPool, units::Teams,
};
use crate::{
    escrow::{
        EscrowRow, GrantId, Holder, HolderId, LoanAnswer, LoanAsk, LoanRecall, LoanReturn,
        Revision, Terms, WriteOutcome,
    },
    shares::{Lane, LaneSettings, Nearness, Ticket},
    slots::Intake,
};

mod answers;
mod grants;
mod upkeep;

/// The bounds of dispatch that every entry host of a site shares.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time limits of units and grants.
    pub terms: Terms,
    /// How long an entry host's ask is left open before it has to ask again, in milliseconds.
    pub ask_timeout: Millisecond,
    /// How long a new owner waits for reports at the longest, in milliseconds.
    pub take_over_timeout: Millisecond,
    /// How much of each upper limit the entry hosts keep to lend while the table is down, in percent.
    pub reserve_percent: u32,
    /// What services open to all were promised.
    pub open: LaneSettings,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer the open ask of a ticket.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Read a team's escrow row and report it with [`Dispatcher::row_read`].
    ReadRow {
        /// The team.
        team: TeamName,
    },
    /// Write a team's escrow row and report it with [`Dispatcher::row_written`].
    WriteRow {
        /// The team.
        team: TeamName,
        /// The revision that the row must have.
        expected: Revision,
        /// The new row.
        row: EscrowRow,
    },
    /// Ask another entry host for a loan of units.
    AskLoan {
        /// The team.
        team: TeamName,
        /// The request.
        ask: LoanAsk,
    },
    /// Tell a lender of returned units.
    ReturnLoan {
        /// The team.
        team: TeamName,
        /// The message.
        ret: LoanReturn,
    },
    /// Tell a borrower that its loan is wanted back.
    RecallLoan {
        /// The team.
        team: TeamName,
        /// The message.
        recall: LoanRecall,
    },
}

/// A grant that this host gave and that is not released.
#[derive(Clone, Debug)]
struct Given {
    pool: PoolName,
    lane: Lane,
    ticket: Ticket,
    ask: u64,
    until: Moment,
}

/// The dispatch of one entry host.
///
/// Whoever drives it checks majority standing before each call, and on losing it calls
/// [`Dispatcher::lose_standing`] before anything else.
#[derive(Debug)]
pub struct Dispatcher {
    me: EntryName,
    incarnation: Incarnation,
    bounds: Bounds,
    config: Rc<Configuration>,
    live: FastMap<EntryName, Incarnation>,
    peers: Vec<EntryName>,
    pools: BTreeMap<PoolName, OwnedPool>,
    teams: Teams,
    grants: FastMap<GrantId, Given>,
    by_ticket: FastMap<Ticket, GrantId>,
    next_grant: u64,
    ticked_at: Option<Moment>,
}

impl Dispatcher {
    /// A dispatch that owns nothing.
    pub fn new(me: EntryName, incarnation: Incarnation, bounds: Bounds) -> Self {
        let id = HolderId { entry: me.clone(), incarnation: incarnation.clone(), term: 0 };
        Self {
            me,
            incarnation,
            bounds,
            config: Rc::default(),
            live: FastMap::default(),
            peers: Vec::new(),
            pools: BTreeMap::new(),
            teams: Teams::new(id, bounds.terms),
            grants: FastMap::default(),
            by_ticket: FastMap::default(),
            next_grant: 0,
            ticked_at: None,
        }
    }

    /// Takes a new configuration.
    pub fn configure(&mut self, now: Moment, config: Rc<Configuration>) -> Vec<Action> {
        let before = std::mem::replace(&mut self.config, config);
        self.teams.configure(&before, &self.config);
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.configure_pool(&pool);
        }
        self.tick(now)
    }

    /// Takes the processes of the installed view.
    pub fn set_members(&mut self, members: FastMap<EntryName, Incarnation>) {
        self.peers = members.keys().filter(|it| **it != self.me).cloned().collect();
        self.peers.sort();
        self.live = members;
    }

    /// Begins a tenure of a pool. Each member's grants in it are to be reported with
    /// [`Dispatcher::report`] before anything is granted.
    pub fn begin_tenure(&mut self, now: Moment, pool: &PoolName) -> Vec<Action> {
        let mut actions = Vec::new();
        self.disown(pool, &mut actions);
        let until = now + self.bounds.take_over_timeout;
        let owned = OwnedPool::new(self.live.keys().cloned(), until);
        self.pools.insert(pool.clone(), owned);
        self.configure_pool(pool);
        actions
    }

    /// Waits in a tenure that just began for the report of an entry host that is leaving, too: the view no longer has
    /// it, and what it runs goes on.
    pub fn await_leaving(&mut self, pool: &PoolName, entry: EntryName) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.await_report(entry);
        }
    }

    /// Ends a tenure: the queue is sent to the new owner; what is granted stays charged.
    pub fn end_tenure(&mut self, pool: &PoolName) -> Vec<Action> {
        let mut actions = Vec::new();
        self.disown(pool, &mut actions);
        actions
    }

    /// Sets whether the owner of a pool may grant at present.
    pub fn set_grant_state(
        &mut self,
        now: Moment,
        pool: &PoolName,
        grant_state: GrantState,
    ) -> Vec<Action> {
        let Some(owned) = self.pools.get_mut(pool) else { return Vec::new() };
        match owned.set_grant_state(grant_state) {
            GrantState::Suspended if grant_state == GrantState::Enabled => self.pump(now, pool),
            _ => Vec::new(),
        }
    }

    /// Drops every pool, and begins a new term of holding units.
    pub fn lose_standing(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.disown(&pool, &mut actions);
        }
        self.teams.lose_standing();
        self.live.clear();
        actions
    }

    /// Stops for good: drops every pool and gives units back as the work on them ends.
    pub fn leave(&mut self) -> Vec<Action> {
        let actions = self.lose_standing();
        self.teams.leave();
        actions
    }

    /// What is due by time alone after [`Dispatcher::leave`]; needs no standing.
    pub fn tick_leaving(&mut self, now: Moment) -> Vec<Action> {
        self.end_overdue(now);
        let mut actions = Vec::new();
        for team in self.teams.names() {
            self.step(now, &team, &mut actions);
        }
        actions
    }

    /// Whether every unit that this host held or borrowed was given back.
    pub fn has_left(&self) -> bool {
        self.teams.have_left()
    }

    /// Takes what an entry host still runs in a pool that this host newly owns.
    pub fn report(
        &mut self,
        now: Moment,
        pool: &PoolName,
        entry: &EntryName,
        in_flight: Vec<InFlight>,
    ) -> Vec<Action> {
        let Some(owned) = self.pools.get_mut(pool) else { return Vec::new() };
        owned.report(now, entry, in_flight, &self.bounds.terms);
        self.pump(now, pool)
    }

    /// Takes what signals and probes say of a backend server of a pool.
    pub fn set_intake(&mut self, pool: &PoolName, host: &HostName, intake: Intake) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.slots.set_intake(host, intake);
        }
    }

    /// Takes an entry host's ask; it is answered by an action of this or of a later call.
    ///
    /// An entry host that asks again has not used a grant that its earlier ask led to.
    pub fn acquire(&mut self, now: Moment, req: Acquire) -> Vec<Action> {
        if let Some(number) = self.by_ticket.get(&req.ticket).copied() {
            if self.grants.get(&number).is_some_and(|it| it.ask >= req.ask) {
                return Vec::new();
            }
            self.end(now, number, Ending::Unsent);
        }
        match self.enqueue(now, &req) {
            Ok(()) => self.pump(now, &req.pool),
            Err(answer) => vec![Action::Answer { ticket: req.ticket, answer }],
        }
    }

    /// Takes a request out of its queue that its entry host has given up, with an unused grant.
    pub fn cancel(&mut self, now: Moment, pool: &PoolName, ticket: &Ticket) -> Vec<Action> {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.queues.remove_where(|it| &it.ticket == ticket);
        }
        if let Some(number) = self.by_ticket.get(ticket).copied() {
            self.end(now, number, Ending::Unsent);
        }
        self.pump(now, pool)
    }

    /// Takes a grant back, also one that an earlier owner of the pool gave.
    pub fn release(&mut self, now: Moment, release: &Release) -> Vec<Action> {
        let is_mine =
            release.grant.owner == self.me && release.grant.incarnation == self.incarnation;
        let mut actions = Vec::new();
        if is_mine {
            if let Some(team) = self.end(now, release.grant.number, release.ending) {
                actions.extend(self.pump_team(now, &team));
            }
        } else if let Some(owned) = self.pools.get_mut(&release.pool) {
            owned.end(now, &release.grant, release.ending);
        }
        actions.extend(self.pump(now, &release.pool));
        actions
    }

    /// Takes a row that was read, or `None` when no answer came or no row is there.
    pub fn row_read(
        &mut self,
        now: Moment,
        team: &TeamName,
        row: Option<(EscrowRow, Revision)>,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        match row {
            Some((row, revision)) => holder.read(row, revision),
            None => holder.read_failed(),
        }
        self.pump_team(now, team)
    }

    /// Takes the outcome of writing `row`.
    pub fn row_written(
        &mut self,
        now: Moment,
        team: &TeamName,
        row: EscrowRow,
        outcome: WriteOutcome,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.wrote(row, outcome);
        self.pump_team(now, team)
    }

    /// Answers another entry host's ask for units.
    pub fn lend(
        &mut self,
        now: Moment,
        team: &TeamName,
        ask: &LoanAsk,
    ) -> (LoanAnswer, Vec<Action>) {
        let Some(holder) = self.teams.get_mut(team) else {
            let id = ask.id.clone();
            return (LoanAnswer { id, ask: ask.ask, units: 0, settled_at: None }, Vec::new());
        };
        let answer = holder.lend(now, ask);
        let mut actions = Vec::new();
        self.step(now, team, &mut actions);
        (answer, actions)
    }

    /// Takes a lender's wish to have a loan back.
    pub fn loan_recalled(
        &mut self,
        now: Moment,
        team: &TeamName,
        recall: &LoanRecall,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.recalled(now, recall);
        self.pump_team(now, team)
    }

    /// Takes a lender's answer.
    pub fn loan_answered(
        &mut self,
        now: Moment,
        team: &TeamName,
        answer: &LoanAnswer,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.lent(now, answer);
        self.pump_team(now, team)
    }

    /// Takes units back from a borrower.
    pub fn loan_returned(&mut self, now: Moment, team: &TeamName, ret: &LoanReturn) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.take_back(ret);
        self.pump_team(now, team)
    }

    /// What is due by time alone; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let span = self.ticked_at.map_or(0, |at| now.since(at));
        self.ticked_at = Some(now);
        self.end_overdue(now);
        self.teams.reclaim(now, &self.live);
        let mut actions = Vec::new();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.tick_pool(now, span, &pool, &mut actions);
            actions.extend(self.pump(now, &pool));
        }
        for team in self.teams.names() {
            self.step(now, &team, &mut actions);
        }
        actions
    }

    /// Whether nothing is queued, granted or being taken over.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.pools.values().all(OwnedPool::is_idle)
    }

    /// Whether this host owns a pool.
    pub fn owns(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }

    /// Each owned pool: slots that may get work, slots in use, queued requests, nearness to share.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, u32, u32, usize, &Nearness)> {
        self.pools.iter().map(|(name, it)| {
            (name, it.slots.open_slots(), it.slots.in_use(), it.queues.len(), &it.nearness)
        })
    }

    /// Every lane of the owned pools that has work or had its share measured.
    pub fn lanes(&self) -> Vec<LaneUse> {
        self.pools.iter().flat_map(|(name, owned)| owned.lanes(name)).collect()
    }

    /// Each team's holder.
    pub fn holders(&self) -> impl Iterator<Item = (&TeamName, &Holder)> {
        self.teams.iter()
    }
}
