//! The links to workers. Each one polls its worker, renews the leases of the runs there and sends orders.

mod orders;

use std::{
    cell::{Cell, RefCell},
    future,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_fleet::{
    CallTimes, Lateness, StartBudget, WorkerInfo, WorkerReport, timing::elapsed_at_least,
};
use fuchsiamill_http::ExchangeError;
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::{CallError, Traffic, WorkerCallError, WorkerClient};
use futures_util::future::{Either, select};
use monoio::time::{sleep, timeout};
use tokio::sync::{Notify, watch};

pub use orders::StartOrder;

use super::event::{Event, EventSender, LinkEvent};
use crate::{clock::Clock, config::Intent};

/// How long a poll waits at the worker for the end of a run while any is running.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// How long the next poll is put off until ends that the worker listed are recorded.
const RECORD_WAIT: Duration = Duration::from_millis(300);

/// A reading of a worker's clock is used for this long. A lease is shorter by 2 % of its age.
const MAX_READING_AGE_MS: Millisecond = 10_000;

/// The pause after a poll or a stop that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The longest time for which the silence of a worker may be taken for a delay of this process. All workers with tasks may
/// be cut off while others have room.
const MAX_OWN_DELAY_MS: Millisecond = 10_000;

/// The pause after a poll that found the worker process gone or the orders of this coordinator fenced off.
const DEAD_PAUSE: Duration = Duration::from_millis(500);

/// What all links share.
#[derive(Clone)]
pub struct LinkContext {
    pub clock: Clock,
    pub event_sender: EventSender,
    /// The fencing token of all orders.
    pub fence: u64,
    /// The duration of a renewed lease.
    pub lease_ms: Millisecond,
    /// Whether this process still coordinates.
    pub is_leading: Rc<Cell<bool>>,
    /// When the store last confirmed that this process coordinates.
    pub confirmed: Rc<Cell<Moment>>,
    /// How long after `confirmed` leases are still renewed.
    pub renewal_ms: Millisecond,
    /// How long calls to workers take.
    pub calls: Rc<RefCell<CallTimes>>,
    /// How late this process is with its calls to workers.
    pub lateness: Rc<RefCell<Lateness>>,
    /// The table of jobs is known as of this moment or a later one.
    pub jobs_known: Rc<Cell<Moment>>,
    /// The time that the age of the table of jobs and the calls that start tasks share.
    pub start_budget: StartBudget,
    /// The bytes exchanged with workers.
    pub traffic: Rc<Traffic>,
    /// What the operator wants, the data centres that are evacuated among it.
    pub intent: watch::Receiver<Intent>,
}

impl LinkContext {
    /// Returns whether tasks may start. A cancellation or an evacuation that is not known yet would be missed.
    pub fn may_start(&self, now: Moment) -> bool {
        self.start_budget.allows(now.since(self.jobs_known.get()))
            && self.intent.borrow().is_current(now)
    }

    /// Returns whether the data centre of a worker is evacuated.
    fn is_evacuated(&self, worker: &WorkerInfo) -> bool {
        self.intent.borrow().evacuated.contains(&worker.data_centre)
    }

    /// Returns the time limit of a call, without the time that the worker is asked to wait.
    fn time_limit(&self) -> Duration {
        Duration::from_millis(self.lateness.borrow().time_limit_ms())
    }

    fn note_answered(&self, ms: Millisecond) {
        self.calls.borrow_mut().answered(ms);
        self.lateness.borrow_mut().answered(ms, self.clock.now());
    }

    fn note_unanswered(&self) {
        self.calls.borrow_mut().unanswered();
        self.lateness.borrow_mut().unanswered(self.clock.now());
    }
}

/// A link to one process of a worker.
pub struct Link {
    context: LinkContext,
    client: WorkerClient,
    /// The worker.
    pub worker: WorkerInfo,
    state: RefCell<LinkState>,
    wake: Notify,
    look: Notify,
}

struct LinkState {
    /// A reading of the worker's clock, and when it was received.
    clock: Option<(u64, Moment)>,
    /// When the link last sent a renewal of the leases.
    renewed: Moment,
    is_silent: bool,
    /// When the last answer to a poll was received.
    answered: Moment,
    /// Whether the last poll was not answered.
    has_unanswered_poll: bool,
    is_busy: bool,
    is_closed: bool,
    /// Whether the next poll is not to wait at the worker.
    must_look: bool,
    /// Ends up to this number are stored.
    recorded_upto: u64,
    /// The worker knows that ends up to this number are stored.
    acknowledged_upto: u64,
    /// The number of the last end that the worker listed. Polls return at once until this end is acknowledged.
    last_end: u64,
}

enum NextStep {
    Poll,
    Pause(Duration),
}

impl Link {
    /// Opens a link, which polls the worker at once.
    pub fn open(worker: WorkerInfo, context: LinkContext) -> Rc<Self> {
        let now = context.clock.now();
        let traffic = context.traffic.clone();
        let link = Rc::new(Self {
            client: WorkerClient::with_traffic(&worker.id, worker.addr, context.fence, traffic),
            state: RefCell::new(LinkState {
                clock: None,
                renewed: now,
                answered: now,
                is_silent: false,
                has_unanswered_poll: false,
                is_busy: false,
                is_closed: false,
                must_look: false,
                recorded_upto: 0,
                acknowledged_upto: 0,
                last_end: 0,
            }),
            wake: Notify::new(),
            look: Notify::new(),
            worker,
            context,
        });
        monoio::spawn(link.clone().poll_loop());
        link
    }

    /// Closes the link.
    pub fn close(&self) {
        self.state.borrow_mut().is_closed = true;
        self.wake.notify_one();
    }

    /// Sets whether something may run on the worker. A busy worker is polled without pause.
    pub fn set_busy(&self, is_busy: bool) {
        let was_busy = std::mem::replace(&mut self.state.borrow_mut().is_busy, is_busy);
        if is_busy && !was_busy {
            self.wake.notify_one();
        }
    }

    /// Polls the worker at once; a poll that waits at the worker is abandoned.
    pub fn look(&self) {
        self.state.borrow_mut().must_look = true;
        self.look.notify_one();
        self.wake.notify_one();
    }

    /// Records that the ends up to this number are stored; the next poll tells the worker.
    pub fn acknowledge(&self, upto: u64) {
        self.state.borrow_mut().recorded_upto = upto;
        self.wake.notify_one();
    }

    fn is_over(&self) -> bool {
        self.state.borrow().is_closed || !self.context.is_leading.get()
    }

    async fn poll_loop(self: Rc<Self>) {
        while !self.is_over() {
            if self.may_idle() {
                self.wake.notified().await;
                continue;
            }
            // A timeout only means that the store is slow; the leases have to be renewed all the same.
            let _ = timeout(RECORD_WAIT, self.wait_for_record()).await;
            match self.poll().await {
                NextStep::Poll => {}
                NextStep::Pause(span) => sleep(span).await,
            }
        }
    }

    async fn wait_for_record(&self) {
        while self.awaits_record() && !self.is_over() {
            self.wake.notified().await;
        }
    }

    fn awaits_record(&self) -> bool {
        let state = self.state.borrow();
        state.recorded_upto < state.last_end && !state.is_silent
    }

    fn may_idle(&self) -> bool {
        let state = self.state.borrow();
        state.clock.is_some()
            && !state.is_busy
            && !state.is_silent
            && !state.must_look
            && state.recorded_upto == state.acknowledged_upto
    }

    /// Returns the end of a lease that begins now, on the worker's clock; `None` without a recent reading of that clock. It
    /// may have run slow since the reading, so that a lease is rather too short than too long.
    fn deadline(&self, now: Moment) -> Option<u64> {
        let (clock, read) = self.state.borrow().clock?;
        let age = now.since(read);
        (age <= MAX_READING_AGE_MS).then(|| clock + elapsed_at_least(age) + self.context.lease_ms)
    }

    /// Reports that the worker process is gone.
    pub fn report_dead(&self) {
        self.send(LinkEvent::Dead(self.worker.id.clone(), self.worker.born));
    }

    fn may_renew(&self, now: Moment) -> bool {
        now.since(self.context.confirmed.get()) < self.context.renewal_ms
    }

    async fn poll(&self) -> NextStep {
        let asked = self.context.clock.now();
        // The numbers of ends are those of one incarnation. A new connection may lead to the next one, which would forget
        // ends that it has never listed. Leases are renewed there too: the answers may get lost, and the polls arrive.
        let is_known = self.client.keeps_poll_connection();
        let (waits, is_silent, recorded_upto, acknowledged_upto) = {
            let mut state = self.state.borrow_mut();
            let must_look = std::mem::take(&mut state.must_look);
            let waits = is_known && state.is_busy && !state.is_silent && !must_look;
            let recorded_upto = if is_known { state.recorded_upto } else { 0 };
            (waits, state.is_silent, recorded_upto, state.acknowledged_upto)
        };
        if recorded_upto > acknowledged_upto {
            let (worker, fence) = (&self.worker.id, self.context.fence);
            tracing::debug!(event = "ends-told", %worker, fence, recorded_upto);
        }
        let renews = !is_silent && self.may_renew(asked);
        let deadline = renews.then(|| self.deadline(asked)).flatten();
        if deadline.is_some() {
            self.state.borrow_mut().renewed = asked;
        }
        let wait = if waits { POLL_WAIT } else { Duration::ZERO };
        let poll = self.client.poll(
            asked,
            deadline,
            recorded_upto,
            wait,
            wait + self.context.time_limit(),
        );
        let answer = match select(pin!(poll), pin!(self.interrupted(waits))).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => return NextStep::Poll,
        };
        self.note_call(asked, wait, &answer);
        if self.is_over() {
            return NextStep::Poll;
        }
        match answer {
            Ok(held) if held.report.born != self.worker.born => {
                tracing::info!(event = "worker-restarted", worker = %self.worker.id, born = held.report.born);
                self.close();
                self.send(LinkEvent::Reported(self.worker.id.clone(), held.report));
                NextStep::Poll
            }
            Ok(held) => {
                let mut state = self.state.borrow_mut();
                let now = self.context.clock.now();
                state.clock = Some((held.clock_ms, now));
                state.answered = now;
                state.is_silent = false;
                state.has_unanswered_poll = false;
                state.acknowledged_upto = recorded_upto;
                let last_end = held.report.ended.iter().map(|it| it.number).max().unwrap_or(0);
                let is_new_end = last_end > state.last_end;
                state.last_end = last_end.max(state.last_end);
                drop(state);
                if is_new_end || recorded_upto > acknowledged_upto {
                    self.log_ends(&held.report, recorded_upto);
                }
                self.send(LinkEvent::Reported(self.worker.id.clone(), held.report));
                NextStep::Poll
            }
            // The worker, or the path to it, has ended the connection.
            Err(WorkerCallError::Call(CallError::Unanswered { cause, .. }))
                if is_known && !matches!(cause, ExchangeError::Late) =>
            {
                NextStep::Poll
            }
            Err(e) => self.poll_failed(e),
        }
    }

    /// Logs which ends the worker lists, after a poll that told it that the ends up to `recorded_upto` are stored.
    fn log_ends(&self, report: &WorkerReport, recorded_upto: u64) {
        let (worker, fence, born) = (&self.worker.id, self.context.fence, report.born);
        let (first, last) = (report.ended.first(), report.ended.last());
        let (first, last) = (first.map_or(0, |it| it.number), last.map_or(0, |it| it.number));
        tracing::debug!(event = "ends-listed", %worker, fence, born, recorded_upto, first, last);
    }

    /// Returns once a poll that waits at the worker is to be abandoned.
    async fn interrupted(&self, waits: bool) {
        if !waits {
            return future::pending().await;
        }
        while !self.state.borrow().must_look {
            self.look.notified().await;
        }
    }

    /// Returns whether an unanswered poll tells nothing of the worker yet: it is the first one without an answer, or
    /// hardly any worker answers this process. The leases are renewed meanwhile.
    fn may_be_own_delay(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_first = !std::mem::replace(&mut state.has_unanswered_poll, true);
        let now = self.context.clock.now();
        let may_wait = now.since(state.answered) < MAX_OWN_DELAY_MS && self.may_renew(now);
        is_first || self.context.lateness.borrow().is_unanswered() && may_wait
    }

    fn poll_failed(&self, e: WorkerCallError) -> NextStep {
        let id = self.worker.id.clone();
        tracing::debug!(event = "look-failed", worker = %id, error = %e);
        match e {
            WorkerCallError::OtherIncarnation => {
                self.state.borrow_mut().clock = None;
                self.report_dead();
                NextStep::Pause(DEAD_PAUSE)
            }
            WorkerCallError::Fenced => {
                self.send(LinkEvent::Fenced(id));
                NextStep::Pause(DEAD_PAUSE)
            }
            WorkerCallError::Call(_) if self.may_be_own_delay() => {
                if !self.context.lateness.borrow().is_late() {
                    self.send(LinkEvent::Unanswered(id));
                }
                NextStep::Pause(RETRY_PAUSE)
            }
            WorkerCallError::Call(_) => {
                let renewed = {
                    let mut state = self.state.borrow_mut();
                    state.is_silent = true;
                    state.renewed
                };
                self.send(LinkEvent::Silent(id, renewed));
                NextStep::Pause(RETRY_PAUSE)
            }
        }
    }

    /// Notes how long a call took that was begun at `begun`, without the time that the worker was asked to wait.
    fn note_call<T>(&self, begun: Moment, wait: Duration, answer: &Result<T, WorkerCallError>) {
        let took = self.context.clock.now().since(begun);
        match answer {
            Err(WorkerCallError::Call(_)) => self.context.note_unanswered(),
            // An answer before the end of the wait does not tell when the worker sent it.
            _ if took < wait.as_millis() as u64 => {}
            _ => self.context.note_answered(took - wait.as_millis() as u64),
        }
    }

    fn send(&self, event: LinkEvent) {
        self.context.event_sender.send(Event::Link(event));
    }
}
