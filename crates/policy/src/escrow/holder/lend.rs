//! The holder as a lender.

use fuchsiamill_model::{Millisecond, Moment, Units};

use super::{Holder, Lent, Reserve, Step, Title};
use crate::escrow::{LoanAnswer, LoanAsk, LoanRecall, LoanReturn};

const RESERVE_TIME: Millisecond = 500;
const RECALL_AGAIN_TIME: Millisecond = 500;

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
    pub fn handle_return(&mut self, ret: &LoanReturn) {
        if let Some(lent) = self.lent.get_mut(&ret.id) {
            lent.returned = lent.returned.max(ret.returned).min(lent.units);
        }
    }

    fn lend_units(&mut self, now: Moment, ask: &LoanAsk) -> Units {
        if self.title == Title::Unconfirmed || !self.may_start() {
            return 0;
        }
        let until = now + self.timing.outstanding();
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
        let lent = Lent { units, returned: 0, since: now, until, recalled: None };
        self.lent.insert(ask.id.clone(), lent);
        units
    }

    fn spare_for(&self, ask: &LoanAsk) -> Units {
        let own = self.reserved.get(&ask.id.borrower.entry);
        let promised = own.map_or(0, |it| it.units);
        let not_promised =
            self.unused().saturating_sub(self.reserved_before(own.map(|it| it.turn)));
        let idle = self.unused().saturating_sub(self.reserved() + self.queued);
        not_promised.min(idle + promised)
    }

    /// At least one unit is reserved for a borrower that has none, however many ask.
    fn reserve_for(&mut self, now: Moment, ask: &LoanAsk) {
        if self.held == 0 {
            return;
        }
        let askers = self.reserved.len() as Units + 1;
        let even_part = (self.held / (askers + 1)).max(1);
        let units = even_part.saturating_sub(ask.has).min(ask.want);
        if units == 0 {
            return;
        }
        let entry = &ask.id.borrower.entry;
        let turn = match self.reserved.get(entry) {
            Some(reserve) => reserve.turn,
            None => self.next_turn(),
        };
        self.reserved.insert(entry.clone(), Reserve { units, turn, until: now + RESERVE_TIME });
    }

    /// Gives the own queue a turn among the borrowers while it waits and has nothing.
    pub(super) fn take_turn(&mut self, now: Moment) {
        let has_any = self.account.len() > 0 || self.own_free() + self.borrowed_free(now) > 0;
        if self.queued == 0 {
            self.own_turn = None;
        } else if self.held > 0 && self.own_turn.is_none() && !has_any {
            self.own_turn = Some(self.next_turn());
        }
    }

    /// Wants the oldest loans back while more units are waited for than are unused.
    pub(super) fn recall_steps(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let waited_for = self.reserved() + Units::from(self.own_turn.is_some());
        let mut short = waited_for.saturating_sub(self.unused());
        let is_recent =
            |lent: &Lent| lent.recalled.is_some_and(|at| now.since(at) < RECALL_AGAIN_TIME);
        let coming: Units = self.lent.values().filter(|it| is_recent(it)).map(Lent::out).sum();
        short = short.saturating_sub(coming);
        let mut loans: Vec<_> = self.lent.iter_mut().filter(|(_, it)| !is_recent(it)).collect();
        loans.sort_by_key(|(id, lent)| (lent.since, (*id).clone()));
        for (id, lent) in loans {
            if short == 0 {
                return;
            }
            short = short.saturating_sub(lent.out());
            lent.recalled = Some(now);
            steps.push(Step::Recall(LoanRecall { id: id.clone() }));
        }
    }
}
