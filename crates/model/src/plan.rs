//! Plans that are being carried out, as the configuration records them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    host::HostState,
    names::{HostName, OperatorName},
};

/// What operators want a confirmed plan to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanState {
    /// It goes on.
    Running,
    /// It takes no further host out; hosts that are out come back.
    Paused,
    /// It takes no further host out and ends once its hosts are back.
    Cancelling,
}

impl PlanState {
    /// The state in words.
    pub fn as_str(self) -> &'static str {
        match self {
            PlanState::Running => "running",
            PlanState::Paused => "paused",
            PlanState::Cancelling => "cancelling",
        }
    }
}

/// How far a plan is with one of its hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The plan has not touched it.
    Pending,
    /// The plan took it out of service.
    Out,
    /// It serves again.
    Done,
    /// It was set aside.
    SetAside,
}

impl Progress {
    /// The progress that a change of the host's state stands for.
    ///
    /// A host that is absent and comes back stays as far as it was: the plan has not touched it.
    pub fn after(before: HostState, state: HostState) -> Option<Progress> {
        match (before, state) {
            (_, HostState::Absent) | (HostState::Absent, HostState::Serving) => None,
            (_, HostState::Serving) => Some(Progress::Done),
            (_, HostState::Draining | HostState::Rebooting | HostState::Checking) => {
                Some(Progress::Out)
            }
            (_, HostState::SetAside) => Some(Progress::SetAside),
        }
    }
}

/// A confirmed plan. It holds its hosts until it ends: no other plan changes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActivePlan {
    /// The operator who confirmed it.
    pub who: OperatorName,
    /// What was asked for, in words.
    pub intent: String,
    /// What operators want it to do next.
    pub state: PlanState,
    /// The index of the step that it is at.
    pub step: u32,
    /// The hosts that it holds.
    pub hosts: BTreeMap<HostName, Progress>,
}
