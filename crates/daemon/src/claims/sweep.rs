//! Removes claims that are past their retention.

use fuchsiamill_model::WallTime;
use fuchsiamill_platform::{Commit, CommitOutcome, Range, Result, Row, Table};
use fuchsiamill_policy::claims::{Bucket, ClaimRow, IndexRow};

/// The index rows that one sweep reads.
const ROWS_PER_SWEEP: usize = 16;

/// Removes a bounded number of expired claims; returns how many went.
pub async fn sweep(table: &impl Table, now: WallTime) -> Result<usize> {
    let (start, end) = Bucket::expired_range(now);
    let index_rows = table.range(&Range { start, end, limit: ROWS_PER_SWEEP }).await?;
    let mut removed = 0;
    for index_row in index_rows {
        removed += remove(table, &index_row).await?;
    }
    Ok(removed)
}

/// Removes one index row with the claims that it names and that were not made anew.
async fn remove(table: &impl Table, index_row: &Row) -> Result<usize> {
    let index: IndexRow = serde_json::from_value(index_row.value.clone()).unwrap_or_default();
    let keys: Vec<String> = index.claims.iter().map(|(key, _)| key.as_str().into()).collect();
    let rows = table.get(&keys).await?;
    let same = |(row, (_, id)): &(Row, _)| {
        let claim = serde_json::from_value::<ClaimRow>(row.value.clone());
        claim.is_ok_and(|claim| &claim.id == id)
    };
    let expired = rows.into_iter().zip(index.claims).filter_map(|(row, it)| Some((row?, it)));
    let mut commit = Commit::default()
        .at(index_row.key.as_str(), Some(index_row.version))
        .delete(index_row.key.as_str());
    let mut count = 0;
    for (row, _) in expired.filter(same) {
        commit = commit.at(row.key.as_str(), Some(row.version)).delete(row.key);
        count += 1;
    }
    match table.commit(&commit).await? {
        CommitOutcome::Done { .. } => Ok(count),
        CommitOutcome::Conflict { .. } => Ok(0),
    }
}
