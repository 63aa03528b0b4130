//! Decides whether a backend server gets new work, from the host list, its own answers and probes.
//!
//! Any signal that the server is leaving stops new work at once and does not interrupt work in
//! flight. Once the server has reported that it is leaving, new work resumes only after a probe that
//! began after that report finds it serving, and only while the newest host list does not list it
//! as leaving.

use fuchsiamill_model::Moment;
use serde::{Deserialize, Serialize};

/// The number of probes in a row without an answer after which a backend server gets no new work.
const MAX_MISSED_PROBES: u32 = 2;

/// The state of a host in the platform's host list, which lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// The host is live.
    Live,
    /// The host is leaving.
    Leaving,
    /// The host is not on the list.
    Absent,
}

/// The state that a backend server reports in an answer to a request or to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// The server accepts work.
    Serving,
    /// The server is shutting down gracefully.
    Leaving,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered with this state.
    Answered(ServerState),
    /// No answer came.
    Missed,
}

/// Why a backend server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The host list has it as leaving.
    List,
    /// The server reported in an answer that it is leaving.
    Said,
    /// The server does not answer probes.
    Silent,
}

/// Whether new work may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// New work may go to the server.
    Open,
    /// No new work goes to the server; work in flight finishes.
    Closed(Cause),
}

/// The state of one backend server, from all sources.
#[derive(Clone, Debug)]
pub struct BackendState {
    listed: Listed,
    reported_leaving_at: Option<Moment>,
    missed_probes: u32,
}

impl Default for BackendState {
    fn default() -> Self {
        Self { listed: Listed::Absent, reported_leaving_at: None, missed_probes: 0 }
    }
}

impl BackendState {
    /// Returns whether new work may go to the server.
    pub fn intake(&self) -> Intake {
        if self.reported_leaving_at.is_some() {
            return Intake::Closed(Cause::Said);
        }
        if self.listed == Listed::Leaving {
            return Intake::Closed(Cause::List);
        }
        if self.missed_probes >= MAX_MISSED_PROBES {
            return Intake::Closed(Cause::Silent);
        }
        Intake::Open
    }

    /// Records the state in the host list. The caller must drop readings that arrive after a newer one.
    pub fn set_listed(&mut self, listed: Listed) {
        self.listed = listed;
    }

    /// Records the state that an answer to a request reported at `now`.
    pub fn record_answer(&mut self, now: Moment, state: ServerState) {
        self.missed_probes = 0;
        if state == ServerState::Leaving {
            self.reported_leaving_at = Some(now);
        }
    }

    /// Records the result of a probe that began at `begun`.
    pub fn record_probe(&mut self, begun: Moment, now: Moment, result: ProbeResult) {
        match result {
            ProbeResult::Missed => self.missed_probes = self.missed_probes.saturating_add(1),
            ProbeResult::Answered(ServerState::Leaving) => {
                self.record_answer(now, ServerState::Leaving)
            }
            ProbeResult::Answered(ServerState::Serving) => {
                self.missed_probes = 0;
                self.reported_leaving_at = self.reported_leaving_at.filter(|&at| begun <= at);
            }
        }
    }
}
