//! Deletes the rows of plans that are over for long, from any entry host.

use std::{rc::Rc, time::Duration};

use fuchsiamill_model::{Configuration, PlanId, WallTime};
use fuchsiamill_ports::{Commit, CommitOutcome, Range, Result, Row, Table};
use monoio::time::sleep;

use super::rows::{INDEX_PREFIX, index_start, lease_key, plan_key};
use crate::cx::Cx;

/// Plans looked at in one period.
const MOST_PLANS: usize = 20;

/// Runs for as long as the entry host does.
pub async fn run(cx: Rc<Cx>) {
    let settings = &cx.settings.maintenance;
    let period = Duration::from_millis(settings.purge_ms);
    loop {
        sleep(period).await;
        let before = WallTime(cx.clock.wall().0.saturating_sub(settings.plan_keep_ms));
        match purge(&*cx.table, &cx.config.current(), before).await {
            Ok(count) => (0..count).for_each(|_| cx.metrics.event("plans_deleted")),
            Err(_) => cx.metrics.event("plan_purges_failed"),
        }
    }
}

/// Deletes plans made before a time that are not being carried out; tells how many.
async fn purge(table: &impl Table, config: &Configuration, before: WallTime) -> Result<usize> {
    let end = format!("{INDEX_PREFIX}:");
    let limit = MOST_PLANS + config.plans.len();
    let range = Range { start: index_start(before), end, limit };
    let mut count = 0;
    for index in table.range(&range).await? {
        count += usize::from(delete(table, config, index).await?);
    }
    Ok(count)
}

/// Deletes a plan with its index row and its lease, unless somebody changes it meanwhile.
async fn delete(table: &impl Table, config: &Configuration, index: Row) -> Result<bool> {
    let Ok(id) = serde_json::from_value::<PlanId>(index.value) else { return Ok(false) };
    if config.plans.contains_key(&id) {
        return Ok(false);
    }
    let plan = table.get(&[plan_key(&id)]).await?.into_iter().flatten().next();
    let commit = Commit::default()
        .at(index.key.clone(), Some(index.version))
        .at(plan_key(&id), plan.map(|row| row.version))
        .delete(index.key)
        .delete(plan_key(&id))
        .delete(lease_key(&id));
    Ok(matches!(table.commit(&commit).await?, CommitOutcome::Done { .. }))
}
