//! Which backend server runs a request, and when.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use fuchsiamill_model::{
    Host, HostName, HostState, Moment, PoolName, Problem, ProblemKind, Slots, TeamName,
};
use fuchsiamill_peer::Router;
use fuchsiamill_policy::backend_state::Said;
use serde::{Deserialize, Serialize};

use crate::{backend::Take, cx::Cx};

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
    /// The pool that serves it.
    pub pool: PoolName,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It was never sent.
    Unsent,
    /// No connection could be opened, so it was never sent.
    Unreachable,
    /// The backend server refused it before it ran.
    Refused,
    /// The whole answer came.
    Answered,
    /// The backend server failed it.
    Failed,
    /// The answer was lost; it may still run until its deadline.
    Lost,
}

/// What a granted request's end tells of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How the request ended.
    pub ending: Ending,
    /// What the backend server said of itself.
    pub said: Option<Said>,
    /// The slots that it said are in use.
    pub slots_in_use: Option<Slots>,
}

impl Report {
    /// An end without an answer.
    pub fn of(ending: Ending) -> Self {
        Self { ending, said: None, slots_in_use: None }
    }
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
        let now = cx.clock.now();
        let take = |host: &Host| cx.health.may_take(now, &ask.pool, &host.name);
        let serving: Vec<(&Host, Take)> = config
            .hosts_of(&ask.pool)
            .filter(|it| it.state == HostState::Serving)
            .map(|it| (it, take(it)))
            .filter(|(_, take)| *take != Take::No)
            .collect();
        if serving.is_empty() {
            let detail = format!("No host of pool '{}' serves.", ask.pool);
            return Err(Problem::not_run(ProblemKind::NoCapacity, detail).retry_after(1000));
        }
        let turn = self.next.replace(self.next.get().wrapping_add(1));
        let trial = serving.iter().find(|(_, take)| *take == Take::Trial);
        let host = match trial {
            Some((host, _)) => {
                cx.health.begin_trial(now, &ask.pool, &host.name);
                host
            }
            None => serving[turn % serving.len()].0,
        };
        Ok(Grant {
            pool: host.pool.clone(),
            host: host.name.clone(),
            backend: host.backend,
            start_by: now + cx.settings.timing.start_by_ms,
            deadline: ask.deadline,
        })
    }

    /// Gives a grant back.
    pub fn release(&self, cx: &Cx, grant: Grant, report: Report) {
        cx.health.record(cx, &grant.pool, &grant.host, &report);
    }
}
