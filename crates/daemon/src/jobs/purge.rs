//! Deletes jobs that have been over for long.

use fuchsiamill_model::{JobId, PoolName};
use fuchsiamill_ports::{Commit, Range, Result, Table};

use super::rows::{ended_prefix, index_key};
use crate::cx::Cx;

/// Jobs deleted in one write.
const MOST_ROWS: usize = 200;

/// Deletes the pool's jobs whose time is over, and tells how many.
pub(super) async fn purge(cx: &Cx, pool: &PoolName) -> Result<usize> {
    let prefix = ended_prefix(pool);
    let until = cx.clock.wall().0.saturating_sub(cx.settings.jobs.keep_ms);
    let end = format!("{prefix}{until:020}");
    let rows = cx.table.range(&Range { start: prefix, end, limit: MOST_ROWS }).await?;
    if rows.is_empty() {
        return Ok(0);
    }
    let count = rows.len();
    let mut commit = Commit::default();
    for row in rows {
        if let Ok(job) = serde_json::from_value::<JobId>(row.value) {
            commit = commit.delete(index_key(&job));
        }
        commit = commit.delete(row.key);
    }
    cx.table.commit(&commit).await?;
    Ok(count)
}
