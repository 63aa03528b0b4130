//! Decides what one host of a plan needs next.

use fuchsiamill_model::{Change, Host, HostName, Millisecond, Moment, PlanState};
use serde::{Deserialize, Serialize};

use super::{
    evidence::{Empty, NotEmpty, Passed, Reading, Restarted, Seen},
    lifecycle::{AnyStage, Checking, Draining, Rebooting, Stage},
    limits::Limits,
};
use crate::planner::Task;

/// What one host of a plan needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostNext {
    /// Nothing: the host is not out for this plan.
    Idle,
    /// Changes of the configuration, to be proposed together.
    Change(Vec<Change>),
    /// A restart request to the platform, repeated until the platform reports that the restart is done.
    Reboot,
    /// Nothing for now: the host waits.
    Wait(HostWait),
}

/// Why a host waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "wait", rename_all = "kebab-case")]
pub enum HostWait {
    /// Not every entry host is known to have stopped sending work to the host.
    Acceptance {
        /// The host.
        host: HostName,
    },
    /// Work is in progress on the host.
    InFlight {
        /// The host.
        host: HostName,
        /// Requests and tasks in progress.
        in_flight: u32,
    },
    /// The owner of the host's pool has not reported the host's tasks.
    Tasks {
        /// The host.
        host: HostName,
    },
    /// The host does not answer probes.
    Unreachable {
        /// The host.
        host: HostName,
    },
    /// The host has not passed its health check.
    Checks {
        /// The host.
        host: HostName,
    },
}

impl std::fmt::Display for HostWait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HostWait::Acceptance { host } => {
                write!(f, "host '{host}' drains until no entry host sends work to it")
            }
            HostWait::InFlight { host, in_flight } => {
                write!(f, "host '{host}' still runs {in_flight} requests or tasks")
            }
            HostWait::Tasks { host } => {
                write!(f, "no entry host has reported the tasks on host '{host}' yet")
            }
            HostWait::Unreachable { host } => write!(f, "host '{host}' does not answer probes"),
            HostWait::Checks { host } => write!(f, "host '{host}' has not passed its health check"),
        }
    }
}

/// The state of one host of a plan, with what is needed to decide the host's next action.
#[derive(Clone, Copy, Debug)]
pub struct HostCx<'a> {
    /// What the plan's current step does to the host.
    pub task: &'a Task,
    /// The state that the current step follows; a step that returns hosts runs on in a cancelled plan.
    pub state: PlanState,
    /// When the host's current state was first seen.
    pub seen: Seen,
    /// The latest observations of the host.
    pub reading: Reading,
    /// Time limits.
    pub limits: &'a Limits,
    /// The time now.
    pub now: Moment,
}

impl HostCx<'_> {
    fn is_overdue(&self, limit: Millisecond) -> bool {
        self.now.since(self.seen.at) > limit
    }

    /// Returns whether probes have gone unanswered for so long that the host counts as failed.
    fn is_silent(&self) -> bool {
        let last = self.reading.probe.map_or(self.seen.at, |probe| probe.at.max(self.seen.at));
        self.now.since(last) > self.limits.unreachable
    }

    /// Decides what a host that is out for the plan needs next.
    pub fn next(&self, host: &Host) -> HostNext {
        match AnyStage::from(host) {
            AnyStage::Serving(_) | AnyStage::SetAside(_) | AnyStage::Absent(_) => HostNext::Idle,
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
            Ok(empty) => HostNext::Change(vec![self.after_draining(stage, empty)]),
            Err(_) if self.is_silent() => HostNext::Change(vec![stage.fail()]),
            Err(NotEmpty::NotAccepted) => HostNext::Wait(HostWait::Acceptance { host }),
            Err(NotEmpty::Busy { in_flight }) => {
                HostNext::Wait(HostWait::InFlight { host, in_flight })
            }
            Err(NotEmpty::TasksUnknown) => HostNext::Wait(HostWait::Tasks { host }),
            Err(NotEmpty::Unknown) => HostNext::Wait(HostWait::Unreachable { host }),
        }
    }

    fn after_draining(&self, stage: Stage<'_, Draining>, empty: Empty) -> Change {
        match self.task {
            Task::Cycle | Task::Restore => stage.reboot(empty),
            Task::TakeOut => stage.take_out(empty),
            Task::Move { .. } => stage.check(empty),
        }
    }

    fn rebooting(&self, stage: Stage<'_, Rebooting>) -> HostNext {
        match Restarted::prove(&self.reading) {
            Some(restarted) => HostNext::Change(vec![stage.check(restarted)]),
            None if self.is_overdue(self.limits.reboot) => HostNext::Change(vec![stage.fail()]),
            None => HostNext::Reboot,
        }
    }

    fn checking(&self, stage: Stage<'_, Checking>) -> HostNext {
        let Some(passed) = Passed::prove(&self.seen, &self.reading) else {
            if self.is_overdue(self.limits.check) {
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
