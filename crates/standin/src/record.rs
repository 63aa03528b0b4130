//! What truly happened.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How a run at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It still runs.
    Running,
    /// It ran to its end.
    Finished,
    /// It was stopped at its deadline.
    DeadlinePassed,
    /// It failed.
    Failed,
}

/// One run of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The backend server's name.
    pub server: String,
    /// The path that was asked for.
    pub target: String,
    /// The team that the entry host named, empty when none.
    pub team: String,
    /// The body as text, by which tests tell requests apart.
    pub body: String,
    /// The time that the entry host left it when it sent it, in milliseconds.
    pub left_ms: Option<u64>,
    /// When it began, in milliseconds since the stand-in started.
    pub began_ms: u64,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: RunEnd,
    /// Runs of the same team over all servers at its beginning, itself included.
    pub team_running: u32,
    /// Runs on the same server at its beginning, itself included.
    pub server_running: u32,
}

/// The record of all backend servers of one process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Every run, in the order of their beginnings.
    pub runs: Vec<Run>,
    /// Requests of each team that were read and wait for the end of [`BackendMode::Holding`].
    ///
    /// [`BackendMode::Holding`]: crate::admin::BackendMode::Holding
    pub held: BTreeMap<String, u32>,
    /// Requests that a server refused because all its slots were in use.
    pub busy: u64,
    /// Requests that a draining or refusing server refused.
    pub refused: u64,
    /// The most connections that were open at once at each server.
    pub connections: BTreeMap<String, u32>,
    /// The time at which the record was read, in milliseconds since the stand-in started.
    pub now_ms: u64,
}

/// One restart of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Restart {
    /// The host.
    pub host: String,
    /// The id that it was ordered with.
    pub id: String,
    /// When it began, in milliseconds since the stand-in started.
    pub began_ms: u64,
    /// When the host is back, unless it never is.
    pub back_ms: Option<u64>,
}

/// The record of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformRecord {
    /// Calls that read.
    pub reads: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Commits refused for a condition.
    pub conflicts: u64,
    /// Calls refused by a fault.
    pub refused: u64,
    /// Answers lost after the commit took effect.
    pub answers_lost: u64,
    /// Body bytes read and written.
    pub bytes: u64,
    /// The restarts of hosts, in their order.
    pub restarts: Vec<Restart>,
    /// The time at which the record was read, in milliseconds since the stand-in started.
    pub now_ms: u64,
}
