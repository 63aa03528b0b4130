//! The holder's exchanges with the table.

use fuchsiamill_model::{Millisecond, Moment, Units, Version};

use super::{
    EscrowRow, Exchange, Holder, HolderId, Revision, Seen, Stage, Step, TableHealth, Title,
    WriteOutcome,
};

const TABLE_WAIT: Millisecond = 20;
const LIMIT_PER_HEADROOM: Units = 16;

impl Holder {
    /// Takes a row that was read after a [`Step::Read`].
    pub fn handle_read(&mut self, row: EscrowRow, revision: Revision) {
        let Exchange::Reading { lowered_at } = self.exchange else { return };
        self.exchange = Exchange::Idle;
        self.must_read = self.lowered_at > lowered_at;
        self.table = TableHealth::Answers;
        self.held = self.held.min(row.held_by(&self.id));
        self.see(row, revision, lowered_at);
    }

    /// Tells that a [`Step::Read`] had no answer, or that the row is not there yet.
    pub fn handle_read_failure(&mut self) {
        self.exchange = Exchange::Idle;
        self.must_read = true;
        self.table = TableHealth::Silent;
    }

    /// Takes the outcome of a [`Step::Write`] of `row`.
    ///
    /// Only an acknowledged write raises the holding: a write whose answer was lost may take
    /// effect after a later read, and is ruled out only by a later write.
    pub fn handle_write(&mut self, row: EscrowRow, outcome: WriteOutcome) {
        let Exchange::Writing { lowered_at, held } = self.exchange else { return };
        self.exchange = Exchange::Idle;
        match outcome {
            WriteOutcome::Applied(revision) => {
                let is_same_term = row.held_by(&self.id) == held;
                if is_same_term {
                    self.held = held;
                    self.title = Title::Confirmed;
                }
                self.see(row, revision, lowered_at);
            }
            WriteOutcome::Conflict => {
                self.must_read = true;
                self.read_at = None;
            }
            WriteOutcome::Unknown => {
                self.must_read = true;
                self.table = TableHealth::Silent;
            }
        }
    }

    /// Takes another host's word that the holdings were seen to keep the limit of `version`.
    pub(super) fn settle(&mut self, version: Option<Version>) {
        self.settled_at = self.settled_at.max(version);
    }

    /// The units that a table write may still give, none when the table does not answer.
    pub(super) fn expected_room(&self, now: Moment) -> Units {
        if self.table == TableHealth::Silent {
            return 0;
        }
        let began = self.read_at.max(self.wrote_at);
        if self.exchange != Exchange::Idle {
            let is_fresh = began.is_some_and(|at| now.since(at) < TABLE_WAIT);
            return if is_fresh { Units::MAX } else { 0 };
        }
        if !self.is_due(now, self.wrote_at) {
            return 0;
        }
        self.seen.as_ref().map_or(0, |seen| seen.row.room())
    }

    pub(super) fn table_step(&mut self, now: Moment) -> Option<Step> {
        if self.exchange != Exchange::Idle {
            return None;
        }
        let lowered_at = self.lowered_at;
        if !self.needs_table() {
            return None;
        }
        if self.must_read || self.seen.is_none() {
            return self.is_due(now, self.read_at).then(|| {
                self.read_at = Some(now);
                self.exchange = Exchange::Reading { lowered_at };
                Step::Read
            });
        }
        if !self.is_due(now, self.wrote_at) {
            return None;
        }
        let (expected, row) = self.planned_row(now)?;
        let held = row.held_by(&self.id);
        self.held = self.held.min(held);
        self.wrote_at = Some(now);
        self.exchange = Exchange::Writing { lowered_at, held };
        Some(Step::Write { expected, row })
    }

    /// Takes a row that the table had after this holder knew of the limit of `lowered_at`.
    fn see(&mut self, row: EscrowRow, revision: Revision, lowered_at: Version) {
        if row.is_settled() {
            self.settle(Some(row.limit_version.max(lowered_at)));
        } else {
            self.lowered_at = self.lowered_at.max(row.limit_version);
        }
        self.seen = Some(Seen { row, revision });
    }

    /// A holder that has nothing and wants nothing leaves the table alone.
    fn needs_table(&self) -> bool {
        let in_row = self.is_in_row();
        match self.stage {
            Stage::Serving => {
                self.queued > 0 || self.base > 0 || self.held > 0 || self.in_use() > 0 || in_row
            }
            Stage::Leaving => self.seen.is_some() && self.must_read || in_row,
        }
    }

    /// Whether the row as it was last seen names units of this process.
    pub(super) fn is_in_row(&self) -> bool {
        self.row().is_some_and(|row| row.held.keys().any(|id| self.is_mine(id)))
    }

    fn is_mine(&self, id: &HolderId) -> bool {
        id.is_same_process(&self.id)
    }

    fn is_due(&self, now: Moment, last: Option<Moment>) -> bool {
        last.is_none_or(|at| now.since(at) >= self.timing.write_interval)
    }

    /// The row as this holder wants it, when that differs from the row as it was seen.
    fn planned_row(&mut self, now: Moment) -> Option<(Revision, EscrowRow)> {
        let seen = self.seen.clone()?;
        let mut row = seen.row.clone();
        row.adopt(&self.id);
        for holder in self.ended.drain(..) {
            row.reclaim(&holder);
        }
        let demand = self.in_use() + self.queued + self.reserved();
        let held = row.held_by(&self.id);
        if self.stage == Stage::Leaving || !row.is_settled() {
            row.shrink(&self.id, self.in_use());
        } else if demand > held {
            let target = with_headroom(demand, row.limit).max(self.base);
            row.grow(&self.id, target - held);
        } else if self.base > held {
            row.grow(&self.id, self.base - held);
        } else if self.has_lasting_surplus(now, held, demand, row.limit) {
            let keep = if demand == 0 { 0 } else { with_headroom(demand, row.limit) };
            row.shrink(&self.id, keep.max(self.base));
        }
        let is_changed = row != seen.row;
        let in_row = row.held_by(&self.id);
        if !is_changed && in_row == 0 {
            self.title = Title::Confirmed;
        }
        let is_unconfirmed = in_row > self.held || self.title == Title::Unconfirmed;
        if is_changed || is_unconfirmed {
            return Some((seen.revision, row));
        }
        if !row.is_settled() || demand > held {
            self.must_read = true;
        }
        None
    }

    /// Hysteresis: units are given back only when more than twice the headroom was unused for a while.
    fn has_lasting_surplus(
        &mut self,
        now: Moment,
        held: Units,
        demand: Units,
        limit: Units,
    ) -> bool {
        let enough = with_headroom(with_headroom(demand, limit), limit);
        if held <= self.base || (demand > 0 && held <= enough) {
            self.surplus_since = None;
            return false;
        }
        let since = *self.surplus_since.get_or_insert(now);
        now.since(since) >= self.timing.idle
    }
}

/// Headroom of a quarter and a little of the limit lets demand grow without a write each time.
fn with_headroom(units: Units, limit: Units) -> Units {
    units + units / 4 + limit / LIMIT_PER_HEADROOM + 1
}
