//! The grants that are charged to units, with the source of each unit.

use fuchsiamill_model::{FastMap, Moment, Units};
use serde::{Deserialize, Serialize};

use super::LoanId;

/// The number of a grant. One process never uses a number twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// The source of the unit that a grant uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provenance {
    /// A unit that the holder has in the table row.
    Own,
    /// A borrowed unit. The lender still counts the unit as lent when the loan ends.
    Loan(LoanId),
}

#[derive(Clone, Debug)]
struct Charge {
    provenance: Provenance,
    until: Moment,
}

/// The grants that are charged to the units of one holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Charges {
    by_grant: FastMap<GrantId, Charge>,
    own_in_use: Units,
}

impl Charges {
    /// Returns how many of the holder's own units are in use by grants.
    pub(super) fn own_in_use(&self) -> Units {
        self.own_in_use
    }

    pub(super) fn len(&self) -> usize {
        self.by_grant.len()
    }

    pub(super) fn charge(&mut self, grant: GrantId, provenance: Provenance, until: Moment) {
        if provenance == Provenance::Own {
            self.own_in_use += 1;
        }
        self.by_grant.insert(grant, Charge { provenance, until });
    }

    pub(super) fn release(&mut self, grant: GrantId) -> Option<Provenance> {
        let charge = self.by_grant.remove(&grant)?;
        if charge.provenance == Provenance::Own {
            self.own_in_use -= 1;
        }
        Some(charge.provenance)
    }

    /// Returns the grants whose deadline has passed without a release; their work has ended.
    pub(super) fn expired(&self, now: Moment) -> Vec<GrantId> {
        let expired = self.by_grant.iter().filter(|(_, charge)| charge.until <= now);
        expired.map(|(grant, _)| *grant).collect()
    }
}
