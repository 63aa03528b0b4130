//! Upper limits of teams, kept over the fleet by units in escrow.
//!
//! A team's [`EscrowRow`] in the table says which holder holds how many units; only conditional
//! writes change it. Each entry host that owns a pool runs one [`Holder`] per team. A holder starts
//! work on units that it holds or has borrowed by message, so that no request needs a table write.

mod account;
mod holder;
mod loan;
mod reclaim;
mod row;
mod timing;

pub use account::{GrantId, Provenance};
pub use holder::{Holder, LimitChange, Revision, Step, WriteOutcome};
pub use loan::{LoanAnswer, LoanAsk, LoanId, LoanRecall, LoanReturn};
pub use reclaim::Reclaimer;
pub use row::{EscrowRow, HolderId};
pub use timing::EscrowTiming;
