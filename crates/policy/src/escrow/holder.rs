//! The state machine of one holder: its own units, its loans and the grants that are charged to them.

use fuchsiamill_model::{EntryName, FastMap, Moment, Units, Version};
use serde::{Deserialize, Serialize};

use super::{
    EscrowRow, EscrowTiming, GrantId, HolderId, LoanAsk, LoanId, LoanRecall, LoanReturn,
    Provenance,
    charges::Charges,
    loan::{Active, Borrowed, Lent, PendingAsk},
};

mod borrow;
mod lend;
mod table;

/// The revision of a table row, as assigned by the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// How a team's upper limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit was raised, or set for the first time.
    Raised,
    /// The limit was lowered, or log entries were skipped so that it may have been lowered.
    Lowered,
}

/// The outcome of a table write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row now has this revision.
    Applied(Revision),
    /// The row had another revision; nothing was written.
    Conflict,
    /// No answer came; the write may have taken effect or may still take effect.
    Unknown,
}

/// An action that the caller carries out for a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the row and report the result with [`Holder::handle_read`] or [`Holder::handle_read_failure`].
    Read,
    /// Write the row if it has the expected revision, and report the outcome with [`Holder::handle_write`].
    Write {
        /// The revision that the row must have.
        expected: Revision,
        /// The new row.
        row: EscrowRow,
    },
    /// Ask another holder for a loan.
    Ask(LoanAsk),
    /// Notify a lender of returned units.
    Return(LoanReturn),
    /// Recall a loan from its borrower.
    Recall(LoanRecall),
}

/// Whether the units that the row records for this holder may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldingStatus {
    /// An acknowledged write of this term records them.
    Confirmed,
    /// Majority standing was lost since the last acknowledged write.
    Unconfirmed,
}

/// The stage of a holder's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The holder starts work, lends and borrows.
    Serving,
    /// The process is shutting down; the holder gives back all units that are not in use.
    Leaving,
}

/// The table request in flight; at most one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableRequest {
    Idle,
    Reading { lowered_at: Version },
    Writing { lowered_at: Version, held: Units },
}

/// Whether the last table request had an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableHealth {
    Reachable,
    Unreachable,
}

#[derive(Clone, Debug)]
struct KnownRow {
    row: EscrowRow,
    revision: Revision,
}

/// The position in the queue for units of this holder; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn(u64);

#[derive(Clone, Copy, Debug)]
struct Reservation {
    units: Units,
    turn: Turn,
    until: Moment,
}

/// One entry host's part in enforcing the upper limit of one team.
///
/// Methods that start work, lend or return steps may be called only while the host has majority
/// standing. After a loss of standing, [`Holder::lose_standing`] has to be called before them.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    timing: EscrowTiming,
    stage: Stage,
    known_row: Option<KnownRow>,
    applied: Version,
    lowered_at: Version,
    settled_at: Option<Version>,
    held: Units,
    holding_status: HoldingStatus,
    table_request: TableRequest,
    read_at: Option<Moment>,
    wrote_at: Option<Moment>,
    reclaimable: Vec<HolderId>,
    must_read: bool,
    table: TableHealth,
    surplus_since: Option<Moment>,
    queued: Units,
    base: Units,
    charges: Charges,
    lent: FastMap<LoanId, Lent>,
    reserved: FastMap<EntryName, Reservation>,
    /// The turn of this holder's own queue; `None` unless requests wait and no unit is in use or free.
    own_turn: Option<Turn>,
    next_turn: u64,
    asked: FastMap<LoanId, Borrowed<PendingAsk>>,
    borrowed: FastMap<LoanId, Borrowed<Active>>,
    refused_until: FastMap<EntryName, Moment>,
    next_number: u64,
}

impl Holder {
    /// Creates a holder without units; `lowered_at` is the version of the configuration that it starts from.
    pub fn new(id: HolderId, timing: EscrowTiming, lowered_at: Version) -> Self {
        Self {
            id,
            timing,
            stage: Stage::Serving,
            known_row: None,
            applied: lowered_at,
            lowered_at,
            settled_at: None,
            held: 0,
            holding_status: HoldingStatus::Unconfirmed,
            table_request: TableRequest::Idle,
            read_at: None,
            wrote_at: None,
            reclaimable: Vec::new(),
            must_read: true,
            table: TableHealth::Reachable,
            surplus_since: None,
            queued: 0,
            base: 0,
            charges: Charges::default(),
            lent: FastMap::default(),
            reserved: FastMap::default(),
            own_turn: None,
            next_turn: 0,
            asked: FastMap::default(),
            borrowed: FastMap::default(),
            refused_until: FastMap::default(),
            next_number: 0,
        }
    }

    /// Returns the id of this holder in its present term.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns the units on which work may start now.
    pub fn free(&self, now: Moment) -> Units {
        if !self.may_start() {
            return 0;
        }
        self.own_free().saturating_add(self.borrowed_free(now))
    }

    /// Returns the units that this holder may use: its own that are not lent, and those it has on loan.
    pub fn usable(&self, now: Moment) -> Units {
        let borrowed = self.borrowed.values().filter(|it| it.state.expires > now);
        let units: Units = borrowed.map(|it| it.state.units - it.state.returned).sum();
        self.held.saturating_sub(self.lent_units()) + units
    }

    /// Returns the number of grants that are charged to units.
    pub fn running(&self) -> usize {
        self.charges.len()
    }

    /// Returns the units that the row certainly records for this holder.
    pub fn held(&self) -> Units {
        self.held
    }

    /// Returns the units that are lent to other holders.
    pub fn lent_units(&self) -> Units {
        self.lent.values().map(Lent::units_out).sum()
    }

    /// Returns the row as last read or written; `None` before the first answer of the table.
    pub fn row(&self) -> Option<&EscrowRow> {
        self.known_row.as_ref().map(|known| &known.row)
    }

    /// Charges a grant to a free unit until its release, or until `until` at the latest.
    ///
    /// Returns `None` and charges nothing if no unit is free.
    pub fn charge(&mut self, now: Moment, grant: GrantId, until: Moment) -> Option<Provenance> {
        if !self.may_start() {
            return None;
        }
        let provenance = if self.own_free() > 0 {
            Provenance::Own
        } else {
            Provenance::Loan(self.use_loan(now)?)
        };
        self.charges.charge(grant, provenance.clone(), until);
        self.own_turn = None;
        Some(provenance)
    }

    /// Frees the unit of a grant whose work has ended. Repeated and late calls have no effect.
    pub fn release(&mut self, grant: GrantId) {
        if let Some(Provenance::Loan(loan)) = self.charges.release(grant)
            && let Some(borrowed) = self.borrowed.get_mut(&loan)
        {
            borrowed.state.in_use -= 1;
        }
    }

    /// Drops reservations and the right to use held units, and begins a new term.
    ///
    /// Grants and lent units stay charged, because their work may still run.
    pub fn lose_standing(&mut self) {
        self.id.term += 1;
        self.holding_status = HoldingStatus::Unconfirmed;
        self.must_read = true;
        self.reserved.clear();
        self.own_turn = None;
    }

    /// Stops starting work and lending units, for good. [`Holder::next`] goes on giving units back as
    /// the work on them ends, and needs no standing from now on.
    pub fn leave(&mut self) {
        if self.stage == Stage::Serving {
            self.lose_standing();
        }
        self.stage = Stage::Leaving;
        self.base = 0;
        self.reclaimable.clear();
    }

    /// Returns whether the row has no units of this process left and every loan was returned.
    pub fn has_left(&self) -> bool {
        let is_known = self.known_row.is_none() || !self.must_read;
        let has_loans = !self.asked.is_empty() || !self.borrowed.is_empty();
        let is_idle = self.table_request == TableRequest::Idle && !has_loans;
        is_idle && is_known && !self.is_in_row()
    }

    /// Records that all log entries up to `version` are applied. Changes of this limit among them must have been
    /// reported to [`Holder::limit_changed`] before.
    pub fn set_applied_version(&mut self, version: Version) {
        self.applied = self.applied.max(version);
    }

    /// Records that the applied configuration changed the team's limit at `version`.
    pub fn limit_changed(&mut self, change: LimitChange, version: Version) {
        self.must_read = true;
        if change == LimitChange::Lowered {
            self.lowered_at = self.lowered_at.max(version);
        }
    }

    /// Sets the holders that the next write removes, as found by a [`super::Reclaimer`].
    pub fn reclaim(&mut self, reclaimable: Vec<HolderId>) {
        self.reclaimable = reclaimable;
    }

    /// Sets the units that this holder acquires and keeps even without demand, so that they can be
    /// lent while the table does not answer.
    pub fn set_base(&mut self, base: Units) {
        if self.stage == Stage::Serving {
            self.base = base;
        }
    }

    /// Returns the next steps. `queued` requests wait, and `peers` are the other hosts of the view.
    pub fn next(&mut self, now: Moment, queued: Units, peers: &[EntryName]) -> Vec<Step> {
        self.queued = queued;
        self.expire(now);
        let peers = match self.stage {
            Stage::Serving => peers,
            Stage::Leaving => &[],
        };
        self.recall_loans_of_absent_lenders(now, peers);
        let mut steps = Vec::new();
        steps.extend(self.table_step(now));
        self.return_steps(now, &mut steps);
        self.renew_steps(now, &mut steps);
        self.ask_steps(now, peers, &mut steps);
        self.update_own_turn(now);
        self.recall_steps(now, &mut steps);
        steps
    }

    fn expire(&mut self, now: Moment) {
        for grant in self.charges.expired(now) {
            self.release(grant);
        }
        self.lent.retain(|_, lent| lent.until > now && lent.units_out() > 0);
        self.reserved.retain(|_, reservation| reservation.until > now);
        self.borrowed.retain(|_, borrowed| borrowed.state.expires > now);
        let loan = self.timing.loan;
        self.asked.retain(|_, asked| asked.state.asked_at + loan > now);
        self.refused_until.retain(|_, until| *until > now);
    }

    fn may_start(&self) -> bool {
        self.stage == Stage::Serving && self.is_settled()
    }

    /// Returns whether the sum of holdings is known to be within the newest known limit.
    fn is_settled(&self) -> bool {
        self.settled_at.is_some_and(|version| version >= self.lowered_at)
    }

    /// Returns the newest version for which the sum of holdings is known to be within the limit. That is the applied
    /// version if the limit was not lowered after the version for which the sum was last checked.
    fn settled_version(&self) -> Option<Version> {
        match self.is_settled() {
            true => self.settled_at.max(Some(self.applied)),
            false => self.settled_at,
        }
    }

    fn in_use(&self) -> Units {
        self.charges.own_in_use() + self.lent_units()
    }

    fn reserved(&self) -> Units {
        self.reserved.values().map(|reservation| reservation.units).sum()
    }

    fn unused(&self) -> Units {
        self.held.saturating_sub(self.in_use())
    }

    /// Returns the units reserved for borrowers whose turn is before `turn`, or for all if `turn` is `None`.
    fn reserved_before(&self, turn: Option<Turn>) -> Units {
        let is_before = |it: &&Reservation| turn.is_none_or(|turn| it.turn < turn);
        self.reserved.values().filter(is_before).map(|reservation| reservation.units).sum()
    }

    fn next_turn(&mut self) -> Turn {
        self.next_turn += 1;
        Turn(self.next_turn)
    }

    fn own_free(&self) -> Units {
        match self.holding_status {
            HoldingStatus::Confirmed => {
                self.unused().saturating_sub(self.reserved_before(self.own_turn))
            }
            HoldingStatus::Unconfirmed => 0,
        }
    }
}
