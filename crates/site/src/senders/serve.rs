//! The sender's part: sends starts that the coordinator hands over.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_fleet::{Name, coordinator::StartReply};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};
use fuchsiamill_peer::{Router, call_channel};
use fuchsiamill_platform::{WorkerCallError, WorkerClient};
use futures_util::future::join_all;
use tokio::sync::watch;

use super::{
    Cancellations, HandedReply, HandedStart, HandedStarts, METHOD, Outcome, Payloads, Permission,
};
use crate::{clock::Clock, config::Intent, metrics::Metrics};

/// Connections to a worker are closed when no start was sent to it for this time. Each worker accepts only some tens.
const MAX_IDLE_MS: Millisecond = 2_000;

/// A call that would have less time is not begun. It is the least time limit of the coordinator's own calls.
const MIN_CALL_MS: Millisecond = 400;

/// Sends starts on behalf of the coordinator.
pub struct SenderService {
    /// Identifies this process.
    pub incarnation: u64,
    /// The process's clock.
    pub clock: Clock,
    /// The payloads of accepted jobs.
    pub payloads: Rc<RefCell<Payloads>>,
    /// The cancellations that this entry host has answered.
    pub cancellations: Rc<RefCell<Cancellations>>,
    /// What the operator wants, the data centres that are evacuated among it.
    pub intent: watch::Receiver<Intent>,
    /// The process's metrics.
    pub metrics: Rc<Metrics>,
    /// Clients of workers, by address, id and fencing token, each with its last use.
    clients: RefCell<FastMap<ClientKey, (Rc<WorkerClient>, Moment)>>,
}

type ClientKey = (SocketAddr, Name, u64);

impl SenderService {
    /// Creates the service of a process.
    pub fn new(
        incarnation: u64,
        clock: Clock,
        payloads: Rc<RefCell<Payloads>>,
        cancellations: Rc<RefCell<Cancellations>>,
        intent: watch::Receiver<Intent>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let clients = RefCell::default();
        Rc::new(Self { incarnation, clock, payloads, cancellations, intent, metrics, clients })
    }

    async fn send_all(&self, handed: HandedStarts) -> HandedReply {
        let begun = self.clock.now();
        self.drop_idle_clients();
        let HandedStarts { fence, permission, time_limit, starts } = handed;
        let time_limit = time_limit.duration();
        let sends = starts.iter().map(|it| self.send(it, fence, permission, time_limit));
        let outcomes = join_all(sends).await;
        self.count(&outcomes);
        let now = self.clock.now();
        HandedReply {
            incarnation: self.incarnation,
            clock_ms: now.0,
            took_ms: now.since(begun),
            outcomes,
        }
    }

    async fn send(
        &self,
        start: &HandedStart,
        fence: u64,
        permission: Option<Permission>,
        time_limit: Duration,
    ) -> Outcome {
        let (job, now) = (&start.task.job, self.clock.now());
        let kept = self.payloads.borrow().get(job);
        // With another outcome the coordinator, which has not heard of the cancellation yet, would send the start itself.
        if self.cancellations.borrow().contains(job, kept.as_ref().map(|it| &it.owner), now) {
            return Outcome::Replied(StartReply::NotSent);
        }
        if let Some(outcome) = self.refusal_for_evacuation(start) {
            return outcome;
        }
        let Some(payload) = kept.map(|it| it.payload) else { return Outcome::NotSent };
        let client = self.client(start, fence);
        let ticket = (!start.ticket.is_empty()).then_some(start.ticket.as_str());
        let Some(time_left) = self.time_left(permission) else { return Outcome::NotSent };
        let time_limit = time_limit.min(time_left);
        let order = (&start.task, start.run);
        let deadline_ms = start.deadline_ms;
        let reply =
            client.start(order, &payload, &start.checkpoint, ticket, deadline_ms, time_limit).await;
        match reply {
            Ok(reply) => Outcome::Replied(reply),
            Err(WorkerCallError::OtherIncarnation) => Outcome::WorkerGone,
            Err(e) => {
                let (task, run) = (&start.task, start.run);
                tracing::warn!(event = "start-failed", %task, run, error = %e);
                Outcome::Replied(StartReply::Unknown)
            }
        }
    }

    /// Returns the outcome of a start in a data centre that is evacuated. An old copy of the operator's table does not tell whether
    /// it still is: then the coordinator, which starts nothing by an old copy of its own, sends the start itself.
    fn refusal_for_evacuation(&self, start: &HandedStart) -> Option<Outcome> {
        let intent = self.intent.borrow();
        let is_evacuated = intent.evacuated.contains(&start.data_centre);
        is_evacuated.then(|| match intent.is_current(self.clock.now()) {
            true => Outcome::Replied(StartReply::NotSent),
            false => Outcome::NotSent,
        })
    }

    /// Returns how long the permission lasts; `None` if that is too short for a call, or it is that of another process.
    fn time_left(&self, permission: Option<Permission>) -> Option<Duration> {
        let until_ms = permission.filter(|it| it.incarnation == self.incarnation)?.until_ms;
        let left_ms = until_ms.saturating_sub(self.clock.now().0);
        (left_ms >= MIN_CALL_MS).then(|| Duration::from_millis(left_ms))
    }

    fn client(&self, start: &HandedStart, fence: u64) -> Rc<WorkerClient> {
        let key = (start.addr, start.worker.clone(), fence);
        let new = || Rc::new(WorkerClient::new(&start.worker, start.addr, fence));
        let mut clients = self.clients.borrow_mut();
        let (client, used) = clients.entry(key).or_insert_with(|| (new(), Moment(0)));
        *used = self.clock.now();
        client.clone()
    }

    fn drop_idle_clients(&self) {
        let now = self.clock.now();
        self.clients.borrow_mut().retain(|_, (_, used)| now.since(*used) <= MAX_IDLE_MS);
    }

    fn count(&self, outcomes: &[Outcome]) {
        let is_sent =
            |it: &Outcome| !matches!(it, Outcome::NotSent | Outcome::Replied(StartReply::NotSent));
        let not_sent = outcomes.iter().filter(|it| !is_sent(it)).count();
        self.metrics.handed_starts("sent", outcomes.len() - not_sent);
        self.metrics.handed_starts("not-sent", not_sent);
        if not_sent > 0 {
            tracing::info!(event = "starts-not-sent", count = not_sent, of = outcomes.len());
        }
    }
}

/// Serves the starts that the coordinator hands to this entry host.
pub fn serve(router: &mut Router, service: Rc<SenderService>) {
    let (tx, mut rx) = call_channel();
    router.route(METHOD, tx);
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            let Some((handed, reply)) = call.parse::<HandedStarts>() else { continue };
            let service = service.clone();
            monoio::spawn(async move { reply.send(Ok(service.send_all(handed).await)) });
        }
    });
}
