//! The borrower side of a holder.

use fuchsiamill_model::{EntryName, Millisecond, Moment, Units};

use super::{Active, Borrowed, Holder, PendingAsk, Step};
use crate::escrow::{LoanAnswer, LoanAsk, LoanId, LoanRecall, LoanReturn};

const MAX_PENDING_ASKS: usize = 2;
const REFUSAL_PAUSE: Millisecond = 200;
/// The pause after a refusal by a lender that has units; it has reserved the next free ones.
const RESERVED_PAUSE: Millisecond = 50;
/// How long work may still start on a loan after its lender recalled it.
const RECALL_GRACE: Millisecond = 100;

impl Holder {
    /// Handles a lender's answer. Late, repeated and unexpected answers give no units.
    pub fn handle_answer(&mut self, now: Moment, answer: &LoanAnswer) {
        self.record_settled(answer.settled_at);
        if let Some(borrowed) = self.borrowed.get_mut(&answer.id) {
            extend(&mut borrowed.state, answer, self.timing.loan);
            return;
        }
        let is_asked = self.asked.get(&answer.id).is_some_and(|it| it.state.ask == answer.ask);
        if !is_asked {
            return;
        }
        let Some(asked) = self.asked.remove(&answer.id) else { return };
        if answer.units == 0 {
            let pause = match self.held_by_entry(&asked.lender) {
                0 => REFUSAL_PAUSE,
                _ => RESERVED_PAUSE,
            };
            self.refused_until.insert(asked.lender, now + pause);
            return;
        }
        let granted = asked.activate(answer.units, self.timing.loan);
        self.borrowed.insert(answer.id.clone(), granted);
    }

    /// Handles a lender's recall of a loan.
    pub fn handle_recall(&mut self, now: Moment, recall: &LoanRecall) {
        if let Some(borrowed) = self.borrowed.get_mut(&recall.id) {
            borrowed.recall(now + RECALL_GRACE);
        }
    }

    pub(super) fn borrowed_free(&self, now: Moment) -> Units {
        self.borrowed.values().map(|it| it.free(now)).sum()
    }

    /// Uses a unit of the free loan that expires last.
    pub(super) fn use_loan(&mut self, now: Moment) -> Option<LoanId> {
        let (id, borrowed) = self
            .borrowed
            .iter_mut()
            .filter(|(_, it)| it.free(now) > 0)
            .max_by_key(|(_, it)| it.state.expires)?;
        borrowed.state.in_use += 1;
        Some(id.clone())
    }

    /// Recalls the loans whose lender is no longer among `peers`, because it is stopping or gone.
    pub(super) fn recall_loans_of_absent_lenders(&mut self, now: Moment, peers: &[EntryName]) {
        for borrowed in self.borrowed.values_mut() {
            if !peers.contains(&borrowed.lender) {
                borrowed.recall(now);
            }
        }
    }

    pub(super) fn return_steps(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let idle = self.timing.idle_loan;
        let mut needed = self.queued.saturating_sub(self.own_free());
        for (id, borrowed) in &mut self.borrowed {
            let kept = borrowed.free(now).min(needed);
            needed -= kept;
            let unused = borrowed.unused() - kept;
            let idle = if borrowed.state.recalled.is_some() { 0 } else { idle };
            let Some(since) = idle_since(&mut borrowed.state, unused, now) else { continue };
            if now.since(since) < idle {
                continue;
            }
            borrowed.state.returned += unused;
            steps.push(Step::Return(LoanReturn {
                id: id.clone(),
                lender: borrowed.lender.clone(),
                returned: borrowed.state.returned,
            }));
        }
    }

    pub(super) fn renew_steps(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let has = self.usable(now);
        let half = self.timing.loan / 2;
        for (id, borrowed) in &mut self.borrowed {
            let state = &mut borrowed.state;
            let is_used = state.returned < state.units && state.recalled.is_none();
            let is_asked = state.renewal.is_some_and(|it| now.since(it.asked_at) < half / 2);
            if !is_used || is_asked || now + half < state.expires {
                continue;
            }
            let ask = self.next_number;
            self.next_number += 1;
            state.renewal = Some(PendingAsk { ask, asked_at: now });
            let lender = borrowed.lender.clone();
            steps.push(Step::Ask(LoanAsk { id: id.clone(), lender, ask, want: 0, has }));
        }
    }

    pub(super) fn ask_steps(&mut self, now: Moment, peers: &[EntryName], steps: &mut Vec<Step>) {
        let mut unmet = self.unmet_demand(now);
        if unmet == 0 {
            return;
        }
        for lender in self.lenders(peers) {
            if unmet == 0 || self.asked.len() >= MAX_PENDING_ASKS {
                return;
            }
            let held = self.held_by_entry(&lender);
            let want = if held == 0 { unmet } else { unmet.min(held) };
            steps.push(Step::Ask(self.ask(now, lender, want)));
            unmet -= want;
        }
    }

    /// Returns the number of queued requests for which neither this holder nor the table has units.
    fn unmet_demand(&self, now: Moment) -> Units {
        let room = self.expected_room(now);
        let free = self.own_free() + self.reserved() + self.borrowed_free(now);
        self.queued.saturating_sub(free.saturating_add(room))
    }

    /// Returns the peers that can be asked for a loan, ordered by their units in the row, most first.
    fn lenders(&self, peers: &[EntryName]) -> Vec<EntryName> {
        let is_pending = |peer: &EntryName| self.asked.values().any(|it| &it.lender == peer);
        let is_open =
            |peer: &&EntryName| !self.refused_until.contains_key(*peer) && !is_pending(peer);
        let mut lenders: Vec<EntryName> = peers.iter().filter(is_open).cloned().collect();
        lenders.sort_by_key(|peer| std::cmp::Reverse(self.held_by_entry(peer)));
        lenders
    }

    fn held_by_entry(&self, entry: &EntryName) -> Units {
        let Some(row) = self.row() else { return 0 };
        row.held.iter().filter(|(id, _)| &id.entry == entry).map(|(_, units)| *units).sum()
    }

    fn ask(&mut self, now: Moment, lender: EntryName, want: Units) -> LoanAsk {
        let number = self.next_number;
        self.next_number += 1;
        let id = LoanId { borrower: self.id.clone(), number };
        let asked =
            Borrowed { lender: lender.clone(), state: PendingAsk { ask: number, asked_at: now } };
        self.asked.insert(id.clone(), asked);
        LoanAsk { id, lender, ask: number, want, has: self.usable(now) }
    }
}

/// Extends a loan; the new duration counts from the request for the extension.
fn extend(state: &mut Active, answer: &LoanAnswer, loan: Millisecond) {
    let Some(renewal) = state.renewal.filter(|it| it.ask == answer.ask) else { return };
    state.renewal = None;
    if answer.units >= state.units {
        state.expires = state.expires.max(renewal.asked_at + loan);
    }
}

fn idle_since(state: &mut Active, unused: Units, now: Moment) -> Option<Moment> {
    if unused == 0 {
        state.idle_since = None;
        return None;
    }
    Some(*state.idle_since.get_or_insert(now))
}
