//! The table reads and writes of a holder.

use fuchsiamill_model::{Millisecond, Moment, Units, Version};

use super::{
    EscrowRow, Holder, HolderId, HoldingStatus, KnownRow, Revision, Stage, Step, TableHealth,
    TableRequest, WriteOutcome,
};

/// How long new units are expected from a table request in flight before loans are asked for instead.
const TABLE_ANSWER_WAIT: Millisecond = 20;
/// The limit is divided by this for the second part of the headroom.
const HEADROOM_LIMIT_DIVISOR: Units = 16;

impl Holder {
    /// Handles the row that a [`Step::Read`] returned.
    pub fn handle_read(&mut self, row: EscrowRow, revision: Revision) {
        let TableRequest::Reading { lowered_at } = self.table_request else { return };
        self.table_request = TableRequest::Idle;
        self.must_read = self.lowered_at > lowered_at;
        self.table = TableHealth::Reachable;
        self.held = self.held.min(row.held_by(&self.id));
        self.set_known_row(row, revision, lowered_at);
    }

    /// Handles a [`Step::Read`] that had no answer, or found that the row does not exist yet.
    pub fn handle_read_failure(&mut self) {
        self.table_request = TableRequest::Idle;
        self.must_read = true;
        self.table = TableHealth::Unreachable;
    }

    /// Handles the outcome of a [`Step::Write`] of `row`.
    ///
    /// Only an acknowledged write raises the holding. A write whose answer was lost can take effect
    /// even after a later read; only a later write rules that out.
    pub fn handle_write(&mut self, row: EscrowRow, outcome: WriteOutcome) {
        let TableRequest::Writing { lowered_at, held } = self.table_request else { return };
        self.table_request = TableRequest::Idle;
        match outcome {
            WriteOutcome::Applied(revision) => {
                let is_same_term = row.held_by(&self.id) == held;
                if is_same_term {
                    self.held = held;
                    self.holding_status = HoldingStatus::Confirmed;
                }
                self.set_known_row(row, revision, lowered_at);
            }
            WriteOutcome::Conflict => {
                self.must_read = true;
                self.read_at = None;
            }
            WriteOutcome::Unknown => {
                self.must_read = true;
                self.table = TableHealth::Unreachable;
            }
        }
    }

    /// Records that the sum of holdings was seen to be within the limit of `version`, here or on another host.
    pub(super) fn record_settled(&mut self, version: Option<Version>) {
        self.settled_at = self.settled_at.max(version);
    }

    /// Returns the units that a table write can be expected to give soon; 0 if the table does not answer.
    pub(super) fn expected_room(&self, now: Moment) -> Units {
        if self.table == TableHealth::Unreachable {
            return 0;
        }
        let began = self.read_at.max(self.wrote_at);
        if self.table_request != TableRequest::Idle {
            let is_fresh = began.is_some_and(|at| now.since(at) < TABLE_ANSWER_WAIT);
            return if is_fresh { Units::MAX } else { 0 };
        }
        if !self.is_due(now, self.wrote_at) {
            return 0;
        }
        self.known_row.as_ref().map_or(0, |known| known.row.room())
    }

    pub(super) fn table_step(&mut self, now: Moment) -> Option<Step> {
        if self.table_request != TableRequest::Idle {
            return None;
        }
        let lowered_at = self.lowered_at;
        if !self.needs_table() {
            return None;
        }
        if self.must_read || self.known_row.is_none() {
            return self.is_due(now, self.read_at).then(|| {
                self.read_at = Some(now);
                self.table_request = TableRequest::Reading { lowered_at };
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
        self.table_request = TableRequest::Writing { lowered_at, held };
        Some(Step::Write { expected, row })
    }

    /// Stores a row that was read or written after this holder knew the limit of `lowered_at`.
    fn set_known_row(&mut self, row: EscrowRow, revision: Revision, lowered_at: Version) {
        if row.is_settled() {
            self.record_settled(Some(row.limit_version.max(lowered_at)));
        } else {
            self.lowered_at = self.lowered_at.max(row.limit_version);
        }
        self.known_row = Some(KnownRow { row, revision });
    }

    /// Returns whether the holder has or needs units; otherwise it does not access the table.
    fn needs_table(&self) -> bool {
        let in_row = self.is_in_row();
        match self.stage {
            Stage::Serving => {
                self.queued > 0 || self.base > 0 || self.held > 0 || self.in_use() > 0 || in_row
            }
            Stage::Leaving => self.known_row.is_some() && self.must_read || in_row,
        }
    }

    /// Returns whether the row as last known has units of this process.
    pub(super) fn is_in_row(&self) -> bool {
        self.row().is_some_and(|row| row.held.keys().any(|id| self.is_mine(id)))
    }

    fn is_mine(&self, id: &HolderId) -> bool {
        id.is_same_process(&self.id)
    }

    fn is_due(&self, now: Moment, last: Option<Moment>) -> bool {
        last.is_none_or(|at| now.since(at) >= self.timing.write_interval)
    }

    /// Returns the row to write and the revision it replaces; `None` if no write is needed.
    fn planned_row(&mut self, now: Moment) -> Option<(Revision, EscrowRow)> {
        let known = self.known_row.clone()?;
        let mut row = known.row.clone();
        row.adopt(&self.id);
        for holder in self.reclaimable.drain(..) {
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
        let is_changed = row != known.row;
        let in_row = row.held_by(&self.id);
        if !is_changed && in_row == 0 {
            self.holding_status = HoldingStatus::Confirmed;
        }
        let is_unconfirmed =
            in_row > self.held || self.holding_status == HoldingStatus::Unconfirmed;
        if is_changed || is_unconfirmed {
            return Some((known.revision, row));
        }
        if !row.is_settled() || demand > held {
            self.must_read = true;
        }
        None
    }

    /// Returns whether surplus units have lasted long enough to be given back. As hysteresis, a surplus is what exceeds
    /// the demand with the headroom applied twice; without demand, every unit above the base is surplus.
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

/// Adds headroom of a quarter of `units` and a small part of the limit, so that demand can grow without a write each
/// time.
fn with_headroom(units: Units, limit: Units) -> Units {
    units + units / 4 + limit / HEADROOM_LIMIT_DIVISOR + 1
}
