//! Proposals of plans to the configuration.

use std::time::Duration;

use fuchsiamill_api::Acceptance;
use fuchsiamill_model::{Change, ChangeId, OperatorName, PlanId, Version};
use fuchsiamill_policy::{
    config_log::{Basis, Proposal},
    planner::{Plan, Step},
};

use super::error::{Error, Result};
use crate::config::{Outcome, describe};

/// How long a proposal is tried before its operator is answered.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// The proposal that brings a plan into force.
pub fn start_of(plan: &Plan, who: &OperatorName, basis: Version) -> Proposal {
    let direct = plan.steps.iter().find_map(|step| match step {
        Step::Apply { changes } => Some(changes.clone()),
        Step::Hosts(_) => None,
    });
    let start = || vec![Change::StartPlan { plan: plan.id.clone(), hosts: plan.hosts() }];
    Proposal {
        id: ChangeId(format!("confirm-{}", plan.id)),
        who: who.clone(),
        intent: plan.summary.clone(),
        plan: Some(plan.id.clone()),
        basis: Basis::At(basis),
        changes: direct.unwrap_or_else(start),
    }
}

/// A proposal of the entry host that carries out a plan.
pub fn step_of(
    plan: &PlanId,
    who: &OperatorName,
    basis: Version,
    changes: Vec<Change>,
) -> Proposal {
    let intent = format!("carry out plan '{plan}'");
    let id = ChangeId(format!("{plan}-{basis}-{:08x}", fastrand::u32(..)));
    Proposal {
        id,
        who: who.clone(),
        intent,
        plan: Some(plan.clone()),
        basis: Basis::At(basis),
        changes,
    }
}

/// An outcome as an answer to an operator.
pub fn answer(outcome: Outcome) -> Result<(Version, Acceptance)> {
    match outcome {
        Outcome::Accepted(version) => Ok((version, Acceptance::Accepted)),
        Outcome::Pending(version, _) => Ok((version, Acceptance::Pending)),
        Outcome::InDoubt(cause) => Err(Error::InDoubt(cause)),
        Outcome::Conflict(conflict) => Err(Error::Conflict(describe(&conflict))),
        Outcome::Refused(reason) => Err(Error::Refused(reason)),
        Outcome::Unavailable(cause) => Err(Error::Unavailable(cause)),
    }
}
