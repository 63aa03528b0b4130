//! What the owner of a pool knows of each worker, and when the tasks of a silent worker must have ended.

use fuchsiamill_model::{
    FastMap, HostName, Incarnation, Millisecond, Moment,
    task::{TaskId, Ticket},
};

/// Time spans of the protocol between the owner and the workers.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The lease of a task, in milliseconds; a worker stops a task whose lease is not renewed.
    pub lease: Millisecond,
}

/// A worker's ticket and when the owner received it.
#[derive(Clone, Debug)]
struct ReceivedTicket {
    ticket: Ticket,
    received: Moment,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
struct Worker {
    newest: Option<ReceivedTicket>,
    /// When the newest ticket that an order quoted was received; every lease counts from then or earlier.
    quoted: Option<Moment>,
    /// Ended tasks whose record the worker may drop.
    forget: Vec<TaskId>,
}

/// The workers of a pool.
#[derive(Clone, Debug)]
pub(super) struct Workers {
    timing: Timing,
    taken_over_at: Moment,
    workers: FastMap<HostName, Worker>,
}

impl Workers {
    /// Creates the state before any worker has answered. Earlier owners gave no order after `taken_over_at`.
    pub(super) fn new(timing: Timing, taken_over_at: Moment) -> Self {
        Self { timing, taken_over_at, workers: FastMap::default() }
    }

    /// Returns the ticket to quote in orders. A lease that such an order renews ends within one lease time of the
    /// ticket's receipt.
    pub(super) fn quote(&mut self, host: &HostName) -> Option<Ticket> {
        let worker = self.workers.get_mut(host)?;
        let newest = worker.newest.as_ref()?;
        worker.quoted = worker.quoted.max(Some(newest.received));
        Some(newest.ticket.clone())
    }

    /// Records a ticket that was received at `now`.
    pub(super) fn record_ticket(&mut self, host: &HostName, ticket: Ticket, now: Moment) {
        self.workers.entry(host.clone()).or_default().newest =
            Some(ReceivedTicket { ticket, received: now });
    }

    /// Returns the incarnation of the worker's agent if it can take a new task now, that is, if its ticket is recent.
    pub(super) fn ready_boot(&self, host: &HostName, now: Moment) -> Option<&Incarnation> {
        let newest = self.workers.get(host)?.newest.as_ref()?;
        let is_recent = now.since(newest.received) < self.timing.lease / 2;
        is_recent.then_some(&newest.ticket.boot)
    }

    /// Returns whether every task on a worker has ended because its lease ran out, even on the slowest clock allowed.
    pub(super) fn leases_lapsed(&self, host: &HostName, now: Moment) -> bool {
        let quoted = self.workers.get(host).and_then(|it| it.quoted).unwrap_or(self.taken_over_at);
        now.since(quoted.max(self.taken_over_at)) > with_drift(self.timing.lease)
    }

    /// Records that the end of a task is stored, so that its worker may drop the record.
    pub(super) fn allow_forget(&mut self, host: &HostName, task: TaskId) {
        let forget = &mut self.workers.entry(host.clone()).or_default().forget;
        if !forget.contains(&task) {
            forget.push(task);
        }
    }

    /// Returns the hosts whose workers may drop the record of some task.
    pub(super) fn hosts_with_records_to_forget(&self) -> impl Iterator<Item = &HostName> {
        self.workers.iter().filter(|(_, it)| !it.forget.is_empty()).map(|(host, _)| host)
    }

    /// Returns whether a worker may drop the record of some task.
    pub(super) fn has_records_to_forget(&self, host: &HostName) -> bool {
        self.workers.get(host).is_some_and(|it| !it.forget.is_empty())
    }

    /// Returns the tasks whose record a worker may drop.
    pub(super) fn to_forget(&self, host: &HostName) -> Vec<TaskId> {
        self.workers.get(host).map(|it| it.forget.clone()).unwrap_or_default()
    }

    /// Removes the tasks that the worker no longer reports from those that it may drop.
    pub(super) fn retain_reported(
        &mut self,
        host: &HostName,
        is_reported: impl Fn(&TaskId) -> bool,
    ) {
        if let Some(worker) = self.workers.get_mut(host) {
            worker.forget.retain(is_reported);
        }
    }
}

/// Returns a span that is certain to have passed on another host's clock: `span` with the margin for clock drift.
fn with_drift(span: Millisecond) -> Millisecond {
    span + span * DRIFT_PERCENT / 100
}

/// The largest difference in rate between two monotonic clocks, in percent.
const DRIFT_PERCENT: u64 = 2;
