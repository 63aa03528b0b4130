//! One holder's state machine: its own units, its loans and the grants charged to them.

use fuchsiamill_model::{EntryName, FastMap, Moment, Units, Version};
use serde::{Deserialize, Serialize};

use super::{
    EscrowRow, EscrowTiming, GrantId, HolderId, LoanAsk, LoanId, LoanRecall, LoanReturn,
    Provenance,
    account::Account,
    loan::{Active, Asked, Borrowed, Lent},
};

mod borrow;
mod lend;
mod table;

/// A revision of a table row, as the table gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// How a team's upper limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It was raised, or set for the first time.
    Raised,
    /// It was lowered, or entries of the log were passed over so that it may have been.
    Lowered,
}

/// What became of a table write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and the row has this revision.
    Applied(Revision),
    /// The row had another revision; nothing was written.
    Conflict,
    /// The answer was lost; the write may have taken effect or may do so yet.
    Unknown,
}

/// What a holder wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the row and report it with [`Holder::handle_read`] or [`Holder::handle_read_failure`].
    Read,
    /// Write the row if it has the expected revision and report it with [`Holder::handle_write`].
    Write {
        /// The revision that the row must have.
        expected: Revision,
        /// The whole new row.
        row: EscrowRow,
    },
    /// Ask another holder for a loan.
    Ask(LoanAsk),
    /// Tell a lender of returned units.
    Return(LoanReturn),
    /// Tell a borrower that its loan is wanted back.
    Recall(LoanRecall),
}

/// Whether the units held in the row may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Title {
    /// An acknowledged write of this term names them.
    Confirmed,
    /// Standing was lost since the last acknowledged write.
    Unconfirmed,
}

/// Where a holder is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It starts work, lends and borrows.
    Serving,
    /// Its process stops: it gives back what is not in use.
    Leaving,
}

/// The table exchange that is under way; at most one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Idle,
    Reading { lowered_at: Version },
    Writing { lowered_at: Version, held: Units },
}

/// Whether the last exchange with the table had an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableHealth {
    Answers,
    Silent,
}

#[derive(Clone, Debug)]
struct Seen {
    row: EscrowRow,
    revision: Revision,
}

/// The place in the order of those who wait for a unit of this holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn(u64);

#[derive(Clone, Copy, Debug)]
struct Reserve {
    units: Units,
    turn: Turn,
    until: Moment,
}

/// One entry host's part in the upper limit of one team.
///
/// Every method that starts work, lends or steps needs majority standing at that moment; whoever
/// loses it calls [`Holder::lose_standing`] first.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    timing: EscrowTiming,
    stage: Stage,
    seen: Option<Seen>,
    applied: Version,
    lowered_at: Version,
    settled_at: Option<Version>,
    held: Units,
    title: Title,
    exchange: Exchange,
    read_at: Option<Moment>,
    wrote_at: Option<Moment>,
    ended: Vec<HolderId>,
    must_read: bool,
    table: TableHealth,
    surplus_since: Option<Moment>,
    queued: Units,
    base: Units,
    account: Account,
    lent: FastMap<LoanId, Lent>,
    reserved: FastMap<EntryName, Reserve>,
    /// The turn of this holder's own queue, while it waits and has nothing.
    own_turn: Option<Turn>,
    next_turn: u64,
    asked: FastMap<LoanId, Borrowed<Asked>>,
    borrowed: FastMap<LoanId, Borrowed<Active>>,
    refused: FastMap<EntryName, Moment>,
    next_number: u64,
}

impl Holder {
    /// A holder that has nothing; `lowered_at` is the version of the configuration it starts from.
    pub fn new(id: HolderId, timing: EscrowTiming, lowered_at: Version) -> Self {
        Self {
            id,
            timing,
            stage: Stage::Serving,
            seen: None,
            applied: lowered_at,
            lowered_at,
            settled_at: None,
            held: 0,
            title: Title::Unconfirmed,
            exchange: Exchange::Idle,
            read_at: None,
            wrote_at: None,
            ended: Vec::new(),
            must_read: true,
            table: TableHealth::Answers,
            surplus_since: None,
            queued: 0,
            base: 0,
            account: Account::default(),
            lent: FastMap::default(),
            reserved: FastMap::default(),
            own_turn: None,
            next_turn: 0,
            asked: FastMap::default(),
            borrowed: FastMap::default(),
            refused: FastMap::default(),
            next_number: 0,
        }
    }

    /// This holder's present id.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// The units on which work may start now.
    pub fn free(&self, now: Moment) -> Units {
        if !self.may_start() {
            return 0;
        }
        self.own_free().saturating_add(self.borrowed_free(now))
    }

    /// The units that this holder may use: its own that are not lent, and its loans.
    pub fn usable(&self, now: Moment) -> Units {
        let borrowed = self.borrowed.values().filter(|it| it.state.expires > now);
        let units: Units = borrowed.map(|it| it.state.units - it.state.returned).sum();
        self.held.saturating_sub(self.lent_units()) + units
    }

    /// The grants that are charged.
    pub fn running(&self) -> usize {
        self.account.len()
    }

    /// The units held in the row as far as this holder may rely on it.
    pub fn held(&self) -> Units {
        self.held
    }

    /// The units lent to others.
    pub fn lent_units(&self) -> Units {
        self.lent.values().map(Lent::out).sum()
    }

    /// The row as it was last seen.
    pub fn row(&self) -> Option<&EscrowRow> {
        self.seen.as_ref().map(|seen| &seen.row)
    }

    /// Charges a grant to a free unit until it is released or, at the latest, `until`.
    ///
    /// Returns `None`, and charges nothing, when no unit is free.
    pub fn charge(&mut self, now: Moment, grant: GrantId, until: Moment) -> Option<Provenance> {
        if !self.may_start() {
            return None;
        }
        let provenance = if self.own_free() > 0 {
            Provenance::Own
        } else {
            Provenance::Loan(self.use_loan(now)?)
        };
        self.account.charge(grant, provenance.clone(), until);
        self.own_turn = None;
        Some(provenance)
    }

    /// Frees the unit of a grant whose work has ended. Repeated and late calls change nothing.
    pub fn release(&mut self, grant: GrantId) {
        if let Some(Provenance::Loan(loan)) = self.account.release(grant)
            && let Some(borrowed) = self.borrowed.get_mut(&loan)
        {
            borrowed.state.in_use -= 1;
        }
    }

    /// Gives up what needs standing and begins a new term.
    ///
    /// Grants and loans that are out stay charged: their work may still run.
    pub fn lose_standing(&mut self) {
        self.id.term += 1;
        self.title = Title::Unconfirmed;
        self.must_read = true;
        self.reserved.clear();
        self.own_turn = None;
    }

    /// Stops for good: no work starts and nothing is lent any more. [`Holder::next`] goes on giving
    /// units back as the work on them ends; it needs no standing from now on.
    pub fn leave(&mut self) {
        if self.stage == Stage::Serving {
            self.lose_standing();
        }
        self.stage = Stage::Leaving;
        self.base = 0;
        self.ended.clear();
    }

    /// Whether the row names no units of this process any more and every loan was given back.
    pub fn has_left(&self) -> bool {
        let is_known = self.seen.is_none() || !self.must_read;
        let has_loans = !self.asked.is_empty() || !self.borrowed.is_empty();
        let is_idle = self.exchange == Exchange::Idle && !has_loans;
        is_idle && is_known && !self.is_in_row()
    }

    /// Tells that every entry up to `version` is applied; changes of this limit were told before.
    pub fn set_applied_version(&mut self, version: Version) {
        self.applied = self.applied.max(version);
    }

    /// Tells that the applied configuration changed the team's limit at `version`.
    pub fn limit_changed(&mut self, change: LimitChange, version: Version) {
        self.must_read = true;
        if change == LimitChange::Lowered {
            self.lowered_at = self.lowered_at.max(version);
        }
    }

    /// Has the next write remove holders whose work has ended, as a [`super::Reclaimer`] found.
    pub fn reclaim(&mut self, ended: Vec<HolderId>) {
        self.ended = ended;
    }

    /// Sets the units that this holder takes and keeps without demand, so that they can be lent
    /// while the table does not answer.
    pub fn set_base(&mut self, base: Units) {
        if self.stage == Stage::Serving {
            self.base = base;
        }
    }

    /// What to do next, when `queued` requests wait and `peers` are the other hosts of the view.
    pub fn next(&mut self, now: Moment, queued: Units, peers: &[EntryName]) -> Vec<Step> {
        self.queued = queued;
        self.expire(now);
        let peers = match self.stage {
            Stage::Serving => peers,
            Stage::Leaving => &[],
        };
        self.recall_of_leaving(now, peers);
        let mut steps = Vec::new();
        steps.extend(self.table_step(now));
        self.return_steps(now, &mut steps);
        self.renew_steps(now, &mut steps);
        self.ask_steps(now, peers, &mut steps);
        self.take_turn(now);
        self.recall_steps(now, &mut steps);
        steps
    }

    fn expire(&mut self, now: Moment) {
        for grant in self.account.ended(now) {
            self.release(grant);
        }
        self.lent.retain(|_, lent| lent.until > now && lent.out() > 0);
        self.reserved.retain(|_, reserve| reserve.until > now);
        self.borrowed.retain(|_, borrowed| borrowed.state.expires > now);
        let loan = self.timing.loan;
        self.asked.retain(|_, asked| asked.state.at + loan > now);
        self.refused.retain(|_, until| *until > now);
    }

    fn may_start(&self) -> bool {
        self.stage == Stage::Serving && self.is_settled()
    }

    /// Whether the sum of holdings was seen to keep the newest limit that is known.
    fn is_settled(&self) -> bool {
        self.settled_at.is_some_and(|version| version >= self.lowered_at)
    }

    /// The newest version for which the sum of holdings is known to keep the limit: no limit was
    /// lowered between that at which it was seen and the one that is applied.
    fn settled_as_of(&self) -> Option<Version> {
        match self.is_settled() {
            true => self.settled_at.max(Some(self.applied)),
            false => self.settled_at,
        }
    }

    fn in_use(&self) -> Units {
        self.account.own() + self.lent_units()
    }

    fn reserved(&self) -> Units {
        self.reserved.values().map(|reserve| reserve.units).sum()
    }

    fn unused(&self) -> Units {
        self.held.saturating_sub(self.in_use())
    }

    /// The units reserved for those whose turn comes before `turn`, or for all without one.
    fn reserved_before(&self, turn: Option<Turn>) -> Units {
        let is_before = |it: &&Reserve| turn.is_none_or(|turn| it.turn < turn);
        self.reserved.values().filter(is_before).map(|reserve| reserve.units).sum()
    }

    fn next_turn(&mut self) -> Turn {
        self.next_turn += 1;
        Turn(self.next_turn)
    }

    fn own_free(&self) -> Units {
        match self.title {
            Title::Confirmed => self.unused().saturating_sub(self.reserved_before(self.own_turn)),
            Title::Unconfirmed => 0,
        }
    }
}
