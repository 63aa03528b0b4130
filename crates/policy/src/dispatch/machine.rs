//! The state machine of one entry host's dispatcher.

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
        EscrowRow, EscrowTiming, GrantId, Holder, HolderId, LoanAnswer, LoanAsk, LoanRecall,
        LoanReturn, Revision, WriteOutcome,
    },
    shares::{Lane, LaneSettings, Nearness, Ticket},
    slots::Intake,
};

mod answers;
mod grants;
mod upkeep;

/// Bounds of dispatch, the same on every entry host of a site.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time limits of units and grants.
    pub timing: EscrowTiming,
    /// How long an ask stays open before it is answered with [`Answer::Queued`], in milliseconds.
    pub ask_timeout: Millisecond,
    /// The longest time that a new owner of a pool waits for reports, in milliseconds.
    pub take_over_timeout: Millisecond,
    /// The part of each upper limit that the entry hosts keep to lend while the table is down, in percent.
    pub reserve_percent: u32,
    /// The settings of [`Lane::Open`].
    pub open: LaneSettings,
}

/// Something for the caller of the dispatcher to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer the open ask of a request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer to its newest ask.
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
    /// Return borrowed units to their lender.
    ReturnLoan {
        /// The team.
        team: TeamName,
        /// The message.
        ret: LoanReturn,
    },
    /// Ask a borrower to return a loan.
    RecallLoan {
        /// The team.
        team: TeamName,
        /// The message.
        recall: LoanRecall,
    },
}

/// A grant of this host that is not released.
#[derive(Clone, Debug)]
struct OpenGrant {
    pool: PoolName,
    lane: Lane,
    ticket: Ticket,
    ask: u64,
    until: Moment,
}

/// The dispatcher of one entry host.
///
/// The caller checks that the host has majority standing before each call. When the host has lost it, the caller calls
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
    grants: FastMap<GrantId, OpenGrant>,
    by_ticket: FastMap<Ticket, GrantId>,
    next_grant: u64,
    ticked_at: Option<Moment>,
}

impl Dispatcher {
    /// Creates a dispatcher that owns no pool.
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
            teams: Teams::new(id, bounds.timing),
            grants: FastMap::default(),
            by_ticket: FastMap::default(),
            next_grant: 0,
            ticked_at: None,
        }
    }

    /// Applies a new configuration.
    pub fn configure(&mut self, now: Moment, config: Rc<Configuration>) -> Vec<Action> {
        let before = std::mem::replace(&mut self.config, config);
        self.teams.configure(&before, &self.config);
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.configure_pool(&pool);
        }
        self.tick(now)
    }

    /// Sets the members of the installed view, with the incarnations of their processes.
    pub fn set_members(&mut self, members: FastMap<EntryName, Incarnation>) {
        self.peers = members.keys().filter(|it| **it != self.me).cloned().collect();
        self.peers.sort();
        self.live = members;
    }

    /// Begins a tenure of a pool. Nothing is granted before each member's grants in the pool are reported with
    /// [`Dispatcher::report`], or [`Bounds::take_over_timeout`] has passed.
    pub fn begin_tenure(&mut self, now: Moment, pool: &PoolName) -> Vec<Action> {
        let mut actions = Vec::new();
        self.remove_pool(pool, &mut actions);
        let until = now + self.bounds.take_over_timeout;
        let owned = OwnedPool::new(self.live.keys().cloned(), until);
        self.pools.insert(pool.clone(), owned);
        self.configure_pool(pool);
        actions
    }

    /// Makes a tenure that just began wait for the report of an entry host that is leaving, too. The view no longer has
    /// that host, but its requests still run.
    pub fn await_leaving(&mut self, pool: &PoolName, entry: EntryName) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.await_report(entry);
        }
    }

    /// Ends a tenure. Queued requests are answered with [`Answer::NotOwner`]; grants stay charged to their units.
    pub fn end_tenure(&mut self, pool: &PoolName) -> Vec<Action> {
        let mut actions = Vec::new();
        self.remove_pool(pool, &mut actions);
        actions
    }

    /// Sets whether this host, the owner of a pool, may grant in it at present.
    pub fn set_grant_state(&mut self, now: Moment, pool: &PoolName, to: GrantState) -> Vec<Action> {
        let Some(owned) = self.pools.get_mut(pool) else { return Vec::new() };
        match owned.set_grant_state(to) {
            GrantState::Suspended if to == GrantState::Enabled => self.grant_waiting(now, pool),
            _ => Vec::new(),
        }
    }

    /// Ends every tenure, and begins a new term of holding units.
    pub fn lose_standing(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.remove_pool(&pool, &mut actions);
        }
        self.teams.lose_standing();
        self.live.clear();
        actions
    }

    /// Stops for good: ends every tenure, and gives units back as the work on them ends.
    pub fn leave(&mut self) -> Vec<Action> {
        let actions = self.lose_standing();
        self.teams.leave();
        actions
    }

    /// Does what is due after [`Dispatcher::leave`]; to be called periodically. Needs no standing.
    pub fn tick_leaving(&mut self, now: Moment) -> Vec<Action> {
        self.end_overdue_grants(now);
        let mut actions = Vec::new();
        for team in self.teams.names() {
            self.step_holder(now, &team, &mut actions);
        }
        actions
    }

    /// Returns whether every unit that this host held or borrowed was given back.
    pub fn has_left(&self) -> bool {
        self.teams.have_left()
    }

    /// Applies an entry host's report of its grants that are in use in a pool whose tenure just began.
    pub fn report(
        &mut self,
        now: Moment,
        pool: &PoolName,
        entry: &EntryName,
        in_flight: Vec<InFlight>,
    ) -> Vec<Action> {
        let Some(owned) = self.pools.get_mut(pool) else { return Vec::new() };
        owned.report(now, entry, in_flight, &self.bounds.timing);
        self.grant_waiting(now, pool)
    }

    /// Sets whether a backend server of a pool may get new work, as its signals and probes show.
    pub fn set_intake(&mut self, pool: &PoolName, host: &HostName, intake: Intake) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.slots.set_intake(host, intake);
        }
    }

    /// Handles an entry host's ask. An action of this or of a later call answers it.
    ///
    /// A newer ask for the same request shows that the entry host did not use a grant for an earlier one; that grant is
    /// ended as unsent.
    pub fn acquire(&mut self, now: Moment, req: Acquire) -> Vec<Action> {
        if let Some(number) = self.by_ticket.get(&req.ticket).copied() {
            if self.grants.get(&number).is_some_and(|it| it.ask >= req.ask) {
                return Vec::new();
            }
            self.end_grant(now, number, Ending::Unsent);
        }
        match self.enqueue(now, &req) {
            Ok(()) => self.grant_waiting(now, &req.pool),
            Err(answer) => vec![Action::Answer { ticket: req.ticket, answer }],
        }
    }

    /// Removes a request that its entry host has given up from its queue, and ends a grant for it as unsent.
    pub fn cancel(&mut self, now: Moment, pool: &PoolName, ticket: &Ticket) -> Vec<Action> {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.queues.remove_where(|it| &it.ticket == ticket);
        }
        if let Some(number) = self.by_ticket.get(ticket).copied() {
            self.end_grant(now, number, Ending::Unsent);
        }
        self.grant_waiting(now, pool)
    }

    /// Ends a released grant, also one of an earlier owner of the pool.
    pub fn release(&mut self, now: Moment, release: &Release) -> Vec<Action> {
        let is_own =
            release.grant.owner == self.me && release.grant.incarnation == self.incarnation;
        let mut actions = Vec::new();
        if is_own {
            if let Some(team) = self.end_grant(now, release.grant.number, release.ending) {
                actions.extend(self.grant_waiting_of(now, &team));
            }
        } else if let Some(owned) = self.pools.get_mut(&release.pool) {
            owned.end_use(now, &release.grant, release.ending);
        }
        actions.extend(self.grant_waiting(now, &release.pool));
        actions
    }

    /// Applies an escrow row that was read; `None` when no answer came or there is no row.
    pub fn row_read(
        &mut self,
        now: Moment,
        team: &TeamName,
        row: Option<(EscrowRow, Revision)>,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        match row {
            Some((row, revision)) => holder.handle_read(row, revision),
            None => holder.handle_read_failure(),
        }
        self.grant_waiting_of(now, team)
    }

    /// Applies the outcome of writing the escrow row `row`.
    pub fn row_written(
        &mut self,
        now: Moment,
        team: &TeamName,
        row: EscrowRow,
        outcome: WriteOutcome,
    ) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.handle_write(row, outcome);
        self.grant_waiting_of(now, team)
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
        self.step_holder(now, team, &mut actions);
        (answer, actions)
    }

    /// Handles a lender's recall of a loan.
    pub fn loan_recalled(&mut self, now: Moment, team: &TeamName, msg: &LoanRecall) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.handle_recall(now, msg);
        self.grant_waiting_of(now, team)
    }

    /// Applies a lender's answer to an ask for a loan.
    pub fn loan_answered(&mut self, now: Moment, team: &TeamName, msg: &LoanAnswer) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.handle_answer(now, msg);
        self.grant_waiting_of(now, team)
    }

    /// Applies a borrower's return of units.
    pub fn loan_returned(&mut self, now: Moment, team: &TeamName, msg: &LoanReturn) -> Vec<Action> {
        let Some(holder) = self.teams.get_mut(team) else { return Vec::new() };
        holder.handle_return(msg);
        self.grant_waiting_of(now, team)
    }

    /// Does what is due by time alone; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let span = self.ticked_at.map_or(0, |at| now.since(at));
        self.ticked_at = Some(now);
        self.end_overdue_grants(now);
        self.teams.reclaim(now, &self.live);
        let mut actions = Vec::new();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.tick_pool(now, span, &pool, &mut actions);
            actions.extend(self.grant_waiting(now, &pool));
        }
        for team in self.teams.names() {
            self.step_holder(now, &team, &mut actions);
        }
        actions
    }

    /// Returns whether nothing is queued, granted or being taken over.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.pools.values().all(OwnedPool::is_idle)
    }

    /// Returns whether this host owns a pool.
    pub fn owns(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns each owned pool with its slots that may get work, slots in use, queued requests and nearness to share.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, u32, u32, usize, &Nearness)> {
        self.pools.iter().map(|(name, it)| {
            (name, it.slots.open_slots(), it.slots.in_use(), it.queues.len(), &it.nearness)
        })
    }

    /// Returns every lane of the owned pools that has work or whose nearness to share was measured.
    pub fn lanes(&self) -> Vec<LaneUse> {
        self.pools.iter().flat_map(|(name, owned)| owned.lanes(name)).collect()
    }

    /// Returns the holder of each team's units at this host.
    pub fn holders(&self) -> impl Iterator<Item = (&TeamName, &Holder)> {
        self.teams.iter()
    }
}
