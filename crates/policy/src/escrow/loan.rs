//! Loans of units between holders of one team.

use fuchsiamill_model::{EntryName, Millisecond, Moment, Units, Version};
use serde::{Deserialize, Serialize};

use super::HolderId;

/// A loan, named by its borrower.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanId {
    /// The borrower.
    pub borrower: HolderId,
    /// The borrower's number of the loan, never used twice.
    pub number: u64,
}

/// A borrower's request for a loan, or for more time on one that it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanAsk {
    /// The loan.
    pub id: LoanId,
    /// The entry host that is asked.
    pub lender: EntryName,
    /// The borrower's number of this request, which the answer repeats.
    pub ask: u64,
    /// The units wanted.
    pub want: Units,
    /// The units that the borrower holds or has on loan already.
    pub has: Units,
}

/// A lender's answer to a [`LoanAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanAnswer {
    /// The loan.
    pub id: LoanId,
    /// The request that is answered.
    pub ask: u64,
    /// The units of the loan, none when the lender has none to spare.
    pub units: Units,
    /// The newest version whose limit the lender knows all holdings to keep.
    pub settled_at: Option<Version>,
}

/// A borrower's message that it will not start work on some units of a loan any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanReturn {
    /// The loan.
    pub id: LoanId,
    /// The lender.
    pub lender: EntryName,
    /// All units returned so far, so that a repeated or overtaken message changes nothing.
    pub returned: Units,
}

/// A lender's message that it wants a loan back, because somebody waits who has nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRecall {
    /// The loan.
    pub id: LoanId,
}

/// The state of a loan that was asked for and not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) ask: u64,
    pub(super) at: Moment,
}

/// The state of a loan that work may start on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Active {
    pub(super) units: Units,
    pub(super) returned: Units,
    pub(super) in_use: Units,
    pub(super) expires: Moment,
    pub(super) idle_since: Option<Moment>,
    /// From when on no work may start on it, because its lender wants it back.
    pub(super) recalled: Option<Moment>,
    pub(super) renewal: Option<Asked>,
}

/// A loan at its borrower.
#[derive(Clone, Debug)]
pub(super) struct Borrowed<S> {
    pub(super) lender: EntryName,
    pub(super) state: S,
}

impl Borrowed<Asked> {
    /// Takes the lender's answer; the loan's time began before the borrower asked.
    pub(super) fn granted(self, units: Units, loan: Millisecond) -> Borrowed<Active> {
        let expires = self.state.at + loan;
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
    /// The units that are not in use.
    pub(super) fn unused(&self) -> Units {
        self.state.units.saturating_sub(self.state.returned + self.state.in_use)
    }

    /// The units on which work may start.
    pub(super) fn free(&self, now: Moment) -> Units {
        match self.state.expires <= now || self.is_recalled(now) {
            true => 0,
            false => self.unused(),
        }
    }

    /// Whether the lender has the units that are not in use back.
    pub(super) fn is_recalled(&self, now: Moment) -> bool {
        self.state.recalled.is_some_and(|from| from <= now)
    }

    /// Lets no work start on the loan from `from` on.
    pub(super) fn recall(&mut self, from: Moment) {
        let earlier = self.state.recalled.unwrap_or(from).min(from);
        self.state.recalled = Some(earlier);
    }
}

/// A loan at its lender.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lent {
    pub(super) units: Units,
    pub(super) returned: Units,
    pub(super) since: Moment,
    pub(super) until: Moment,
    /// When the borrower was last told that the loan is wanted back.
    pub(super) recalled: Option<Moment>,
}

impl Lent {
    pub(super) fn out(&self) -> Units {
        self.units.saturating_sub(self.returned)
    }
}
