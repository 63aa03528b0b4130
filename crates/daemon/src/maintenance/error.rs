//! Why an operator's request about plans was not done.

use fuchsiamill_model::PlanId;
use fuchsiamill_policy::planner::{self, Plan};

/// The result of a request about plans.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request about plans was not done. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No plan can be made for the intent.
    #[error(transparent)]
    Planner(#[from] planner::Error),
    /// There is no such plan.
    #[error("There is no plan '{0}'; list the plans with 'fuchsiamill plans'.")]
    NoPlan(PlanId),
    /// The plan cannot be confirmed any more.
    #[error("The plan '{plan}' has expired; confirm '{fresh}' instead, made just now.", fresh = .fresh.id)]
    Expired {
        /// The plan.
        plan: PlanId,
        /// A new plan for the same intent.
        fresh: Box<Plan>,
    },
    /// What the plan depends on has changed.
    #[error("{changes} Look at plan '{fresh}', made just now, and confirm it instead.", changes = .changed.join(" "), fresh = .fresh.id)]
    Stale {
        /// What has changed, one sentence each.
        changed: Vec<String>,
        /// A new plan for the same intent.
        fresh: Box<Plan>,
    },
    /// What the plan depends on has changed so that no new plan can be made.
    #[error("{changes} No new plan can be made: {cause}", changes = .changed.join(" "))]
    Outdated {
        /// What has changed, one sentence each.
        changed: Vec<String>,
        /// Why there is no new plan.
        cause: planner::Error,
    },
    /// The plan cannot be carried out as things are.
    #[error("The plan '{plan}' cannot be carried out: {reasons}; ask for a new plan once that has changed.", reasons = .reasons.join("; "))]
    Blocked {
        /// The plan.
        plan: PlanId,
        /// What blocks it.
        reasons: Vec<String>,
    },
    /// Another operator's change came first.
    #[error("{0}")]
    Conflict(String),
    /// The rules of the configuration refuse it.
    #[error("{0}")]
    Refused(String),
    /// The table's answer was lost.
    #[error("{0} Confirm the plan again: it acts once.")]
    InDoubt(String),
    /// The platform's table does not serve.
    #[error("{0}")]
    Unavailable(String),
    /// The plan is not running.
    #[error("The plan '{plan}' is {state}, not running; list the plans with 'fuchsiamill plans'.")]
    NotRunning {
        /// The plan.
        plan: PlanId,
        /// Its state.
        state: &'static str,
    },
}

impl From<fuchsiamill_ports::Error> for Error {
    fn from(e: fuchsiamill_ports::Error) -> Self {
        Error::Unavailable(e.to_string())
    }
}
