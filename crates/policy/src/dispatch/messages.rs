//! What entry hosts and the owner of a pool tell each other.

use fuchsiamill_model::{
    DataCentre, EntryName, HostName, Incarnation, Millisecond, PoolName, Problem, Slots, Units,
    Version,
};
use serde::{Deserialize, Serialize};

use crate::{
    escrow::GrantId,
    shares::{Lane, Ticket},
};

/// An entry host asks for a slot, or asks again for a request that it has queued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    /// The request.
    pub ticket: Ticket,
    /// The number of this ask; each ask for the same request has a higher one.
    pub ask: u64,
    /// The pool.
    pub pool: PoolName,
    /// Whose work it is.
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
    /// The request may run.
    Granted {
        /// The grant.
        grant: Granted,
    },
    /// It is queued and keeps its place if its entry host asks again soon.
    Queued,
    /// It is refused and has not run.
    Refused {
        /// Why.
        problem: Problem,
    },
    /// Another entry host owns the pool.
    NotOwner,
}

/// A grant, named by its owner's process and number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRef {
    /// The owner that gave it.
    pub owner: EntryName,
    /// The owner's process.
    pub incarnation: Incarnation,
    /// The owner's number of it.
    pub number: GrantId,
}

/// Leave to run one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Granted {
    /// Its name.
    pub grant: GrantRef,
    /// The host whose backend server runs it.
    pub host: HostName,
    /// The configuration that the owner had applied.
    pub version: Version,
    /// The team's upper limit in that configuration. The grant is void where a newer configuration
    /// with a lower limit is applied.
    pub upper_limit: Option<Units>,
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

/// An entry host gives a grant back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The grant.
    pub grant: GrantRef,
    /// The pool of the request.
    pub pool: PoolName,
    /// How it ended.
    pub ending: Ending,
}

/// A lane of a pool as its owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaneUse {
    /// The pool.
    pub pool: PoolName,
    /// Whose work it is.
    pub lane: Lane,
    /// The slots that its work uses.
    pub running: Slots,
    /// Its requests that wait for a slot.
    pub queued: u32,
    /// Its nearness to share from 0 to 1 since the owner took the pool; none when the pool was
    /// never full while the lane wanted slots.
    pub nearness: Option<f64>,
}

/// A grant that an entry host still uses, as it tells a new owner of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InFlight {
    /// The grant.
    pub grant: GrantRef,
    /// Whose work it is.
    pub lane: Lane,
    /// The host whose backend server runs it.
    pub host: HostName,
    /// The time left until its deadline, in milliseconds.
    pub left: Millisecond,
}
