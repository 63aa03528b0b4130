//! Enforces the teams' upper limits across the fleet by units in escrow.
//!
//! A team's [`EscrowRow`] in the table records how many units each holder has; only conditional
//! writes change the row. Each entry host that owns a pool runs one [`Holder`] per team. A holder
//! starts work on units that it holds or has borrowed from another holder by message, so that no
//! request needs a table write.

mod charges;
mod holder;
mod loan;
mod reclaim;
mod row;
mod timing;

pub use charges::{GrantId, Provenance};
pub use holder::{Holder, LimitChange, Revision, Step, WriteOutcome};
pub use loan::{LoanAnswer, LoanAsk, LoanId, LoanRecall, LoanReturn};
pub use reclaim::Reclaimer;
pub use row::{EscrowRow, HolderId};
pub use timing::EscrowTiming;
