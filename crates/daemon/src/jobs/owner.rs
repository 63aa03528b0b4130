//! The task of one pool: schedules its jobs while this entry host owns it.

use std::{pin::pin, rc::Rc, time::Duration};

use fuchsiamill_model::{HostName, JobId, Moment, PoolName, task::Fence};
use fuchsiamill_policy::{
    jobs::WaitCause,
    membership::{self as cluster, TenureId},
};
use fuchsiamill_ports::Result;
use futures_util::future::{Either, select};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot};

use super::{
    takeover::{Taken, take_over},
    tenure::{Standing, Tenure, TenureEvent},
};
use crate::cx::Cx;

const TICK: Duration = Duration::from_millis(50);
const IDLE_TICK: Duration = Duration::from_millis(500);
/// The time before a takeover that failed is tried again, in milliseconds.
const RETAKE_MS: u64 = 500;

/// What the task is told.
#[derive(Debug)]
pub(super) enum Event {
    /// Rows of these jobs changed.
    Changed(Vec<JobId>),
    /// A takeover ended.
    Taken(Result<Option<Taken>>),
    /// Somebody asks how many jobs hold hosts.
    Held {
        /// The hosts.
        hosts: Vec<HostName>,
        /// Where the counts go.
        reply: oneshot::Sender<Vec<u32>>,
    },
    /// Somebody asks why jobs wait.
    Waits {
        /// The jobs.
        jobs: Vec<JobId>,
        /// Where the causes go.
        reply: oneshot::Sender<Vec<Option<WaitCause>>>,
    },
    /// Something came back to the tenure with this fence.
    Tenure(Fence, TenureEvent),
}

/// The task of one pool.
pub(super) struct PoolOwner {
    cx: Rc<Cx>,
    pool: PoolName,
    tx: mpsc::UnboundedSender<Event>,
    rx: mpsc::UnboundedReceiver<Event>,
    state: State,
}

enum State {
    /// Not the owner, or not before this moment.
    Idle(Moment),
    Taking(TenureId),
    Owning(TenureId, Box<Tenure>),
}

/// What this entry host may do for the pool now.
enum Role {
    /// It owns the pool in this tenure.
    Owner(TenureId),
    /// It may own it again soon in the same tenure, and gives no orders until then.
    Suspended,
    /// It does not own it.
    Other,
}

impl PoolOwner {
    /// A task that owns nothing yet.
    pub(super) fn new(
        cx: Rc<Cx>,
        pool: PoolName,
        tx: mpsc::UnboundedSender<Event>,
        rx: mpsc::UnboundedReceiver<Event>,
    ) -> Self {
        Self { cx, pool, tx, rx, state: State::Idle(Moment::default()) }
    }

    /// Runs until the daemon ends.
    pub(super) async fn run(mut self) {
        loop {
            if let Some(event) = self.next_event().await {
                self.on_event(event);
                while let Ok(event) = self.rx.try_recv() {
                    self.on_event(event);
                }
            }
            self.step();
        }
    }

    async fn next_event(&mut self) -> Option<Event> {
        let tick = if matches!(self.state, State::Owning(..)) { TICK } else { IDLE_TICK };
        let event = pin!(self.rx.recv());
        let tick = pin!(sleep(tick));
        match select(event, tick).await {
            Either::Left((event, _)) => event,
            Either::Right(_) => None,
        }
    }

    fn role(&self) -> Role {
        match self.cx.cluster.tenure(&self.pool) {
            cluster::Tenure::Mine(id) => Role::Owner(id),
            cluster::Tenure::Suspended => Role::Suspended,
            cluster::Tenure::Other(_) | cluster::Tenure::Nobody => Role::Other,
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Changed(jobs) => {
                if let State::Owning(_, tenure) = &mut self.state {
                    tenure.on_changed(jobs);
                }
            }
            Event::Held { hosts, reply } => {
                if let State::Owning(_, tenure) = &self.state {
                    let _ = reply.send(tenure.held(&hosts));
                }
            }
            Event::Waits { jobs, reply } => {
                if let State::Owning(_, tenure) = &self.state {
                    let _ = reply.send(tenure.waits(&jobs));
                }
            }
            Event::Taken(taken) => self.on_taken(taken),
            Event::Tenure(fence, event) => self.on_tenure_event(fence, event),
        }
    }

    fn on_taken(&mut self, taken: Result<Option<Taken>>) {
        let later = State::Idle(self.cx.clock.now() + RETAKE_MS);
        let State::Taking(began) = std::mem::replace(&mut self.state, later) else { return };
        let Ok(Some(taken)) = taken else { return };
        match self.role() {
            Role::Owner(id) if id == began => {
                log::info!("jobs of pool '{}' are scheduled here now", self.pool);
                self.cx.metrics.event("jobs_taken_over");
                let tenure = Tenure::new(self.cx.clone(), self.tx.clone(), taken);
                self.state = State::Owning(id, Box::new(tenure));
            }
            Role::Owner(_) | Role::Suspended | Role::Other => (),
        }
    }

    fn on_tenure_event(&mut self, fence: Fence, event: TenureEvent) {
        let State::Owning(_, tenure) = &mut self.state else { return };
        if tenure.fence() == fence && tenure.on_event(event) == Standing::Lost {
            self.lose();
        }
    }

    fn step(&mut self) {
        let role = self.role();
        let now = self.cx.clock.now();
        match (&mut self.state, role) {
            (State::Owning(id, tenure), Role::Owner(now_id)) if *id == now_id => tenure.step(now),
            (State::Owning(..), Role::Suspended) => (),
            (State::Owning(..), _) => self.lose(),
            (State::Idle(until), Role::Owner(id)) if *until <= now => self.start_takeover(id),
            (State::Idle(_) | State::Taking(_), _) => (),
        }
    }

    fn lose(&mut self) {
        log::info!("jobs of pool '{}' are no longer scheduled here", self.pool);
        self.state = State::Idle(self.cx.clock.now() + RETAKE_MS);
    }

    fn start_takeover(&mut self, id: TenureId) {
        self.state = State::Taking(id);
        let (cx, pool, tx) = (self.cx.clone(), self.pool.clone(), self.tx.clone());
        monoio::spawn(async move {
            let _ = tx.send(Event::Taken(take_over(&cx, &pool).await));
        });
    }
}
