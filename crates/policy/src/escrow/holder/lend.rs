//! The lender side of a holder.

use fuchsiamill_model::{Millisecond, Moment, Units};

use super::{Holder, HoldingStatus, Lent, Reservation, Step};
use crate::escrow::{LoanAnswer, LoanAsk, LoanRecall, LoanReturn};

/// How long units stay reserved after a borrower's last request.
const RESERVATION_DURATION: Millisecond = 500;
/// How long after a recall the same loan is recalled again if it has not come back.
const RECALL_RETRY_INTERVAL: Millisecond = 500;

impl Holder {
    /// Answers a borrower's request. Lent units are subtracted before the answer is sent.
    ///
    /// If no units are available, the next free ones are reserved for a borrower that has less than
    /// an even part, so that its next request gets them.
    pub fn lend(&mut self, now: Moment, ask: &LoanAsk) -> LoanAnswer {
        self.expire(now);
        let units = self.lend_units(now, ask);
        LoanAnswer { id: ask.id.clone(), ask: ask.ask, units, settled_at: self.settled_version() }
    }

    /// Handles a return of lent units.
    pub fn handle_return(&mut self, ret: &LoanReturn) {
        if let Some(lent) = self.lent.get_mut(&ret.id) {
            lent.returned = lent.returned.max(ret.returned).min(lent.units);
        }
    }

    fn lend_units(&mut self, now: Moment, ask: &LoanAsk) -> Units {
        if self.holding_status == HoldingStatus::Unconfirmed || !self.may_start() {
            return 0;
        }
        let until = now + self.timing.outstanding();
        if let Some(lent) = self.lent.get_mut(&ask.id) {
            lent.until = until;
            return lent.units;
        }
        let units = self.available_for(ask).min(ask.want);
        if units == 0 {
            self.reserve_for(now, ask);
            return 0;
        }
        self.reserved.remove(&ask.id.borrower.entry);
        let lent = Lent { units, returned: 0, since: now, until, recalled: None };
        self.lent.insert(ask.id.clone(), lent);
        units
    }

    fn available_for(&self, ask: &LoanAsk) -> Units {
        let own = self.reserved.get(&ask.id.borrower.entry);
        let reserved_units = own.map_or(0, |it| it.units);
        let not_reserved_earlier =
            self.unused().saturating_sub(self.reserved_before(own.map(|it| it.turn)));
        let idle = self.unused().saturating_sub(self.reserved() + self.queued);
        not_reserved_earlier.min(idle + reserved_units)
    }

    /// Reserves units up to an even part for a borrower; at least one if it has none, however many borrowers ask.
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
            Some(reservation) => reservation.turn,
            None => self.next_turn(),
        };
        self.reserved
            .insert(entry.clone(), Reservation { units, turn, until: now + RESERVATION_DURATION });
    }

    /// Gives this holder's own queue a turn among the borrowers while requests wait and no unit is in use or free.
    pub(super) fn update_own_turn(&mut self, now: Moment) {
        let has_any = self.charges.len() > 0 || self.own_free() + self.borrowed_free(now) > 0;
        if self.queued == 0 {
            self.own_turn = None;
        } else if self.held > 0 && self.own_turn.is_none() && !has_any {
            self.own_turn = Some(self.next_turn());
        }
    }

    /// Recalls the oldest loans while more units are awaited than are unused.
    pub(super) fn recall_steps(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let awaited = self.reserved() + Units::from(self.own_turn.is_some());
        let mut shortage = awaited.saturating_sub(self.unused());
        let is_recent =
            |lent: &Lent| lent.recalled.is_some_and(|at| now.since(at) < RECALL_RETRY_INTERVAL);
        let being_recalled: Units =
            self.lent.values().filter(|it| is_recent(it)).map(Lent::units_out).sum();
        shortage = shortage.saturating_sub(being_recalled);
        let mut loans: Vec<_> = self.lent.iter_mut().filter(|(_, it)| !is_recent(it)).collect();
        loans.sort_by_key(|(id, lent)| (lent.since, (*id).clone()));
        for (id, lent) in loans {
            if shortage == 0 {
                return;
            }
            shortage = shortage.saturating_sub(lent.units_out());
            lent.recalled = Some(now);
            steps.push(Step::Recall(LoanRecall { id: id.clone() }));
        }
    }
}
