//! What an owner knows of each worker, and when a silent worker's tasks have provably ended.

use fuchsiamill_model::{
    FastMap, HostName, Incarnation, Millisecond, Moment,
    task::{TaskId, Ticket},
};

/// Spans that the owner and the workers go by.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The lease of a task, in milliseconds.
    pub lease: Millisecond,
}

#[derive(Clone, Debug)]
struct Held {
    ticket: Ticket,
    received: Moment,
}

/// One worker.
#[derive(Clone, Debug, Default)]
struct Worker {
    held: Option<Held>,
    quoted: Option<Moment>,
    forget: Vec<TaskId>,
}

/// The workers of a pool.
#[derive(Clone, Debug)]
pub(super) struct Workers {
    timing: Timing,
    since: Moment,
    workers: FastMap<HostName, Worker>,
}

impl Workers {
    /// No worker heard yet; an earlier owner gave no order after `since`.
    pub(super) fn new(timing: Timing, since: Moment) -> Self {
        Self { timing, since, workers: FastMap::default() }
    }

    /// The ticket to quote; every lease that it renews ends within a lease of its receipt.
    pub(super) fn quote(&mut self, host: &HostName) -> Option<Ticket> {
        let worker = self.workers.get_mut(host)?;
        let held = worker.held.as_ref()?;
        worker.quoted = worker.quoted.max(Some(held.received));
        Some(held.ticket.clone())
    }

    /// Takes a ticket that was received at `now`.
    pub(super) fn heard(&mut self, host: &HostName, ticket: Ticket, now: Moment) {
        self.workers.entry(host.clone()).or_default().held = Some(Held { ticket, received: now });
    }

    /// The run of the worker's agent that can take a new task now.
    pub(super) fn ready(&self, host: &HostName, now: Moment) -> Option<&Incarnation> {
        let held = self.workers.get(host)?.held.as_ref()?;
        let fresh = now.since(held.received) < self.timing.lease / 2;
        fresh.then_some(&held.ticket.boot)
    }

    /// Whether every task that ran there has ended: its lease ran out on the slowest allowed clock.
    pub(super) fn has_lapsed(&self, host: &HostName, now: Moment) -> bool {
        let quoted = self.workers.get(host).and_then(|it| it.quoted).unwrap_or(self.since);
        now.since(quoted.max(self.since)) > with_drift(self.timing.lease)
    }

    /// Notes that the end of a task is kept and its worker may drop the record.
    pub(super) fn forget(&mut self, host: &HostName, task: TaskId) {
        let forget = &mut self.workers.entry(host.clone()).or_default().forget;
        if !forget.contains(&task) {
            forget.push(task);
        }
    }

    /// The hosts whose workers may drop some task.
    pub(super) fn with_records_to_forget(&self) -> impl Iterator<Item = &HostName> {
        self.workers.iter().filter(|(_, it)| !it.forget.is_empty()).map(|(host, _)| host)
    }

    /// Whether a worker may drop some task.
    pub(super) fn has_to_forget(&self, host: &HostName) -> bool {
        self.workers.get(host).is_some_and(|it| !it.forget.is_empty())
    }

    /// The tasks that a worker may drop.
    pub(super) fn to_forget(&self, host: &HostName) -> Vec<TaskId> {
        self.workers.get(host).map(|it| it.forget.clone()).unwrap_or_default()
    }

    /// Keeps of the tasks to forget only those that the worker still tells of.
    pub(super) fn told(&mut self, host: &HostName, told: impl Fn(&TaskId) -> bool) {
        if let Some(worker) = self.workers.get_mut(host) {
            worker.forget.retain(told);
        }
    }
}

/// A span on another host's clock, lengthened by the drift that clocks may have.
fn with_drift(span: Millisecond) -> Millisecond {
    span + span * DRIFT_PERCENT / 100
}

/// The most by which two monotonic clocks run apart.
const DRIFT_PERCENT: u64 = 2;
