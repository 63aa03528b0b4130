//! Messages between entry hosts and the owner of a pool.

use fuchsiamill_model::{
    DataCentre, EntryName, HostName, Incarnation, Millisecond, PoolName, Problem, Slots, Units,
    Version,
};
use serde::{Deserialize, Serialize};

use crate::{
    escrow::GrantId,
    shares::{Lane, Ticket},
};

/// A message in which an entry host asks the owner for a slot for a request, or asks again while the request is queued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    /// The request that needs the slot.
    pub ticket: Ticket,
    /// The number of this ask; each ask for the same request has a higher one.
    pub ask: u64,
    /// The pool whose slot is needed.
    pub pool: PoolName,
    /// The lane that the request counts towards.
    pub lane: Lane,
    /// The data centre of the entry host.
    pub data_centre: DataCentre,
    /// The time left until the request's deadline, in milliseconds.
    pub left: Millisecond,
}

/// The owner's answer to an [`Acquire`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Answer {
    /// The request may be sent to a backend server.
    Granted {
        /// The grant.
        grant: Granted,
    },
    /// The request is queued. It keeps its place if its entry host asks again soon.
    Queued,
    /// The request is refused and has not run.
    Refused {
        /// The reason.
        problem: Problem,
    },
    /// Another entry host owns the pool.
    NotOwner,
}

/// The id of a grant: the owner's process that gave it, and its number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRef {
    /// The entry host that gave the grant as the owner of the pool.
    pub owner: EntryName,
    /// The incarnation of that host's process.
    pub incarnation: Incarnation,
    /// The number of the grant, unique within that process.
    pub number: GrantId,
}

/// The permission to run one request on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Granted {
    /// The id of the grant.
    pub grant: GrantRef,
    /// The host whose backend server is to run the request.
    pub host: HostName,
    /// The version of the configuration that the owner had applied.
    pub version: Version,
    /// The team's upper limit in that configuration; `None` for [`Lane::Open`]. The grant is void on an entry host that
    /// has applied a newer configuration with a lower limit.
    pub upper_limit: Option<Units>,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The request was never sent.
    Unsent,
    /// The request was never sent, because no connection could be opened.
    Unreachable,
    /// The backend server refused the request before it ran.
    Refused,
    /// The whole answer was received.
    Answered,
    /// The backend server failed the request.
    Failed,
    /// The answer was lost; the request may still run until its deadline.
    Lost,
}

/// A message in which an entry host gives a grant back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The grant.
    pub grant: GrantRef,
    /// The pool of the request.
    pub pool: PoolName,
    /// How the request ended.
    pub ending: Ending,
}

/// The use of a pool by one lane, as the pool's owner measures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaneUse {
    /// The pool.
    pub pool: PoolName,
    /// The lane.
    pub lane: Lane,
    /// The slots that the lane's requests use.
    pub running: Slots,
    /// The lane's requests that wait for a slot.
    pub queued: u32,
    /// The lane's nearness to share, from 0 to 1, since the owner's tenure began; `None` when the pool was never full
    /// while the lane wanted slots.
    pub nearness: Option<f64>,
}

/// A grant that an entry host still uses, as reported to a new owner of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InFlight {
    /// The grant.
    pub grant: GrantRef,
    /// The lane that the request counts towards.
    pub lane: Lane,
    /// The host whose backend server runs the request.
    pub host: HostName,
    /// The time left until the request's deadline, in milliseconds.
    pub left: Millisecond,
}
