//! The holder as a lender.

use fuchsiamill_model::{Millisecond, Moment, Units};

use super::{Holder, Lent, Reserve, Title};
use crate::escrow::{LoanAnswer, LoanAsk, LoanReturn};

const RESERVE_TIME: Millisecond = 1_000;

impl Holder {
    /// Answers a borrower; what it lends is subtracted before the answer is sent.
    ///
    /// When nothing is spare, units that become free are reserved for a borrower that has less
    /// than an even part, so that its next request finds them.
    pub fn lend(&mut self, now: Moment, ask: &LoanAsk) -> LoanAnswer {
        self.expire(now);
        let units = self.lend_units(now, ask);
        LoanAnswer { id: ask.id.clone(), ask: ask.ask, units, settled_at: self.settled_as_of() }
    }

    /// Takes returned units back.
    pub fn take_back(&mut self, ret: &LoanReturn) {
        if let Some(lent) = self.lent.get_mut(&ret.id) {
            lent.returned = lent.returned.max(ret.returned).min(lent.units);
        }
    }

    fn lend_units(&mut self, now: Moment, ask: &LoanAsk) -> Units {
        if self.title == Title::Unconfirmed || !self.may_start() {
            return 0;
        }
        let until = now + self.terms.outstanding();
        if let Some(lent) = self.lent.get_mut(&ask.id) {
            lent.until = until;
            return lent.units;
        }
        let units = self.spare_for(ask).min(ask.want);
        if units == 0 {
            self.reserve_for(now, ask);
            return 0;
        }
        self.reserved.remove(&ask.id.borrower.entry);
        self.lent.insert(ask.id.clone(), Lent { units, returned: 0, until });
        units
    }

    fn spare_for(&self, ask: &LoanAsk) -> Units {
        let reserve = self.reserved.get(&ask.id.borrower.entry).map_or(0, |it| it.units);
        let unused = self.held.saturating_sub(self.in_use());
        let for_others = self.reserved() - reserve;
        let not_promised = unused.saturating_sub(for_others);
        let idle = unused.saturating_sub(self.reserved() + self.queued);
        not_promised.min(idle + reserve)
    }

    fn reserve_for(&mut self, now: Moment, ask: &LoanAsk) {
        let askers = self.reserved.len() as Units + 1;
        let even_part = self.held / (askers + 1);
        let units = even_part.saturating_sub(ask.has).min(ask.want);
        if units > 0 {
            let reserve = Reserve { units, until: now + RESERVE_TIME };
            self.reserved.insert(ask.id.borrower.entry.clone(), reserve);
        }
    }
}
