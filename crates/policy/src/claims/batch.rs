//! Group commit of claims: many claims, ends and releases of one entry host in one write.
//!
//! One write is under way at a time and a token bucket bounds their number. A row that fails its
//! condition leaves the batch and the others are written again. A write whose answer was lost is
//! made again with the same claim ids: a claim that finds its own id in the row is held.

use std::collections::VecDeque;

use fuchsiamill_model::{FastSet, Moment};

use super::{
    exchange::{Claim, Held},
    key::ClaimKey,
    known::Known,
    pace::Pace,
    row::{ClaimId, ClaimRow},
    write::{Batch, ClaimUpdate, Found, Op, OpId, Outcome, RowVersion, Write},
};

/// Bounds of the claims of one process.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most table writes a second over a longer time.
    pub writes_per_second: u32,
    /// The most table writes at once after a quiet time.
    pub burst: u32,
    /// The most rows in one write.
    pub rows_per_write: usize,
    /// The most claims that wait to be written.
    pub waiting: usize,
    /// The most ended claims kept in memory.
    pub remembered: usize,
}

/// What became of a claim that was handed in.
#[derive(Debug)]
pub enum Submitted {
    /// It waits to be written; its fate follows.
    Queued(OpId),
    /// This process claimed the key before; this is what it knows.
    Known(ClaimRow),
    /// Too many claims wait.
    Full,
}

/// How a claim that waited ended.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// It is ours; nothing was sent yet.
    Held(Claim<Held>),
    /// Another claim is in the row.
    Taken(ClaimRow),
    /// The table did not answer in time; nothing was sent.
    Unavailable,
}

/// What the owner of the table connection does next.
#[derive(Debug)]
pub enum Step {
    /// Makes this write and tells the outcome.
    Write(Batch),
    /// Asks again at this time.
    WaitUntil(Moment),
    /// Asks again when something was handed in or a write has ended.
    Idle,
}

#[derive(Debug)]
enum Task {
    Insert { row: ClaimRow, give_up: Moment, tried: Tried },
    Withdraw { row: ClaimRow },
    Finish { row: ClaimRow, version: RowVersion },
    Release { id: ClaimId, version: RowVersion },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    Never,
    MayBeWritten,
}

#[derive(Debug)]
struct Waiting {
    id: OpId,
    key: ClaimKey,
    task: Task,
}

/// The claims of one process on their way to the table.
#[derive(Debug)]
pub struct Batcher {
    bounds: Bounds,
    pace: Pace,
    known: Known,
    waiting: VecDeque<Waiting>,
    in_flight: Vec<Waiting>,
    fates: Vec<(OpId, ClaimOutcome)>,
    next_op: u64,
    batches: u64,
}

impl Batcher {
    /// Nothing waits yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            pace: Pace::new(bounds.writes_per_second, bounds.burst),
            known: Known::new(bounds.remembered),
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            fates: Vec::new(),
            next_op: 0,
            batches: 0,
        }
    }

    /// Hands in a claim. Past `give_up` it ends as unavailable.
    pub fn submit(&mut self, key: ClaimKey, row: ClaimRow, give_up: Moment) -> Submitted {
        if let Some(entry) = self.known.get(&key) {
            return Submitted::Known(entry.row.clone());
        }
        if self.waiting.len() + self.in_flight.len() >= self.bounds.waiting {
            return Submitted::Full;
        }
        self.known.begin(key.clone(), row.clone());
        Submitted::Queued(self.enqueue(key, Task::Insert { row, give_up, tried: Tried::Never }))
    }

    /// Hands in the end or the release of a claim that this process holds.
    pub fn update(&mut self, key: ClaimKey, work: ClaimUpdate) {
        let id = match &work {
            ClaimUpdate::Release { id } => id,
            ClaimUpdate::Finish { row } => &row.id,
        };
        let Some(version) = self.known.version(&key, id) else { return };
        let task = match work {
            ClaimUpdate::Release { id } => Task::Release { id, version },
            ClaimUpdate::Finish { row } => {
                self.known.finish(&key, row.clone());
                Task::Finish { row, version }
            }
        };
        self.enqueue(key, task);
    }

    /// What is known of a claim of this process that is under way or was kept in memory.
    pub fn known(&self, key: &ClaimKey, id: &ClaimId) -> Option<&ClaimRow> {
        self.known.get(key).map(|it| &it.row).filter(|row| &row.id == id)
    }

    /// Whether every claim, end and release has reached the table.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// The claims that ended since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(OpId, ClaimOutcome)> {
        std::mem::take(&mut self.fates)
    }

    /// What to do next.
    pub fn next(&mut self, now: Moment) -> Step {
        self.give_up_late(now);
        if !self.in_flight.is_empty() {
            return self.wait_for(None);
        }
        if self.waiting.is_empty() {
            return Step::Idle;
        }
        let start = self.pace.next_write(now);
        if start > now {
            return self.wait_for(Some(start));
        }
        self.pace.spend(now);
        self.write()
    }

    /// The outcome of the write under way.
    pub fn done(&mut self, now: Moment, outcome: Outcome, rng: &mut fastrand::Rng) {
        let batch = std::mem::take(&mut self.in_flight);
        match outcome {
            Outcome::Written(versions) => {
                self.pace.answered();
                batch.into_iter().zip(versions).for_each(|(it, version)| self.written(it, version));
            }
            Outcome::Conflict(found) => {
                self.pace.answered();
                self.conflict(batch, found);
            }
            Outcome::NotSent => {
                self.pace.failed(now, rng);
                self.again(batch);
            }
            Outcome::Lost => {
                self.pace.failed(now, rng);
                self.again(batch.into_iter().map(Waiting::maybe_written).collect());
            }
        }
    }

    fn enqueue(&mut self, key: ClaimKey, task: Task) -> OpId {
        let id = OpId(self.next_op);
        self.next_op += 1;
        self.waiting.push_back(Waiting { id, key, task });
        id
    }

    fn write(&mut self) -> Step {
        let mut rows = FastSet::default();
        let mut ops = Vec::new();
        let mut later = VecDeque::new();
        while let Some(it) = self.waiting.pop_front() {
            let room = ops.len() < self.bounds.rows_per_write;
            if !room || !rows.insert(it.key.clone()) {
                later.push_back(it);
                continue;
            }
            ops.push(Op { id: it.id, key: it.key.clone(), write: it.write() });
            self.in_flight.push(it);
        }
        self.waiting = later;
        self.batches += 1;
        Step::Write(Batch { number: self.batches, ops })
    }

    fn wait_for(&self, start: Option<Moment>) -> Step {
        let give_up = self.waiting.iter().chain(&self.in_flight).filter_map(Waiting::give_up).min();
        match start.into_iter().chain(give_up).min() {
            Some(at) => Step::WaitUntil(at),
            None => Step::Idle,
        }
    }

    fn give_up_late(&mut self, now: Moment) {
        let late = |it: &Waiting| it.give_up().is_some_and(|at| now >= at);
        for it in std::mem::take(&mut self.waiting) {
            if late(&it) {
                self.give_up(&it);
                self.waiting.extend(it.withdrawn_if_written());
            } else {
                self.waiting.push_back(it);
            }
        }
        for it in std::mem::take(&mut self.in_flight) {
            if late(&it) {
                self.give_up(&it);
                self.in_flight.push(it.withdrawn());
            } else {
                self.in_flight.push(it);
            }
        }
    }

    /// A repeat is claimed anew, behind the withdrawal of this claim where there is one.
    fn give_up(&mut self, it: &Waiting) {
        self.fates.push((it.id, ClaimOutcome::Unavailable));
        self.known.forget(&it.key, it.claim_id());
    }

    fn written(&mut self, it: Waiting, version: RowVersion) {
        match it.task {
            Task::Insert { row, .. } => self.hold(it.id, it.key, row, version),
            Task::Withdraw { row } => {
                let task = Task::Release { id: row.id, version };
                self.waiting.push_front(Waiting { task, ..it });
            }
            Task::Finish { .. } => self.known.settle(&it.key),
            Task::Release { id, .. } => self.known.forget(&it.key, &id),
        }
    }

    fn hold(&mut self, op: OpId, key: ClaimKey, row: ClaimRow, version: RowVersion) {
        self.known.set_version(&key, &row.id, version);
        self.fates.push((op, ClaimOutcome::Held(Claim::held(key, row))));
    }

    fn conflict(&mut self, batch: Vec<Waiting>, found: Vec<Found>) {
        let mut rest = Vec::new();
        for it in batch {
            match found.iter().find(|found| found.op == it.id) {
                Some(found) => rest.extend(self.resolve(it, found.row.clone())),
                None => rest.push(it),
            }
        }
        self.again(rest);
    }

    /// Takes a row that failed its condition out of the batch, or leaves it for the next one.
    fn resolve(&mut self, it: Waiting, row: Option<(ClaimRow, RowVersion)>) -> Option<Waiting> {
        let own = it.claim_id().clone();
        match (&it.task, row) {
            (Task::Insert { .. } | Task::Withdraw { .. }, None) => Some(it),
            (_, Some((row, version))) if row.id == own => self.resolve_own(it, row, version),
            (Task::Insert { .. }, Some((row, _))) => {
                self.known.forget(&it.key, &own);
                self.fates.push((it.id, ClaimOutcome::Taken(row)));
                None
            }
            _ => {
                self.known.forget(&it.key, &own);
                None
            }
        }
    }

    fn resolve_own(&mut self, it: Waiting, row: ClaimRow, found: RowVersion) -> Option<Waiting> {
        let task = match it.task {
            Task::Finish { row: wanted, .. } if wanted == row => {
                self.known.settle(&it.key);
                return None;
            }
            Task::Insert { .. } | Task::Withdraw { .. } => {
                self.written(it, found);
                return None;
            }
            Task::Finish { row, .. } => Task::Finish { row, version: found },
            Task::Release { id, .. } => Task::Release { id, version: found },
        };
        Some(Waiting { task, ..it })
    }

    fn again(&mut self, batch: Vec<Waiting>) {
        batch.into_iter().rev().for_each(|it| self.waiting.push_front(it));
    }
}

impl Waiting {
    fn give_up(&self) -> Option<Moment> {
        match &self.task {
            Task::Insert { give_up, .. } => Some(*give_up),
            _ => None,
        }
    }

    fn claim_id(&self) -> &ClaimId {
        match &self.task {
            Task::Insert { row, .. } | Task::Withdraw { row } | Task::Finish { row, .. } => &row.id,
            Task::Release { id, .. } => id,
        }
    }

    fn write(&self) -> Write {
        match &self.task {
            Task::Insert { row, .. } | Task::Withdraw { row } => Write::Insert(row.clone()),
            Task::Finish { row, version } => Write::Replace(row.clone(), *version),
            Task::Release { version, .. } => Write::Delete(*version),
        }
    }

    fn withdrawn_if_written(self) -> Option<Self> {
        match self.task {
            Task::Insert { tried: Tried::Never, .. } => None,
            _ => Some(self.withdrawn()),
        }
    }

    fn withdrawn(self) -> Self {
        let task = match self.task {
            Task::Insert { row, .. } => Task::Withdraw { row },
            task => task,
        };
        Self { task, ..self }
    }

    fn maybe_written(self) -> Self {
        let task = match self.task {
            Task::Insert { row, give_up, .. } => {
                Task::Insert { row, give_up, tried: Tried::MayBeWritten }
            }
            task => task,
        };
        Self { task, ..self }
    }
}
