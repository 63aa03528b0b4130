//! Removes claims that are past their retention, with the answers that they left as objects.

use fuchsiamill_model::WallTime;
use fuchsiamill_policy::claims::{Bucket, ClaimRow, IndexRow};
use fuchsiamill_ports::{Commit, CommitOutcome, ObjectClient, Range, Result, Row, Table};

/// The index rows that one sweep reads.
const ROWS_PER_SWEEP: usize = 16;

/// Removes a bounded number of expired claims; returns how many went.
pub async fn sweep(table: &impl Table, objects: &ObjectClient, now: WallTime) -> Result<usize> {
    let (start, end) = Bucket::expired_range(now);
    let index_rows = table.range(&Range { start, end, limit: ROWS_PER_SWEEP }).await?;
    let mut removed = 0;
    for index_row in index_rows {
        removed += remove(table, objects, &index_row).await?;
    }
    Ok(removed)
}

/// Removes one index row with the claims that it names and that were not made anew.
///
/// Objects go first: a row that stays is found again, an object without a row would not be.
async fn remove(table: &impl Table, objects: &ObjectClient, index_row: &Row) -> Result<usize> {
    let mut commit = Commit::default()
        .at(index_row.key.as_str(), Some(index_row.version))
        .delete(index_row.key.as_str());
    let expired = expired_claims(table, index_row).await?;
    for (row, claim) in &expired {
        if let Some(name) = claim.possible_object() {
            objects.delete(&name).await?;
        }
        commit = commit.at(row.key.as_str(), Some(row.version)).delete(row.key.as_str());
    }
    match table.commit(&commit).await? {
        CommitOutcome::Done { .. } => Ok(expired.len()),
        CommitOutcome::Conflict { .. } => Ok(0),
    }
}

async fn expired_claims(table: &impl Table, index_row: &Row) -> Result<Vec<(Row, ClaimRow)>> {
    let index: IndexRow = serde_json::from_value(index_row.value.clone()).unwrap_or_default();
    let keys: Vec<String> = index.claims.iter().map(|(key, _)| key.as_str().into()).collect();
    let rows = table.get(&keys).await?;
    let named = rows.into_iter().zip(index.claims);
    let same = named.filter_map(|(row, (_, id))| {
        let row = row?;
        let claim: ClaimRow = serde_json::from_value(row.value.clone()).ok()?;
        (claim.id == id).then_some((row, claim))
    });
    Ok(same.collect())
}
