//! Which backend server runs a request, and when.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use fuchsiamill_model::{HostName, HostState, Moment, PoolName, Problem, ProblemKind, TeamName};
use fuchsiamill_peer::Router;

use crate::cx::Cx;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The pool that serves it.
    pub pool: PoolName,
    /// The team whose key came with it; none on a service open to all.
    pub team: Option<TeamName>,
    /// Its deadline on this host's clock.
    pub deadline: Moment,
}

/// Leave to run one request.
#[derive(Debug)]
pub struct Grant {
    /// The host whose backend server runs it.
    pub host: HostName,
    /// Where that backend server listens.
    pub backend: SocketAddr,
    /// When it must have been sent, on this host's clock.
    pub start_by: Moment,
    /// When it must have ended, on this host's clock.
    pub deadline: Moment,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was never sent.
    Unsent,
    /// The whole answer came.
    Answered,
    /// The backend server failed it.
    Failed,
    /// The answer was lost; it may still run until its deadline.
    Lost,
}

/// A handle to the dispatch task.
pub struct DispatchHandle {
    next: Cell<usize>,
}

impl DispatchHandle {
    /// A handle whose task is not started yet.
    pub fn new(_router: &mut Router) -> Self {
        Self { next: Cell::new(0) }
    }

    /// Starts the task.
    pub fn start(&self, _cx: &Rc<Cx>) {}

    /// Waits for leave to run a request.
    pub async fn acquire(&self, cx: &Cx, ask: Ask) -> Result<Grant, Problem> {
        let config = cx.config.current();
        let serving: Vec<_> =
            config.hosts_of(&ask.pool).filter(|it| it.state == HostState::Serving).collect();
        if serving.is_empty() {
            let detail = format!("No host of pool '{}' serves.", ask.pool);
            return Err(Problem::not_run(ProblemKind::NoCapacity, detail).retry_after(1000));
        }
        let turn = self.next.replace(self.next.get().wrapping_add(1));
        let host = serving[turn % serving.len()];
        let start_by = cx.clock.now() + cx.settings.timing.start_by_ms;
        Ok(Grant {
            host: host.name.clone(),
            backend: host.backend,
            start_by,
            deadline: ask.deadline,
        })
    }

    /// Gives a grant back.
    pub fn release(&self, _cx: &Cx, _grant: Grant, _ending: Ending) {}
}
