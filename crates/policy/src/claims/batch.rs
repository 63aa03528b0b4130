//! Group commit of claims: many claims, ends and releases of one entry host in one write.
//!
//! One write is in progress at a time, and a token bucket limits the rate of writes. An operation
//! whose row fails its condition is removed from the batch and the others are retried. A write whose
//! answer was lost is repeated with the same claim ids: a claim whose id is found in the row is held.

use std::collections::VecDeque;

use fuchsiamill_model::{FastSet, Moment};

use super::{
    cache::ClaimCache,
    exchange::{Claim, Held},
    key::ClaimKey,
    limiter::WriteLimiter,
    row::{ClaimId, ClaimRow},
    write::{Batch, ClaimUpdate, Found, Op, OpId, Outcome, RowVersion, Write},
};

/// Limits for the claims of one process.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Sustained rate of table writes, per second.
    pub writes_per_second: u32,
    /// Maximum number of table writes in a burst after an idle period.
    pub burst: u32,
    /// Maximum number of rows in one write.
    pub rows_per_write: usize,
    /// Number of operations, queued or in progress, from which on new claims are refused.
    pub waiting: usize,
    /// Maximum number of ended claims that are cached.
    pub remembered: usize,
}

/// The result of [`Batcher::submit`].
#[derive(Debug)]
pub enum Submitted {
    /// The claim is queued; [`Batcher::take_outcomes`] returns its outcome.
    Queued(OpId),
    /// This process has claimed the key before; this is the cached row.
    Known(ClaimRow),
    /// The queue is full.
    Full,
}

/// The outcome of a queued claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This process holds the claim; the request was not sent yet.
    Held(Claim<Held>),
    /// The row holds another claim.
    Taken(ClaimRow),
    /// The table did not answer in time; the request was not sent.
    Unavailable,
}

/// What the caller, which owns the table connection, does next.
#[derive(Debug)]
pub enum Step {
    /// Send this write and pass its outcome to [`Batcher::done`].
    Write(Batch),
    /// Call [`Batcher::next`] again at this time, or earlier as for [`Step::Idle`].
    WaitUntil(Moment),
    /// Call [`Batcher::next`] again after a submission, an update or the end of a write.
    Idle,
}

/// What a pending operation writes.
#[derive(Debug)]
enum Kind {
    Insert { row: ClaimRow, give_up: Moment, attempt: InsertAttempt },
    Withdraw { row: ClaimRow },
    Finish { row: ClaimRow, version: RowVersion },
    Release { id: ClaimId, version: RowVersion },
}

/// Whether an insert may already have taken effect in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InsertAttempt {
    NotWritten,
    MayBeWritten,
}

#[derive(Debug)]
struct PendingOp {
    id: OpId,
    key: ClaimKey,
    kind: Kind,
}

/// The queue of one process's operations on claim rows.
#[derive(Debug)]
pub struct Batcher {
    bounds: Bounds,
    limiter: WriteLimiter,
    cache: ClaimCache,
    waiting: VecDeque<PendingOp>,
    in_flight: Vec<PendingOp>,
    outcomes: Vec<(OpId, ClaimOutcome)>,
    next_op: u64,
    batches: u64,
}

impl Batcher {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limiter: WriteLimiter::new(bounds.writes_per_second, bounds.burst),
            cache: ClaimCache::new(bounds.remembered),
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            outcomes: Vec::new(),
            next_op: 0,
            batches: 0,
        }
    }

    /// Queues a claim. At `give_up` it ends as unavailable if it has no other outcome by then.
    pub fn submit(&mut self, key: ClaimKey, row: ClaimRow, give_up: Moment) -> Submitted {
        if let Some(entry) = self.cache.get(&key) {
            return Submitted::Known(entry.row.clone());
        }
        if self.waiting.len() + self.in_flight.len() >= self.bounds.waiting {
            return Submitted::Full;
        }
        self.cache.insert(key.clone(), row.clone());
        Submitted::Queued(
            self.enqueue(key, Kind::Insert { row, give_up, attempt: InsertAttempt::NotWritten }),
        )
    }

    /// Queues the end or the release of a claim that this process holds.
    pub fn update(&mut self, key: ClaimKey, update: ClaimUpdate) {
        let id = match &update {
            ClaimUpdate::Release { id } => id,
            ClaimUpdate::Finish { row } => &row.id,
        };
        let Some(version) = self.cache.version(&key, id) else { return };
        let kind = match update {
            ClaimUpdate::Release { id } => Kind::Release { id, version },
            ClaimUpdate::Finish { row } => {
                self.cache.finish(&key, row.clone());
                Kind::Finish { row, version }
            }
        };
        self.enqueue(key, kind);
    }

    /// Returns the cached row of a claim of this process, if its id is `id`.
    pub fn known(&self, key: &ClaimKey, id: &ClaimId) -> Option<&ClaimRow> {
        self.cache.get(key).map(|it| &it.row).filter(|row| &row.id == id)
    }

    /// Returns whether no operation is queued or in progress.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the outcomes of claims since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(OpId, ClaimOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Returns what to do next, and expires the claims that are past their `give_up` time.
    pub fn next(&mut self, now: Moment) -> Step {
        self.expire_overdue(now);
        if !self.in_flight.is_empty() {
            return self.wait_until(None);
        }
        if self.waiting.is_empty() {
            return Step::Idle;
        }
        let start = self.limiter.next_write(now);
        if start > now {
            return self.wait_until(Some(start));
        }
        self.limiter.spend(now);
        self.start_write()
    }

    /// Handles the outcome of the write in progress.
    pub fn done(&mut self, now: Moment, outcome: Outcome, rng: &mut fastrand::Rng) {
        let batch = std::mem::take(&mut self.in_flight);
        match outcome {
            Outcome::Written(versions) => {
                self.limiter.answered();
                batch.into_iter().zip(versions).for_each(|(op, version)| self.written(op, version));
            }
            Outcome::Conflict(found) => {
                self.limiter.answered();
                self.conflict(batch, found);
            }
            Outcome::NotSent => {
                self.limiter.failed(now, rng);
                self.retry(batch);
            }
            Outcome::Lost => {
                self.limiter.failed(now, rng);
                self.retry(batch.into_iter().map(PendingOp::maybe_written).collect());
            }
        }
    }

    fn enqueue(&mut self, key: ClaimKey, kind: Kind) -> OpId {
        let id = OpId(self.next_op);
        self.next_op += 1;
        self.waiting.push_back(PendingOp { id, key, kind });
        id
    }

    fn start_write(&mut self) -> Step {
        let mut rows = FastSet::default();
        let mut ops = Vec::new();
        let mut later = VecDeque::new();
        while let Some(op) = self.waiting.pop_front() {
            let has_room = ops.len() < self.bounds.rows_per_write;
            if !has_room || !rows.insert(op.key.clone()) {
                later.push_back(op);
                continue;
            }
            ops.push(Op { id: op.id, key: op.key.clone(), write: op.write() });
            self.in_flight.push(op);
        }
        self.waiting = later;
        self.batches += 1;
        Step::Write(Batch { number: self.batches, ops })
    }

    fn wait_until(&self, start: Option<Moment>) -> Step {
        let give_up =
            self.waiting.iter().chain(&self.in_flight).filter_map(PendingOp::give_up).min();
        match start.into_iter().chain(give_up).min() {
            Some(at) => Step::WaitUntil(at),
            None => Step::Idle,
        }
    }

    fn expire_overdue(&mut self, now: Moment) {
        let is_overdue = |op: &PendingOp| op.give_up().is_some_and(|at| now >= at);
        for op in std::mem::take(&mut self.waiting) {
            if is_overdue(&op) {
                self.expire(&op);
                self.waiting.extend(op.withdrawn_if_written());
            } else {
                self.waiting.push_back(op);
            }
        }
        for op in std::mem::take(&mut self.in_flight) {
            if is_overdue(&op) {
                self.expire(&op);
                self.in_flight.push(op.withdrawn());
            } else {
                self.in_flight.push(op);
            }
        }
    }

    /// Ends a claim as unavailable.
    ///
    /// The claim leaves the cache, so a repeat makes a new claim. If this claim is withdrawn, its
    /// withdrawal is queued before the new claim.
    fn expire(&mut self, op: &PendingOp) {
        self.outcomes.push((op.id, ClaimOutcome::Unavailable));
        self.cache.forget(&op.key, op.claim_id());
    }

    fn written(&mut self, op: PendingOp, version: RowVersion) {
        match op.kind {
            Kind::Insert { row, .. } => self.hold(op.id, op.key, row, version),
            Kind::Withdraw { row } => {
                let kind = Kind::Release { id: row.id, version };
                self.waiting.push_front(PendingOp { kind, ..op });
            }
            Kind::Finish { .. } => self.cache.settle(&op.key),
            Kind::Release { id, .. } => self.cache.forget(&op.key, &id),
        }
    }

    fn hold(&mut self, op: OpId, key: ClaimKey, row: ClaimRow, version: RowVersion) {
        self.cache.set_version(&key, &row.id, version);
        self.outcomes.push((op, ClaimOutcome::Held(Claim::held(key, row))));
    }

    fn conflict(&mut self, batch: Vec<PendingOp>, found: Vec<Found>) {
        let mut rest = Vec::new();
        for op in batch {
            match found.iter().find(|found| found.op == op.id) {
                Some(found) => rest.extend(self.resolve(op, found.row.clone())),
                None => rest.push(op),
            }
        }
        self.retry(rest);
    }

    /// Resolves an operation whose condition failed; returns it if it has to be retried.
    fn resolve(&mut self, op: PendingOp, row: Option<(ClaimRow, RowVersion)>) -> Option<PendingOp> {
        let own = op.claim_id().clone();
        match (&op.kind, row) {
            (Kind::Insert { .. } | Kind::Withdraw { .. }, None) => Some(op),
            (_, Some((row, version))) if row.id == own => self.resolve_own(op, row, version),
            (Kind::Insert { .. }, Some((row, _))) => {
                self.cache.forget(&op.key, &own);
                self.outcomes.push((op.id, ClaimOutcome::Taken(row)));
                None
            }
            _ => {
                self.cache.forget(&op.key, &own);
                None
            }
        }
    }

    fn resolve_own(
        &mut self,
        op: PendingOp,
        row: ClaimRow,
        found: RowVersion,
    ) -> Option<PendingOp> {
        let kind = match op.kind {
            Kind::Finish { row: wanted, .. } if wanted == row => {
                self.cache.settle(&op.key);
                return None;
            }
            Kind::Insert { .. } | Kind::Withdraw { .. } => {
                self.written(op, found);
                return None;
            }
            Kind::Finish { row, .. } => Kind::Finish { row, version: found },
            Kind::Release { id, .. } => Kind::Release { id, version: found },
        };
        Some(PendingOp { kind, ..op })
    }

    fn retry(&mut self, batch: Vec<PendingOp>) {
        batch.into_iter().rev().for_each(|op| self.waiting.push_front(op));
    }
}

impl PendingOp {
    fn give_up(&self) -> Option<Moment> {
        match &self.kind {
            Kind::Insert { give_up, .. } => Some(*give_up),
            _ => None,
        }
    }

    fn claim_id(&self) -> &ClaimId {
        match &self.kind {
            Kind::Insert { row, .. } | Kind::Withdraw { row } | Kind::Finish { row, .. } => &row.id,
            Kind::Release { id, .. } => id,
        }
    }

    fn write(&self) -> Write {
        match &self.kind {
            Kind::Insert { row, .. } | Kind::Withdraw { row } => Write::Insert(row.clone()),
            Kind::Finish { row, version } => Write::Replace(row.clone(), *version),
            Kind::Release { version, .. } => Write::Delete(*version),
        }
    }

    fn withdrawn_if_written(self) -> Option<Self> {
        match self.kind {
            Kind::Insert { attempt: InsertAttempt::NotWritten, .. } => None,
            _ => Some(self.withdrawn()),
        }
    }

    fn withdrawn(self) -> Self {
        let kind = match self.kind {
            Kind::Insert { row, .. } => Kind::Withdraw { row },
            kind => kind,
        };
        Self { kind, ..self }
    }

    fn maybe_written(self) -> Self {
        let kind = match self.kind {
            Kind::Insert { row, give_up, .. } => {
                Kind::Insert { row, give_up, attempt: InsertAttempt::MayBeWritten }
            }
            kind => kind,
        };
        Self { kind, ..self }
    }
}
