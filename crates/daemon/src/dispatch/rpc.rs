//! The dispatch's methods at the peer port.

use fuchsiamill_model::{HostName, PoolName, TeamName};
use fuchsiamill_peer::{CallReceiver, NoticeReceiver, Router, call_channel, notice_channel};
use fuchsiamill_policy::{
    dispatch::{Acquire, Release},
    escrow::{LoanAsk, LoanRecall, LoanReturn},
    membership::ViewId,
    shares::Ticket,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::mpsc::UnboundedSender;

use super::{Report, lanes::LanesTo, task::Command};

/// Asks a pool's owner for a grant.
pub const ACQUIRE: &str = "dispatch.acquire";
/// Tells a pool's owner that a request was given up; a notification.
pub const CANCEL: &str = "dispatch.cancel";
/// Gives a grant back; a notification.
pub const RELEASE: &str = "dispatch.release";
/// Asks an entry host for the grants that it uses in a pool.
pub const IN_FLIGHT: &str = "dispatch.in-flight";
/// Asks for a loan of units.
pub const LEND: &str = "dispatch.lend";
/// Gives units back to their lender; a notification.
pub const TAKE_BACK: &str = "dispatch.take-back";
/// Tells a borrower that its loan is wanted back; a notification.
pub const RECALL: &str = "dispatch.recall";

/// Asks an entry host for the lanes of the pools that it owns.
pub const LANES: &str = "dispatch.lanes";

/// A request that was given up.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancelled {
    /// The pool.
    pub pool: PoolName,
    /// The request.
    pub ticket: Ticket,
}

/// A grant that is given back, with what its end tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Released {
    /// The grant.
    pub release: Release,
    /// The host whose backend server had it.
    pub host: HostName,
    /// What its end tells of the backend server.
    pub report: Report,
}

/// A new owner's question for grants in use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InFlightOf {
    /// The pool.
    pub pool: PoolName,
    /// The view in which the asking host owns it.
    pub view: ViewId,
}

/// A question for a loan of a team's units.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LendTo {
    /// The team.
    pub team: TeamName,
    /// The question.
    pub ask: LoanAsk,
}

/// Units of a team that are given back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Returned {
    /// The team.
    pub team: TeamName,
    /// The message.
    pub ret: LoanReturn,
}

/// A loan of a team's units that is wanted back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recalled {
    /// The team.
    pub team: TeamName,
    /// The message.
    pub recall: LoanRecall,
}

/// The calls and notifications that the dispatch task answers.
pub struct Inbox {
    acquires: CallReceiver,
    in_flights: CallReceiver,
    lends: CallReceiver,
    lanes: CallReceiver,
    cancels: NoticeReceiver,
    releases: NoticeReceiver,
    returns: NoticeReceiver,
    recalls: NoticeReceiver,
}

impl Inbox {
    /// The receivers of methods routed through `router`.
    pub fn routed(router: &mut Router) -> Self {
        let calls = |router: &mut Router, method| {
            let (tx, rx) = call_channel();
            router.route(method, tx);
            rx
        };
        let notices = |router: &mut Router, method| {
            let (tx, rx) = notice_channel();
            router.route_notices(method, tx);
            rx
        };
        Self {
            acquires: calls(router, ACQUIRE),
            in_flights: calls(router, IN_FLIGHT),
            lends: calls(router, LEND),
            lanes: calls(router, LANES),
            cancels: notices(router, CANCEL),
            releases: notices(router, RELEASE),
            returns: notices(router, TAKE_BACK),
            recalls: notices(router, RECALL),
        }
    }

    /// Passes every message on to the task as a command.
    pub fn forward(self, tx: &UnboundedSender<Command>) {
        monoio::spawn(forward_calls(self.acquires, tx.clone(), |req: Acquire, reply| {
            Command::Acquire { req, to: reply.into() }
        }));
        monoio::spawn(forward_calls(self.in_flights, tx.clone(), |of: InFlightOf, reply| {
            Command::InFlight { of, reply }
        }));
        monoio::spawn(forward_calls(self.lends, tx.clone(), |lend: LendTo, reply| Command::Lend {
            lend,
            reply,
        }));
        monoio::spawn(forward_calls(self.lanes, tx.clone(), |(), reply| Command::Lanes {
            to: LanesTo::Peer(reply),
        }));
        monoio::spawn(forward_notices(self.cancels, tx.clone(), Command::Cancel));
        monoio::spawn(forward_notices(self.releases, tx.clone(), Command::Release));
        monoio::spawn(forward_notices(self.returns, tx.clone(), Command::TakeBack));
        monoio::spawn(forward_notices(self.recalls, tx.clone(), Command::Recalled));
    }
}

async fn forward_calls<T: DeserializeOwned + 'static>(
    mut rx: CallReceiver,
    tx: UnboundedSender<Command>,
    command: impl Fn(T, fuchsiamill_peer::Reply) -> Command,
) {
    while let Some(call) = rx.recv().await {
        if let Some((params, reply)) = call.parse::<T>() {
            let _ = tx.send(command(params, reply));
        }
    }
}

async fn forward_notices<T: DeserializeOwned + 'static>(
    mut rx: NoticeReceiver,
    tx: UnboundedSender<Command>,
    command: impl Fn(T) -> Command,
) {
    while let Some(notice) = rx.recv().await {
        if let Ok(params) = serde_json::from_value(notice) {
            let _ = tx.send(command(params));
        }
    }
}
