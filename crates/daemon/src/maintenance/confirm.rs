//! Confirms plans, and pauses, resumes and cancels them.

use std::rc::Rc;

use fuchsiamill_api::{Acceptance, Confirmed};
use fuchsiamill_model::{Change, ChangeId, OperatorName, PlanId, PlanState, Version};
use fuchsiamill_policy::{
    config_log::{Basis, Proposal},
    planner::Plan,
};

use super::{
    Maintenance,
    error::{Error, Result},
    proposals::{self, PATIENCE},
    rows::{PlanRow, RowState, Stored},
};

/// Confirms a plan.
pub async fn confirm(on: &Maintenance, who: &OperatorName, id: &PlanId) -> Result<Confirmed> {
    loop {
        let row = on.rows.plan(id).await?;
        match row.value.state.clone() {
            RowState::Confirmed { who, version } | RowState::Ended { who, version } => {
                return Ok(known(on, id, who, version));
            }
            RowState::Confirming { who, basis } => return start(on, row, &who, basis).await,
            RowState::Proposed => {
                let basis = check(on, who, &row.value.plan).await?;
                let state = RowState::Confirming { who: who.clone(), basis };
                let next = PlanRow { plan: row.value.plan, state };
                if let Some(row) = on.rows.put_plan(next, Some(row.version)).await? {
                    return start(on, row, who, basis).await;
                }
            }
        }
    }
}

fn known(on: &Maintenance, id: &PlanId, who: OperatorName, version: Version) -> Confirmed {
    let accepted = on.cx.config.accepted() >= version;
    let accepted = if accepted { Acceptance::Accepted } else { Acceptance::Pending };
    Confirmed { plan: id.clone(), who, version, accepted }
}

/// Checks that a plan still holds; returns the version at which it does.
async fn check(on: &Maintenance, who: &OperatorName, plan: &Rc<Plan>) -> Result<Version> {
    if !plan.blocked.is_empty() {
        let reasons = plan.blocked.iter().map(ToString::to_string).collect();
        return Err(Error::Blocked { plan: plan.id.clone(), reasons });
    }
    if on.cx.clock.wall() > plan.expires_at {
        let fresh = Box::new(on.plan(who, &plan.intent).await?);
        return Err(Error::Expired { plan: plan.id.clone(), fresh });
    }
    let config = on.cx.config.current();
    let mut changed = plan.changed_facts(&config);
    if changed.is_empty() {
        return Ok(config.version);
    }
    let holders = plan.hosts().into_iter().filter_map(|host| config.holder(&host));
    let holders = holders.map(|(plan, active)| {
        format!("Plan '{plan}' of {} ({}) was confirmed first.", active.who, active.intent)
    });
    let mut holders: Vec<_> = holders.collect();
    holders.dedup();
    changed.extend(holders);
    match on.plan(who, &plan.intent).await {
        Ok(fresh) => Err(Error::Stale { changed, fresh: Box::new(fresh) }),
        Err(Error::Planner(cause)) => Err(Error::Outdated { changed, cause }),
        Err(e) => Err(e),
    }
}

/// Brings a plan into force. The id of its change is the plan's own, so that it is written once.
async fn start(
    on: &Maintenance,
    row: Stored<PlanRow>,
    who: &OperatorName,
    basis: Version,
) -> Result<Confirmed> {
    let plan = row.value.plan.clone();
    let proposal = proposals::start_of(&plan, who, basis);
    let outcome = on.cx.config.propose(proposal, PATIENCE).await;
    let (version, accepted) = proposals::answer(outcome)?;
    on.cx.metrics.event("plans_confirmed");
    let state = RowState::Confirmed { who: who.clone(), version };
    // Whoever loses this write finds the change by its id, or the row of the other writer.
    let _ = on.rows.put_plan(PlanRow { plan: plan.clone(), state }, Some(row.version)).await;
    Ok(Confirmed { plan: plan.id.clone(), who: who.clone(), version, accepted })
}

/// Pauses, resumes or cancels a plan.
pub async fn set_state(
    on: &Maintenance,
    who: &OperatorName,
    id: &PlanId,
    state: PlanState,
) -> Result<Confirmed> {
    let config = on.cx.config.current();
    let Some(active) = config.plans.get(id) else {
        let row = on.rows.plan(id).await?;
        let state = super::view::stage_of(&row.value.state, None).as_str();
        return Err(Error::NotRunning { plan: id.clone(), state });
    };
    if active.state == state {
        return Ok(known(on, id, active.who.clone(), config.version));
    }
    let proposal = Proposal {
        id: ChangeId(format!("{}-{id}-{:08x}", state.as_str(), fastrand::u32(..))),
        who: who.clone(),
        intent: format!("{} plan '{id}'", verb(state)),
        plan: Some(id.clone()),
        basis: Basis::Newest,
        changes: vec![Change::SetPlanState { plan: id.clone(), state }],
    };
    let outcome = on.cx.config.propose(proposal, PATIENCE).await;
    let (version, accepted) = proposals::answer(outcome)?;
    Ok(Confirmed { plan: id.clone(), who: who.clone(), version, accepted })
}

/// What an operator does to bring a plan into a state.
pub fn verb(state: PlanState) -> &'static str {
    match state {
        PlanState::Running => "resume",
        PlanState::Paused => "pause",
        PlanState::Cancelling => "cancel",
    }
}
