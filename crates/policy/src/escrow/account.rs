//! The grants that are charged to units, each with where its unit came from.

use fuchsiamill_model::{FastMap, Moment, Units};
use serde::{Deserialize, Serialize};

use super::LoanId;

/// A grant of one owner, never used twice by one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// Where the unit of a grant came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Provenance {
    /// The holder's own units.
    Own,
    /// A loan; when it ends the lender goes on counting the unit.
    Loan(LoanId),
}

#[derive(Clone, Debug)]
struct Charge {
    provenance: Provenance,
    until: Moment,
}

/// The charged grants of one holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    charges: FastMap<GrantId, Charge>,
    own: Units,
}

impl Account {
    /// The units of the holder's own that grants use.
    pub(super) fn own(&self) -> Units {
        self.own
    }

    pub(super) fn len(&self) -> usize {
        self.charges.len()
    }

    pub(super) fn charge(&mut self, grant: GrantId, provenance: Provenance, until: Moment) {
        if provenance == Provenance::Own {
            self.own += 1;
        }
        self.charges.insert(grant, Charge { provenance, until });
    }

    pub(super) fn release(&mut self, grant: GrantId) -> Option<Provenance> {
        let charge = self.charges.remove(&grant)?;
        if charge.provenance == Provenance::Own {
            self.own -= 1;
        }
        Some(charge.provenance)
    }

    /// The grants whose work has ended by their deadline although no release came.
    pub(super) fn ended(&self, now: Moment) -> Vec<GrantId> {
        let ended = self.charges.iter().filter(|(_, charge)| charge.until <= now);
        ended.map(|(grant, _)| *grant).collect()
    }
}
