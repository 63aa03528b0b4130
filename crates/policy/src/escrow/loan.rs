//! Loans of units between holders of one team.

use fuchsiamill_model::{EntryName, Millisecond, Moment, Units, Version};
use serde::{Deserialize, Serialize};

use super::HolderId;

/// The id of a loan, chosen by the borrower.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanId {
    /// The borrower.
    pub borrower: HolderId,
    /// The borrower's number for the loan. A process never uses a number twice.
    pub number: u64,
}

/// A borrower's request for a loan, or for an extension of a loan that it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanAsk {
    /// The loan.
    pub id: LoanId,
    /// The entry host that is asked for the loan.
    pub lender: EntryName,
    /// The borrower's number for this request; the answer repeats it.
    pub ask: u64,
    /// The units wanted; 0 in a request for an extension.
    pub want: Units,
    /// The units that the borrower already holds or has on loan.
    pub has: Units,
}

/// A lender's answer to a [`LoanAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanAnswer {
    /// The loan.
    pub id: LoanId,
    /// The number of the request that is answered.
    pub ask: u64,
    /// The units of the loan; 0 if the lender refuses.
    pub units: Units,
    /// The newest configuration version for which the lender knows that the sum of all holdings is within the limit.
    pub settled_at: Option<Version>,
}

/// A borrower's message that it will start no more work on some units of a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanReturn {
    /// The loan.
    pub id: LoanId,
    /// The lender.
    pub lender: EntryName,
    /// The total of units returned so far, so that repeated and reordered messages do no harm.
    pub returned: Units,
}

/// A lender's message that it wants a loan back, because a holder without units is waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRecall {
    /// The loan.
    pub id: LoanId,
}

/// A request to a lender that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAsk {
    pub(super) ask: u64,
    pub(super) asked_at: Moment,
}

/// The state of a loan that the lender has granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Active {
    pub(super) units: Units,
    pub(super) returned: Units,
    pub(super) in_use: Units,
    pub(super) expires: Moment,
    pub(super) idle_since: Option<Moment>,
    /// The time from which no work may start on the loan; `None` if the lender has not recalled it.
    pub(super) recalled: Option<Moment>,
    pub(super) renewal: Option<PendingAsk>,
}

/// The borrower's record of a loan.
#[derive(Clone, Debug)]
pub(super) struct Borrowed<S> {
    pub(super) lender: EntryName,
    pub(super) state: S,
}

impl Borrowed<PendingAsk> {
    /// Makes the loan active. Its duration counts from just before the request, so that a late answer does not
    /// lengthen the loan.
    pub(super) fn activate(self, units: Units, loan: Millisecond) -> Borrowed<Active> {
        let expires = self.state.asked_at + loan;
        let state = Active {
            units,
            returned: 0,
            in_use: 0,
            expires,
            idle_since: None,
            recalled: None,
            renewal: None,
        };
        Borrowed { lender: self.lender, state }
    }
}

impl Borrowed<Active> {
    /// Returns the units that are neither in use nor returned.
    pub(super) fn unused(&self) -> Units {
        self.state.units.saturating_sub(self.state.returned + self.state.in_use)
    }

    /// Returns the units on which work may start.
    pub(super) fn free(&self, now: Moment) -> Units {
        match self.state.expires <= now || self.is_recalled(now) {
            true => 0,
            false => self.unused(),
        }
    }

    /// Returns whether work may no longer start on the loan because the lender recalled it.
    pub(super) fn is_recalled(&self, now: Moment) -> bool {
        self.state.recalled.is_some_and(|from| from <= now)
    }

    /// Forbids work to start on the loan from `from` on; an earlier recall stays in force.
    pub(super) fn recall(&mut self, from: Moment) {
        let earlier = self.state.recalled.unwrap_or(from).min(from);
        self.state.recalled = Some(earlier);
    }
}

/// The lender's record of a loan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lent {
    pub(super) units: Units,
    pub(super) returned: Units,
    pub(super) since: Moment,
    pub(super) until: Moment,
    /// When the loan was last recalled; `None` if never.
    pub(super) recalled: Option<Moment>,
}

impl Lent {
    pub(super) fn units_out(&self) -> Units {
        self.units.saturating_sub(self.returned)
    }
}
