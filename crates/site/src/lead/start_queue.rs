//! Released starts that wait to be sent, by the coordinator itself or by the entry hosts that accepted their jobs.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_fleet::{Handover, Name, Sender, coordinator::StartReply, timing::without_drift};
use fuchsiamill_model::{
    FastMap,
    units::{CallTime, Millisecond, Moment},
};
use fuchsiamill_peer::{Error, Link as PeerLink};

use super::links::{Link, StartOrder};
use crate::{
    clock::Clock,
    metrics::Metrics,
    senders::{HandedReply, HandedStart, HandedStarts, METHOD, Outcome, Permission},
};

/// How long the starts that are handed over may be on their way to their sender, whose calls to workers end with its
/// permission.
const HANDOVER_MS: Millisecond = 1_000;

/// A start that has waited for its sender for this long is not sent. The lease of its run is counted from its record, so
/// that a start that waits longer could begin a second run.
const MAX_WAIT_MS: Millisecond = 1_000;

/// Added to the time limit of the calls to workers for the way to the sender and back, on the coordinator's own link,
/// which is late. Until then the polls of the workers show the runs that have begun.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(1_000);

/// What the queue needs of the coordinator's process.
#[derive(Clone)]
pub struct StartQueueContext {
    /// The process's clock.
    pub clock: Clock,
    /// The fencing token of all orders.
    pub fence: u64,
    /// The address at which other entry hosts reach this one.
    pub own_address: Name,
    /// The process's metrics.
    pub metrics: Rc<Metrics>,
}

/// Released starts that wait for room on the coordinator's link or for their senders.
pub struct StartQueue {
    cx: StartQueueContext,
    handover: Rc<RefCell<Handover>>,
    peers: FastMap<Name, Rc<Peer>>,
    /// Starts that wait for room on the coordinator's own link.
    own: VecDeque<Waiting>,
    /// Starts that wait, by the address of their sender.
    queued: FastMap<Name, VecDeque<Waiting>>,
}

/// A start and the link that sends it if the chosen sender cannot.
type Handed = (Rc<Link>, StartOrder);

/// A start that waits for its sender, and since when.
struct Waiting {
    handed: Handed,
    since: Moment,
}

/// Another entry host.
struct Peer {
    address: Name,
    link: PeerLink,
    /// Its process, a reading of that process's clock, and when the reading was received.
    clock: RefCell<Option<(u64, u64, Moment)>>,
}

impl Peer {
    /// Returns a permission that ends `ms` from now or sooner: the clock was read before it was received, and may
    /// be slow since.
    fn permission(&self, now: Moment, ms: Millisecond) -> Option<Permission> {
        let (incarnation, clock, read) = (*self.clock.borrow())?;
        let until_ms = clock.saturating_add(without_drift(now.since(read)) + ms);
        Some(Permission { incarnation, until_ms })
    }
}

impl StartQueue {
    /// Creates an empty queue.
    pub fn new(cx: StartQueueContext) -> Self {
        Self {
            cx,
            handover: Rc::default(),
            peers: FastMap::default(),
            own: VecDeque::new(),
            queued: FastMap::default(),
        }
    }

    /// Returns how many starts may be sent now; see [`Handover::start_room`].
    pub fn start_room(&self, own: usize, others: usize, is_late: bool, now: Moment) -> usize {
        let mut handover = self.handover.borrow_mut();
        handover.note_lateness(is_late, now);
        handover.start_room(own, others, now)
    }

    /// Returns how many starts wait for room on the coordinator's own link.
    pub fn waiting(&self) -> usize {
        self.own.len()
    }

    /// Queues a start of a job that the entry host at `accepted_by` has accepted, until [`StartQueue::flush`].
    pub fn start(&mut self, accepted_by: &Name, link: &Rc<Link>, start: StartOrder) {
        let now = self.cx.clock.now();
        let is_own = *accepted_by == self.cx.own_address;
        let sender = match is_own {
            true => Sender::Own,
            false => self.handover.borrow_mut().choose(accepted_by, now),
        };
        let waiting = Waiting { handed: (link.clone(), start), since: now };
        match sender {
            Sender::Own => self.own.push_back(waiting),
            Sender::Other(it) => self.queued.entry(it).or_default().push_back(waiting),
        }
    }

    /// Sends as many of the waiting starts as `own_room` and the other senders take now, and gives up those that waited
    /// too long. Returns how many were sent or handed over.
    pub fn flush(&mut self, own_room: usize) -> usize {
        let now = self.cx.clock.now();
        let mut own = std::mem::take(&mut self.own);
        self.give_up_old(&self.cx.own_address, &mut own, now);
        let count = own_room.min(own.len());
        own.drain(..count).for_each(|it| it.handed.0.start(it.handed.1));
        self.own = own;
        count + self.flush_others(now)
    }

    fn flush_others(&mut self, now: Moment) -> usize {
        let mut sent = 0;
        for (address, mut queue) in std::mem::take(&mut self.queued) {
            self.give_up_old(&address, &mut queue, now);
            let count = self.handover.borrow_mut().take(&address).min(queue.len());
            let batch: Vec<Handed> = queue.drain(..count).map(|it| it.handed).collect();
            if !queue.is_empty() {
                self.queued.insert(address.clone(), queue);
            }
            sent += batch.len();
            if !batch.is_empty() {
                self.hand_over(&address, batch, now);
            }
        }
        sent
    }

    fn give_up_old(&self, sender: &Name, queue: &mut VecDeque<Waiting>, now: Moment) {
        let mut count = 0;
        while queue.front().is_some_and(|it| now.since(it.since) > MAX_WAIT_MS)
            && let Some(Waiting { handed: (link, start), .. }) = queue.pop_front()
        {
            count += 1;
            link.start_replied(start.task, start.run, StartReply::NotSent);
        }
        if count > 0 {
            self.handover.borrow_mut().given_up(sender, count);
            self.cx.metrics.handed_starts("given-up", count);
            tracing::info!(event = "starts-given-up", %sender, count);
        }
    }

    fn hand_over(&mut self, sender: &Name, batch: Vec<Handed>, now: Moment) {
        let Some(peer) = self.peer(sender) else {
            self.handover.borrow_mut().failed(sender, batch.len(), now);
            return batch.into_iter().for_each(|(link, start)| link.start(start));
        };
        monoio::spawn(hand_over(self.cx.clone(), self.handover.clone(), peer, batch));
    }

    fn peer(&mut self, address: &Name) -> Option<Rc<Peer>> {
        if let Some(it) = self.peers.get(address) {
            return Some(it.clone());
        }
        let addr: SocketAddr = address
            .parse()
            .inspect_err(|e| tracing::warn!(event = "sender-address-invalid", %address, error = %e))
            .ok()?;
        let peer = Rc::new(Peer {
            address: address.clone(),
            link: PeerLink::start(addr),
            clock: RefCell::default(),
        });
        self.peers.insert(address.clone(), peer.clone());
        Some(peer)
    }
}

async fn hand_over(
    cx: StartQueueContext,
    handover: Rc<RefCell<Handover>>,
    peer: Rc<Peer>,
    batch: Vec<Handed>,
) {
    let begun = cx.clock.now();
    let count = batch.len();
    let (handed, starts) = prepare(batch);
    let time_limit = handed.first().map_or(Duration::ZERO, |it| it.0.time_limit());
    let time_left = handed.first().map_or(0, |it| it.0.start_time_left());
    let time_limit_ms = time_limit.as_millis() as u64;
    let call = HandedStarts {
        fence: cx.fence,
        permission: peer.permission(begun, time_left.min(time_limit_ms + HANDOVER_MS)),
        time_limit: CallTime::of(time_limit),
        starts,
    };
    let reply = peer.link.call::<HandedReply>(METHOD, &call, time_limit + ROUND_TRIP_TIME).await;
    let now = cx.clock.now();
    let took_ms = now.since(begun);
    let sender = &peer.address;
    match reply {
        Ok(reply) if reply.outcomes.len() == handed.len() => {
            *peer.clock.borrow_mut() = Some((reply.incarnation, reply.clock_ms, now));
            handover.borrow_mut().answered(sender, count, reply.took_ms);
            cx.metrics.handed_starts("answered", count);
            let sender_ms = reply.took_ms;
            tracing::info!(event = "starts-handed-over", %sender, count, took_ms, sender_ms);
            for ((link, start), outcome) in handed.into_iter().zip(reply.outcomes) {
                settle(link, start, outcome);
            }
        }
        Err(e @ Error::Unreachable(_)) => {
            handover.borrow_mut().failed(sender, count, now);
            cx.metrics.handed_starts("unreachable", count);
            tracing::warn!(event = "sender-unreachable", %sender, count, error = %e);
            handed.into_iter().for_each(|(link, start)| link.start(start));
        }
        other => {
            handover.borrow_mut().failed(sender, count, now);
            cx.metrics.handed_starts("unanswered", count);
            let error = other.err().map(|it| it.to_string()).unwrap_or_default();
            tracing::warn!(event = "sender-unanswered", %sender, count, took_ms, error);
            for (link, start) in handed {
                link.start_replied(start.task, start.run, StartReply::Unknown);
            }
        }
    }
}

/// Splits off what the sender needs. Starts that may not be sent now are reported as not sent.
fn prepare(batch: Vec<Handed>) -> (Vec<Handed>, Vec<HandedStart>) {
    let mut handed = Vec::with_capacity(batch.len());
    let mut starts = Vec::with_capacity(batch.len());
    for (link, start) in batch {
        let Some(deadline_ms) = link.begin_start() else {
            link.start_replied(start.task, start.run, StartReply::NotSent);
            continue;
        };
        starts.push(HandedStart {
            worker: link.worker.id.clone(),
            addr: link.worker.addr,
            data_centre: link.worker.data_centre.clone(),
            task: start.task.clone(),
            run: start.run,
            deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        });
        handed.push((link, start));
    }
    (handed, starts)
}

fn settle(link: Rc<Link>, start: StartOrder, outcome: Outcome) {
    match outcome {
        Outcome::Replied(reply) => link.start_replied(start.task, start.run, reply),
        Outcome::WorkerGone => link.report_dead(),
        Outcome::NotSent => link.start(start),
    }
}
