//! One link to each worker: it looks at the worker, renews its leases and carries orders.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fuchsiamill_fleet::{Name, Report, TaskId, WorkerSeen, coordinator::StartReply};
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::{WorkerCallError, WorkerClient};
use monoio::time::{sleep, timeout};
use tokio::sync::Notify;

use super::event::{Event, Teller};
use crate::clock::Clock;

/// How long a look waits for an end while something runs.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);

/// How long a look waits for the record of ends that were listed.
const RECORD_WAIT: Duration = Duration::from_millis(300);

/// How long an order or a look may take beyond its wait.
const ORDER_TIME: Duration = Duration::from_millis(400);

/// The pause after a look that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a look that found the worker's life over.
const DEAD_PAUSE: Duration = Duration::from_millis(500);

/// Tries of a stop before the coordinator, which knows what else became of the worker, orders it anew.
const STOP_TRIES: u32 = 3;

/// What links tell the coordinator.
#[derive(Debug)]
pub enum LinkEvent {
    /// A worker answered a look.
    Held(Name, Report),
    /// A worker does not answer; its leases were last renewed at this moment.
    Silent(Name, Moment),
    /// The life of a worker that was born then is over.
    Dead(Name, u64),
    /// A worker that was born then has told whether it takes itself for healthy.
    ToldHealth(Name, u64, bool),
    /// An order to start was answered.
    Started(TaskId, u32, StartReply),
    /// A stop was confirmed.
    Stopped(TaskId, u32),
    /// A stop was given up: it may have been carried out or not.
    NotStopped(TaskId, u32),
    /// An order to set a run's speed was not answered.
    NotPaced(TaskId, u32),
    /// Another coordinator gives orders.
    Fenced(Name),
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The job's payload.
    pub payload: Arc<str>,
    /// Saved progress, empty when there is none.
    pub saved: Name,
    /// What the advice service gave, empty where none is needed.
    pub ticket: Name,
}

/// What every link shares.
#[derive(Clone)]
pub struct LinkTerms {
    /// The clock.
    pub clock: Clock,
    /// Where events go.
    pub teller: Teller,
    /// The fence of all orders.
    pub fence: u64,
    /// How long a lease is renewed for.
    pub lease_ms: Millisecond,
    /// Whether this process still coordinates.
    pub is_leading: Rc<Cell<bool>>,
    /// When the store last confirmed that it does.
    pub confirmed: Rc<Cell<Moment>>,
    /// How long after that leases are renewed.
    pub renewal_ms: Millisecond,
}

/// A link to one life of a worker.
pub struct Link {
    terms: LinkTerms,
    client: WorkerClient,
    /// The worker.
    pub worker: WorkerSeen,
    state: RefCell<LinkState>,
    wake: Notify,
}

struct LinkState {
    /// A reading of the worker's clock and when it was received.
    clock: Option<(u64, Moment)>,
    renewed: Moment,
    is_silent: bool,
    is_busy: bool,
    is_closed: bool,
    recorded_upto: u64,
    told_upto: u64,
    /// The last end that was listed: a look returns at once until it is acknowledged.
    last_end: u64,
}

enum Next {
    Look,
    Pause(Duration),
}

impl Link {
    /// Begins to look at a worker.
    pub fn open(worker: WorkerSeen, terms: LinkTerms) -> Rc<Self> {
        let now = terms.clock.now();
        let link = Rc::new(Self {
            client: WorkerClient::new(&worker.id, worker.addr, terms.fence),
            state: RefCell::new(LinkState {
                clock: None,
                renewed: now,
                is_silent: false,
                is_busy: false,
                is_closed: false,
                recorded_upto: 0,
                told_upto: 0,
                last_end: 0,
            }),
            wake: Notify::new(),
            worker,
            terms,
        });
        monoio::spawn(link.clone().look_always());
        link
    }

    /// Ends the link.
    pub fn close(&self) {
        self.state.borrow_mut().is_closed = true;
        self.wake.notify_one();
    }

    /// Whether something may run on the worker, so that it has to be looked at.
    pub fn set_busy(&self, is_busy: bool) {
        let was_busy = std::mem::replace(&mut self.state.borrow_mut().is_busy, is_busy);
        if is_busy && !was_busy {
            self.wake.notify_one();
        }
    }

    /// Ends up to this number are stored.
    pub fn acknowledge(&self, upto: u64) {
        self.state.borrow_mut().recorded_upto = upto;
        self.wake.notify_one();
    }

    fn is_over(&self) -> bool {
        self.state.borrow().is_closed || !self.terms.is_leading.get()
    }

    async fn look_always(self: Rc<Self>) {
        while !self.is_over() {
            if self.may_rest() {
                self.wake.notified().await;
                continue;
            }
            // A timeout only means that the store is slow: the lease has to be renewed all the same.
            let _ = timeout(RECORD_WAIT, self.until_recorded()).await;
            match self.look().await {
                Next::Look => {}
                Next::Pause(span) => sleep(span).await,
            }
        }
    }

    async fn until_recorded(&self) {
        while self.awaits_record() && !self.is_over() {
            self.wake.notified().await;
        }
    }

    fn awaits_record(&self) -> bool {
        let state = self.state.borrow();
        state.recorded_upto < state.last_end && !state.is_silent
    }

    fn may_rest(&self) -> bool {
        let state = self.state.borrow();
        state.clock.is_some()
            && !state.is_busy
            && !state.is_silent
            && state.recorded_upto == state.told_upto
    }

    /// The worker's clock now, at the latest, and the end of a lease that begins now.
    fn deadline(&self, now: Moment) -> Option<u64> {
        let (clock, read) = self.state.borrow().clock?;
        Some(clock + now.since(read) + self.terms.lease_ms)
    }

    fn may_renew(&self, now: Moment) -> bool {
        now.since(self.terms.confirmed.get()) < self.terms.renewal_ms
    }

    async fn look(&self) -> Next {
        let asked = self.terms.clock.now();
        let (is_busy, is_silent, recorded_upto) = {
            let state = self.state.borrow();
            (state.is_busy, state.is_silent, state.recorded_upto)
        };
        let renews = !is_silent && self.may_renew(asked);
        let deadline = renews.then(|| self.deadline(asked)).flatten();
        if deadline.is_some() {
            self.state.borrow_mut().renewed = asked;
        }
        let wait = if is_busy && !is_silent { LOOK_WAIT } else { Duration::ZERO };
        let answer =
            self.client.poll(asked, deadline, recorded_upto, wait, wait + ORDER_TIME).await;
        if self.is_over() {
            return Next::Look;
        }
        match answer {
            Ok(held) => {
                let mut state = self.state.borrow_mut();
                state.clock = Some((held.clock_ms, self.terms.clock.now()));
                state.is_silent = false;
                state.told_upto = recorded_upto;
                let last_end = held.report.ended.iter().map(|it| it.number).max().unwrap_or(0);
                state.last_end = last_end.max(state.last_end);
                drop(state);
                self.tell(LinkEvent::Held(self.worker.id.clone(), held.report));
                Next::Look
            }
            Err(e) => self.look_failed(e),
        }
    }

    fn look_failed(&self, e: WorkerCallError) -> Next {
        let id = self.worker.id.clone();
        tracing::debug!(event = "look-failed", worker = %id, error = %e);
        match e {
            WorkerCallError::OtherIncarnation | WorkerCallError::Closed => {
                self.state.borrow_mut().clock = None;
                self.tell(LinkEvent::Dead(id, self.worker.born));
                Next::Pause(DEAD_PAUSE)
            }
            WorkerCallError::Fenced => {
                self.tell(LinkEvent::Fenced(id));
                Next::Pause(DEAD_PAUSE)
            }
            WorkerCallError::Call(_) => {
                let renewed = {
                    let mut state = self.state.borrow_mut();
                    state.is_silent = true;
                    state.renewed
                };
                self.tell(LinkEvent::Silent(id, renewed));
                Next::Pause(RETRY_PAUSE)
            }
        }
    }

    fn tell(&self, event: LinkEvent) {
        self.terms.teller.tell(Event::Link(event));
    }

    /// Sends an order to start; one without an answer is sent once more, since it does nothing twice.
    pub async fn start(self: Rc<Self>, start: StartOrder) {
        let StartOrder { task, run, payload, saved, ticket } = start;
        let ticket = (!ticket.is_empty()).then_some(ticket.as_str());
        let mut answer = StartReply::NotSent;
        for _ in 0..2 {
            let now = self.terms.clock.now();
            let Some(deadline) = self.deadline(now).filter(|_| !self.is_over()) else { break };
            if self.state.borrow().is_silent || !self.may_renew(now) {
                break;
            }
            {
                let mut state = self.state.borrow_mut();
                state.renewed = now;
                state.is_busy = true;
            }
            self.wake.notify_one();
            let order = (&task, run);
            let sent =
                self.client.start(order, &payload, &saved, ticket, deadline, ORDER_TIME).await;
            answer = match (sent, answer) {
                (Ok(it), before) => it.after(before),
                (Err(WorkerCallError::OtherIncarnation | WorkerCallError::Closed), _) => {
                    self.tell(LinkEvent::Dead(self.worker.id.clone(), self.worker.born));
                    return;
                }
                (Err(e), before) => {
                    tracing::warn!(event = "start-failed", task = %task, run, error = %e);
                    before
                }
            };
            if answer != StartReply::Unknown {
                break;
            }
        }
        self.tell(LinkEvent::Started(task, run, answer));
    }

    /// Asks the worker whether it takes itself for healthy. No answer tells nothing that a look would not tell.
    pub async fn ask_health(self: Rc<Self>, path: Name) {
        match self.client.is_healthy(&path, ORDER_TIME).await {
            Ok(is_healthy) => {
                let (id, born) = (self.worker.id.clone(), self.worker.born);
                self.tell(LinkEvent::ToldHealth(id, born, is_healthy));
            }
            Err(e) => {
                tracing::debug!(event = "health-not-told", worker = %self.worker.id, error = %e);
            }
        }
    }

    /// Sets a run's speed.
    pub async fn pace(self: Rc<Self>, task: TaskId, run: u32, percent: u32) {
        if let Err(e) = self.client.pace(&task, run, percent, ORDER_TIME).await {
            tracing::debug!(event = "pace-failed", task = %task, run, percent, error = %e);
            self.tell(LinkEvent::NotPaced(task, run));
        }
    }

    /// Stops a run: tells whether the worker has confirmed it.
    pub async fn stop(self: Rc<Self>, task: TaskId, run: u32) {
        for _ in 0..STOP_TRIES {
            if self.is_over() {
                let worker = &self.worker.id;
                tracing::info!(event = "stop-not-sent", %task, run, %worker, cause = "link closed");
                return self.tell(LinkEvent::NotStopped(task, run));
            }
            self.set_busy(true);
            match self.client.stop(&task, run, ORDER_TIME).await {
                Ok(()) => {
                    tracing::info!(event = "stop-confirmed", task = %task, run);
                    return self.tell(LinkEvent::Stopped(task, run));
                }
                Err(WorkerCallError::OtherIncarnation | WorkerCallError::Closed) => {
                    self.tell(LinkEvent::Dead(self.worker.id.clone(), self.worker.born));
                    return;
                }
                Err(e) => tracing::info!(event = "stop-failed", task = %task, run, error = %e),
            }
            sleep(RETRY_PAUSE).await;
        }
        tracing::warn!(event = "stop-given-up", task = %task, run, worker = %self.worker.id);
        self.tell(LinkEvent::NotStopped(task, run));
    }
}
