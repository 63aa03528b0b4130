//! What one host of a plan needs next.

use fuchsiamill_model::{Change, Host, HostName, Millisecond, Moment, PlanState};
use serde::{Deserialize, Serialize};

use super::{
    evidence::{Back, Empty, NotEmpty, Passed, Reading, Seen},
    lifecycle::{AnyStage, Checking, Draining, Rebooting, Stage},
    limits::Limits,
};
use crate::planner::Task;

/// What one host needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostNext {
    /// Nothing: it is not out for this plan.
    Rest,
    /// Changes of the configuration, together.
    Change(Vec<Change>),
    /// The platform is asked to restart it, again and again until it says that it is done.
    Reboot,
    /// Time or work in progress.
    Wait(HostWait),
}

/// Why a host waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "wait", rename_all = "kebab-case")]
pub enum HostWait {
    /// Not every entry host is known to have stopped sending.
    Acceptance {
        /// The host.
        host: HostName,
    },
    /// It runs work.
    InFlight {
        /// The host.
        host: HostName,
        /// Requests and tasks.
        in_flight: u32,
    },
    /// The owner of its pool does not tell its tasks.
    Tasks {
        /// The host.
        host: HostName,
    },
    /// It does not answer probes.
    Unreachable {
        /// The host.
        host: HostName,
    },
    /// It has not passed its checks.
    Checks {
        /// The host.
        host: HostName,
    },
}

impl std::fmt::Display for HostWait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HostWait::Acceptance { host } => {
                write!(f, "host '{host}' drains until every entry host has stopped sending")
            }
            HostWait::InFlight { host, in_flight } => {
                write!(f, "host '{host}' still runs {in_flight} requests or tasks")
            }
            HostWait::Tasks { host } => {
                write!(f, "no entry host can tell the tasks on host '{host}' yet")
            }
            HostWait::Unreachable { host } => write!(f, "host '{host}' does not answer probes"),
            HostWait::Checks { host } => write!(f, "host '{host}' has not passed its checks"),
        }
    }
}

/// What is known of a host, and what is to be done with it.
#[derive(Clone, Copy, Debug)]
pub struct HostCx<'a> {
    /// What the step does to it.
    pub task: &'a Task,
    /// What operators want of the plan.
    pub state: PlanState,
    /// Since when it is in its state.
    pub seen: Seen,
    /// What was observed.
    pub reading: Reading,
    /// Time limits.
    pub limits: &'a Limits,
    /// The time now.
    pub now: Moment,
}

impl HostCx<'_> {
    fn overdue(&self, limit: Millisecond) -> bool {
        self.now.since(self.seen.at) > limit
    }

    /// Whether no probe was answered for so long that the host counts as failed.
    fn is_silent(&self) -> bool {
        let last = self.reading.probe.map_or(self.seen.at, |probe| probe.at.max(self.seen.at));
        self.now.since(last) > self.limits.unreachable
    }

    /// What a host that is out for the plan needs next.
    pub fn next(&self, host: &Host) -> HostNext {
        match AnyStage::from(host) {
            AnyStage::Serving(_) | AnyStage::SetAside(_) | AnyStage::Absent(_) => HostNext::Rest,
            AnyStage::Draining(stage) => self.draining(stage),
            AnyStage::Rebooting(stage) => self.rebooting(stage),
            AnyStage::Checking(stage) => self.checking(stage),
        }
    }

    fn draining(&self, stage: Stage<'_, Draining>) -> HostNext {
        if self.state == PlanState::Cancelling {
            return HostNext::Change(vec![stage.resume()]);
        }
        let host = stage.host().name.clone();
        match Empty::prove(&self.seen, &self.reading, self.limits.settle) {
            Ok(empty) => HostNext::Change(vec![self.emptied(stage, empty)]),
            Err(_) if self.is_silent() => HostNext::Change(vec![stage.fail()]),
            Err(NotEmpty::NotAccepted) => HostNext::Wait(HostWait::Acceptance { host }),
            Err(NotEmpty::Busy { in_flight }) => {
                HostNext::Wait(HostWait::InFlight { host, in_flight })
            }
            Err(NotEmpty::TasksUnknown) => HostNext::Wait(HostWait::Tasks { host }),
            Err(NotEmpty::Unknown) => HostNext::Wait(HostWait::Unreachable { host }),
        }
    }

    fn emptied(&self, stage: Stage<'_, Draining>, empty: Empty) -> Change {
        match self.task {
            Task::Cycle | Task::Restore => stage.reboot(empty),
            Task::TakeOut => stage.take_out(empty),
            Task::Move { .. } => stage.check(empty),
        }
    }

    fn rebooting(&self, stage: Stage<'_, Rebooting>) -> HostNext {
        match Back::prove(&self.reading) {
            Some(back) => HostNext::Change(vec![stage.check(back)]),
            None if self.overdue(self.limits.reboot) => HostNext::Change(vec![stage.fail()]),
            None => HostNext::Reboot,
        }
    }

    fn checking(&self, stage: Stage<'_, Checking>) -> HostNext {
        let Some(passed) = Passed::prove(&self.seen, &self.reading) else {
            if self.overdue(self.limits.check) {
                return HostNext::Change(vec![stage.fail()]);
            }
            return HostNext::Wait(HostWait::Checks { host: stage.host().name.clone() });
        };
        match (self.task, self.state) {
            (Task::Move { to }, PlanState::Running | PlanState::Paused) => {
                HostNext::Change(stage.serve_in(to, passed))
            }
            _ => HostNext::Change(stage.serve(passed)),
        }
    }
}
