//! Plans as operators see them, and what came of their requests.

use std::rc::Rc;

use fuchsiamill_model::{OperatorName, PlanId, PlanState, Version};
use fuchsiamill_policy::planner::Plan;
use serde::{Deserialize, Serialize};

/// Asks for one plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRef {
    /// The plan.
    pub plan: PlanId,
}

/// Asks to pause, resume or cancel a plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetPlanState {
    /// The plan.
    pub plan: PlanId,
    /// What it shall do next.
    pub state: PlanState,
}

/// Why a plan was not confirmed or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// There is no such plan, or it is not running.
    NoPlan,
    /// It has expired, or what it depends on has changed.
    Stale,
    /// The budgets block it.
    Blocked,
    /// Another operator's change came first.
    Conflict,
    /// The rules refuse it.
    Refused,
    /// The table's answer was lost; asking again acts once.
    InDoubt,
    /// The table does not serve.
    Unavailable,
}

/// What came of confirming or changing a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlanReport {
    /// It is done.
    Done(Confirmed),
    /// It is not done.
    NotDone {
        /// Why.
        reason: Reason,
        /// The reason and its remedy, in words.
        detail: String,
        /// A plan for the same intent, made just now.
        fresh: Option<Box<Plan>>,
    },
}

/// How far a plan is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It waits to be confirmed.
    Proposed,
    /// It can no longer be confirmed.
    Expired,
    /// An operator has begun to confirm it.
    Confirming,
    /// It is carried out.
    Running,
    /// An operator paused it.
    Paused,
    /// An operator or too many failures stopped it; its hosts come back.
    Cancelling,
    /// It has ended.
    Ended,
}

impl Stage {
    /// The stage in words.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Proposed => "proposed",
            Stage::Expired => "expired",
            Stage::Confirming => "being confirmed",
            Stage::Running => "running",
            Stage::Paused => "paused",
            Stage::Cancelling => "cancelling",
            Stage::Ended => "ended",
        }
    }
}

/// A plan with how far it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanView {
    /// The plan.
    pub plan: Rc<Plan>,
    /// How far it is.
    pub stage: Stage,
    /// Who confirmed it.
    pub confirmed_by: Option<OperatorName>,
    /// The index of the step that it is at, while it runs.
    pub step: Option<u32>,
    /// The hosts that it is done with, that are out and that it has not touched, while it runs.
    pub hosts: Option<[u32; 3]>,
    /// Why it does not go on, while it runs.
    pub waits: Vec<String>,
}

/// A plan that is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Confirmed {
    /// The plan.
    pub plan: PlanId,
    /// Who confirmed it first.
    pub who: OperatorName,
    /// The version of the configuration that it came into force with.
    pub version: Version,
    /// Whether no host serves by an older configuration any more.
    pub accepted: Acceptance,
}

/// Whether a change is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Acceptance {
    /// It is.
    Accepted,
    /// It is in the table and will be.
    Pending,
}
