//! Whether a backend server takes new work, from the host list, its own answers and probes.
//!
//! Any signal of leaving stops new work at once and cuts nothing in flight. Work returns only on
//! direct evidence: a probe, begun after the last signal of leaving, that finds it serving, while
//! the newest host list does not call it leaving.

use fuchsiamill_model::Moment;
use serde::{Deserialize, Serialize};

/// Probes in a row without an answer after which a backend server gets no new work.
const MISSED_PROBES: u32 = 2;

/// What the platform's host list says, some time late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// Live.
    Live,
    /// Leaving.
    Leaving,
    /// Not on the list.
    Absent,
}

/// What a backend server says of itself, in an answer or to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It serves.
    Serving,
    /// It is in graceful shutdown.
    Leaving,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Answered(ServerState),
    /// No answer came.
    Missed,
}

/// Why a backend server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The host list calls it leaving.
    List,
    /// It said so in an answer or to a probe.
    Said,
    /// It does not answer probes.
    Silent,
}

/// Whether new work may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Yes.
    Open,
    /// No; what is in flight finishes.
    Closed(Cause),
}

/// What is known of one backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    listed: Listed,
    said_leaving: Option<Moment>,
    missed: u32,
}

impl Default for BackendState {
    fn default() -> Self {
        Self { listed: Listed::Absent, said_leaving: None, missed: 0 }
    }
}

impl BackendState {
    /// Whether new work may go to it.
    pub fn intake(&self) -> Intake {
        if self.said_leaving.is_some() {
            return Intake::Closed(Cause::Said);
        }
        if self.listed == Listed::Leaving {
            return Intake::Closed(Cause::List);
        }
        if self.missed >= MISSED_PROBES {
            return Intake::Closed(Cause::Silent);
        }
        Intake::Open
    }

    /// A reading of the host list. An older reading that comes late is the caller's to drop.
    pub fn set_listed(&mut self, listed: Listed) {
        self.listed = listed;
    }

    /// An answer to a request came, heard at `now`.
    pub fn record_answer(&mut self, now: Moment, said: ServerState) {
        self.missed = 0;
        if said == ServerState::Leaving {
            self.said_leaving = Some(now);
        }
    }

    /// A probe ended; it began at `begun`.
    pub fn record_probe(&mut self, begun: Moment, now: Moment, probe: ProbeResult) {
        match probe {
            ProbeResult::Missed => self.missed = self.missed.saturating_add(1),
            ProbeResult::Answered(ServerState::Leaving) => {
                self.record_answer(now, ServerState::Leaving)
            }
            ProbeResult::Answered(ServerState::Serving) => {
                self.missed = 0;
                self.said_leaving = self.said_leaving.filter(|&at| begun <= at);
            }
        }
    }
}
