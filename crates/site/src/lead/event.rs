//! What the coordinator's loop is told.

use fuchsiamill_fleet::{
    Name,
    coordinator::{Permit, StepKey},
};
use tokio::sync::mpsc;

use super::{
    feeds::FeedEvent,
    hosts::HostEvent,
    lease::{Lease, Lost},
    links::LinkEvent,
};

/// One event. All of them come through one channel, in the order in which they happened.
pub enum Event {
    /// The table of jobs changed.
    Jobs(FeedEvent),
    /// The table of workers changed.
    Workers(FeedEvent),
    /// A worker, or the link to it.
    Link(LinkEvent),
    /// The service that has the hosts.
    Host(HostEvent),
    /// The advice service answered a question about these workers.
    Advised(StepKey, Vec<Name>, Option<Vec<(Name, Permit)>>),
    /// The former coordinator surely gives no more orders.
    FormerOver,
    /// A stronger entry host could coordinate.
    StrongerAble,
    /// A change was made, or the lease is lost.
    Committed(Box<Lease>, Result<(), Lost>),
    /// The rows of these jobs are gone.
    Purged(Vec<Name>),
    /// The rows of these jobs may be there: the store did not confirm the change that drops them.
    NotPurged(Vec<Name>),
}

/// Tells the coordinator's loop.
#[derive(Clone)]
pub struct Teller(mpsc::UnboundedSender<Event>);

impl Teller {
    /// Both ends of the channel.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self(tx), rx)
    }

    /// Tells an event. Nobody listens once this process no longer coordinates.
    pub fn tell(&self, event: Event) {
        let _ = self.0.send(event);
    }
}
