//! Plans as operators see them.

use fuchsiamill_api::{PlanView, Stage};
use fuchsiamill_model::{ActivePlan, PlanState, Progress};

use super::{
    Maintenance,
    error::Result,
    rows::{PlanRow, RowState},
};

/// The stage of a plan from its row and, while it runs, from the configuration.
pub fn stage_of(state: &RowState, active: Option<&ActivePlan>) -> Stage {
    match (active.map(|it| it.state), state) {
        (Some(PlanState::Running), _) => Stage::Running,
        (Some(PlanState::Paused), _) => Stage::Paused,
        (Some(PlanState::Cancelling), _) => Stage::Cancelling,
        (None, RowState::Proposed) => Stage::Proposed,
        (None, RowState::Confirming { .. }) => Stage::Confirming,
        (None, RowState::Confirmed { .. } | RowState::Ended { .. }) => Stage::Ended,
    }
}

/// The newest plans and every running one, the newest first.
pub async fn all(on: &Maintenance) -> Result<Vec<PlanView>> {
    let mut views = Vec::new();
    let config = on.cx.config.current();
    for row in on.rows.plans(config.plans.keys()).await? {
        views.push(view(on, row).await?);
    }
    views.sort_by_key(|it| std::cmp::Reverse(it.plan.made_at));
    Ok(views)
}

async fn view(on: &Maintenance, row: PlanRow) -> Result<PlanView> {
    let config = on.cx.config.current();
    let active = config.plans.get(&row.plan.id);
    let mut stage = stage_of(&row.state, active);
    if stage == Stage::Proposed && on.cx.clock.wall() > row.plan.expires_at {
        stage = Stage::Expired;
    }
    let confirmed_by = match &row.state {
        RowState::Proposed => None,
        RowState::Confirming { who, .. }
        | RowState::Confirmed { who, .. }
        | RowState::Ended { who, .. } => Some(who.clone()),
    };
    let waits = match active {
        Some(_) => on.rows.lease(&row.plan.id).await?.map(|it| it.value.waits),
        None => None,
    };
    Ok(PlanView {
        stage,
        confirmed_by: active.map(|it| it.who.clone()).or(confirmed_by),
        step: active.map(|it| it.step),
        hosts: active.map(counts),
        waits: waits.unwrap_or_default(),
        plan: row.plan,
    })
}

fn counts(active: &ActivePlan) -> [u32; 3] {
    let count =
        |wanted: &[Progress]| active.hosts.values().filter(|it| wanted.contains(it)).count() as u32;
    let done = count(&[Progress::Done, Progress::SetAside]);
    [done, count(&[Progress::Out]), count(&[Progress::Pending])]
}
