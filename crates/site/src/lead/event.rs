//! Events of the leader's loop.

use fuchsiamill_fleet::{
    Cancellation, Name, TaskId, WorkerReport,
    coordinator::{Permit, StartReply, StepKey},
};
use fuchsiamill_model::units::Moment;
use tokio::sync::mpsc;

use super::{
    deleted_rows::Deletion,
    feeds::FeedEvent,
    hosts::HostEvent,
    lease::{Lease, LeaseLost},
};

/// An event for the leader's loop. All events come through one channel, in the order in which they were sent.
pub enum Event {
    /// The table of jobs changed.
    Jobs(FeedEvent),
    /// The table of workers changed.
    Workers(FeedEvent),
    /// News from the link to a worker.
    Link(LinkEvent),
    /// News from the hosts service.
    Host(HostEvent),
    /// The advice service was asked about a step and these workers; the permits are `None` if it did not answer.
    Advised(StepKey, Vec<Name>, Option<Vec<(Name, Permit)>>),
    /// The former coordinator certainly gives no more orders.
    FormerEnded,
    /// A much stronger entry host is able to coordinate.
    StrongerAvailable,
    /// A transaction was committed, or the lease was found lost.
    Committed(Box<Lease>, Result<(), LeaseLost>),
    /// The rows of these jobs were deleted from the table of jobs, by these transactions.
    Purged(Vec<Name>, Vec<Deletion>),
    /// The rows of these jobs may still exist: the store did not confirm the transaction that deletes them.
    PurgeFailed(Vec<Name>),
    /// A purge of cancellations is over: these, whose jobs never came, were deleted by these transactions.
    CancelsPurged(Vec<Cancellation>, Vec<Deletion>),
}

/// News from the link to a worker.
#[derive(Debug)]
pub enum LinkEvent {
    /// A worker answered a poll with this report.
    Reported(Name, WorkerReport),
    /// A worker left a poll unanswered, which is repeated.
    Unanswered(Name),
    /// A worker does not answer; the link last tried to renew its leases at this moment.
    Silent(Name, Moment),
    /// The worker process that was started at this time, in Unix milliseconds, is gone.
    Dead(Name, u64),
    /// The worker process that was started at this time, in Unix milliseconds, has reported whether it is healthy.
    HealthReported(Name, u64, bool),
    /// The outcome of an order to start a run.
    Started(TaskId, u32, StartReply),
    /// The worker confirmed the stop of a run.
    Stopped(TaskId, u32),
    /// The stop of a run was given up; the worker may have carried it out or not.
    StopFailed(TaskId, u32),
    /// An order to set a run's speed failed.
    PaceFailed(TaskId, u32),
    /// The worker rejects orders since it has accepted those of a newer coordinator.
    Fenced(Name),
}

/// Sends events to the leader's loop.
#[derive(Clone)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Creates the channel.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self(tx), rx)
    }

    /// Sends an event. The event is discarded if the loop has ended since this process no longer coordinates.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }
}
