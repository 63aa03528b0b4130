//! Starts that an entry host sends to workers on behalf of the coordinator.
//!
//! The coordinator decides and records; it hands released starts to the entry hosts that accepted their jobs, so that
//! the payloads do not pass its own link. A sender acts under the coordinator's fencing token and under a permission that
//! ends on the sender's own clock, which it checks right before it calls the worker. The call ends with the permission.

mod cancellations;
mod payloads;
mod serve;

use std::net::SocketAddr;

use fuchsiamill_fleet::{Name, TaskId, coordinator::StartReply};
use fuchsiamill_model::units::{CallTime, Millisecond};
use serde::{Deserialize, Serialize};

pub use cancellations::Cancellations;
pub use payloads::Payloads;
pub use serve::{SenderService, serve};

/// The method of the call that hands starts over.
pub const METHOD: &str = "start";

/// Starts to send.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedStarts {
    /// The fencing token of the coordinator.
    pub fence: u64,
    /// What the sender may do; `None` if the coordinator knows no reading of its clock yet.
    pub permission: Option<Permission>,
    /// The time limit of each call to a worker, which ends with the permission at the latest.
    #[serde(rename = "time_limit_ms")]
    pub time_limit: CallTime,
    pub starts: Vec<HandedStart>,
}

/// Allows one process to send starts for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permission {
    /// The process, which is the one whose clock `until_ms` refers to.
    pub incarnation: u64,
    /// The end of the permission on the clock of that process.
    pub until_ms: u64,
}

/// One start to send.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedStart {
    pub worker: Name,
    pub addr: SocketAddr,
    /// The worker's data centre. The sender checks that it is not evacuated, which it may learn before the coordinator does.
    #[serde(default)]
    pub data_centre: Name,
    pub task: TaskId,
    pub run: u32,
    /// The end of the lease on the worker's clock.
    pub deadline_ms: u64,
    #[serde(default, skip_serializing_if = "Name::is_empty")]
    pub checkpoint: Name,
    #[serde(default, skip_serializing_if = "Name::is_empty")]
    pub ticket: Name,
}

/// A sender's reply.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedReply {
    /// The process that replies.
    pub incarnation: u64,
    /// Its clock.
    pub clock_ms: u64,
    /// How long it took from the arrival of the starts to this reply, in milliseconds. What the whole call takes beyond
    /// that is the delay of the coordinator's own link.
    pub took_ms: Millisecond,
    /// What became of each start, in the order in which they were handed over.
    pub outcomes: Vec<Outcome>,
}

/// What became of one start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The worker replied, did not reply in time, or was not called since the job is cancelled.
    Replied(StartReply),
    /// The worker process is gone.
    WorkerGone,
    /// The start was not sent: the permission is over, or the payload is not known.
    NotSent,
}
