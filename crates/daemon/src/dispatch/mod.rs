//! Which backend server runs a request, and when: asks the owner of the pool, and answers for the
//! pools that this host owns.

mod acquire;
mod lanes;
mod rows;
mod rpc;
mod task;
mod tenures;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use fuchsiamill_model::{FastMap, HostName, Moment, PoolName, Slots, TeamName, Units};
use fuchsiamill_peer::Router;
use fuchsiamill_policy::{
    backend_state::ServerState,
    dispatch::{GrantRef, InFlight, Release},
    shares::Lane,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    oneshot,
};

use crate::{backend::Server, cx::Cx};
use rpc::{Inbox, RELEASE, Released};
use task::Command;

pub use fuchsiamill_policy::dispatch::Ending;
pub use lanes::SiteLanes;

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
    /// Its name.
    pub grant: GrantRef,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The host whose backend server runs it.
    pub host: HostName,
    /// That backend server.
    pub server: Server,
    /// When it must have been sent, on this host's clock.
    pub start_by: Moment,
    /// When it must have ended, on this host's clock.
    pub deadline: Moment,
    /// The team and its upper limit under which the grant was given.
    pub limit: Option<(TeamName, Units)>,
}

/// What a granted request's end tells of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How the request ended.
    pub ending: Ending,
    /// What the backend server said of itself.
    pub said: Option<ServerState>,
    /// The slots that it said are in use.
    pub slots_in_use: Option<Slots>,
}

impl Report {
    /// An end without an answer.
    pub fn of(ending: Ending) -> Self {
        Self { ending, said: None, slots_in_use: None }
    }
}

#[derive(Clone, Debug)]
struct Used {
    pool: PoolName,
    lane: Lane,
    host: HostName,
    deadline: Moment,
}

/// A handle to the dispatch task.
pub struct DispatchHandle {
    tx: UnboundedSender<Command>,
    start: RefCell<Option<(UnboundedReceiver<Command>, Inbox)>>,
    next_ticket: Cell<u64>,
    used: RefCell<FastMap<GrantRef, Used>>,
    has_asked_table: Cell<bool>,
}

impl DispatchHandle {
    /// A handle whose task is not started yet.
    pub fn new(router: &mut Router) -> Self {
        let (tx, rx) = unbounded_channel();
        let start = RefCell::new(Some((rx, Inbox::routed(router))));
        // Another process of the same name must not use the same tickets.
        let next_ticket = Cell::new(fastrand::u64(..1 << 60));
        Self { tx, start, next_ticket, used: RefCell::default(), has_asked_table: Cell::new(false) }
    }

    /// Starts the task.
    pub fn start(&self, cx: &Rc<Cx>) {
        let (rx, inbox) = self.start.borrow_mut().take().expect("the task starts once");
        inbox.forward(&self.tx);
        task::start(cx, self.tx.clone(), rx);
    }

    /// Gives back the units that this host holds, as the work on them ends, and waits until none is left.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.tx.send(Command::Leave { done }).is_ok() {
            let _ = left.await;
        }
    }

    /// Whether requests can be granted: there is a view, and the table was asked for units once.
    pub fn is_ready(&self, cx: &Cx) -> bool {
        let has_teams = !cx.config.current().teams.is_empty();
        !cx.cluster.view().members.is_empty() && (self.has_asked_table.get() || !has_teams)
    }

    /// Whether a grant may still be used: its owner still owns the pool and no limit was lowered.
    pub fn is_valid(&self, cx: &Cx, grant: &Grant) -> bool {
        if cx.cluster.owner(&grant.pool).as_ref() != Some(&grant.grant.owner) {
            return false;
        }
        let Some((team, granted)) = &grant.limit else { return true };
        let config = cx.config.current();
        config.teams.get(team).is_some_and(|it| it.upper_limit >= *granted)
    }

    /// Gives a grant back.
    pub fn release(&self, cx: &Cx, grant: Grant, report: Report) {
        if report.ending != Ending::Lost {
            self.used.borrow_mut().remove(&grant.grant);
        }
        let issuer = grant.grant.owner.clone();
        let release = Release { grant: grant.grant, pool: grant.pool, ending: report.ending };
        let owner = cx.cluster.owner(&release.pool);
        let released = Released { release, host: grant.host, report };
        for to in [Some(issuer.clone()), owner.filter(|it| *it != issuer)].into_iter().flatten() {
            if &to == cx.cluster.me() {
                let _ = self.tx.send(Command::Release(released.clone()));
            } else {
                cx.cluster.notify(&to, RELEASE, &released);
            }
        }
    }

    /// The grants of a pool that are in use here, or whose work may still run.
    fn in_flight(&self, now: Moment, pool: &PoolName) -> Vec<InFlight> {
        let mut used = self.used.borrow_mut();
        used.retain(|_, it| it.deadline > now);
        let of_pool = used.iter().filter(|(_, it)| &it.pool == pool);
        let in_flight = of_pool.map(|(grant, it)| InFlight {
            grant: grant.clone(),
            lane: it.lane.clone(),
            host: it.host.clone(),
            left: it.deadline.since(now),
        });
        in_flight.collect()
    }
}
