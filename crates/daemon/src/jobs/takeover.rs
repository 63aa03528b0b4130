//! Takes the lease on a pool's jobs by one conditional write, and reads the jobs.

use std::rc::Rc;

use fuchsiamill_model::PoolName;
use fuchsiamill_policy::jobs::{JobRow, PoolLease};
use fuchsiamill_ports::{Commit, CommitOutcome, Range, Result, RowVersion, Table};

use super::{
    commit::HeldLease,
    rows::{job_prefix, lease_key, value_of},
};
use crate::cx::Cx;

const PAGE_ROWS: usize = 1_000;

/// A pool's jobs, newly taken over.
#[derive(Debug)]
pub(super) struct Taken {
    /// The lease as it is in the table.
    pub held: HeldLease,
    /// Its value.
    pub lease: PoolLease,
    /// The rows of the pool's jobs with their versions.
    pub rows: Vec<(JobRow, u64)>,
}

/// Takes a pool over; `None` when another entry host was faster.
pub(super) async fn take_over(cx: &Rc<Cx>, pool: &PoolName) -> Result<Option<Taken>> {
    let Some((lease, version)) = take_lease(cx, pool).await? else { return Ok(None) };
    let rows = read_rows(cx, pool).await?;
    let held = HeldLease { pool: pool.clone(), version };
    Ok(Some(Taken { held, lease, rows }))
}

/// Reads all jobs of a pool.
pub(super) async fn read_rows(cx: &Cx, pool: &PoolName) -> Result<Vec<(JobRow, u64)>> {
    let mut rows = Vec::new();
    let mut range = Range::prefix(&job_prefix(pool), PAGE_ROWS);
    loop {
        let page = cx.table.range(&range).await?;
        let full = page.len() == PAGE_ROWS;
        if let Some(last) = page.last() {
            range.start = format!("{}\0", last.key);
        }
        rows.extend(
            page.into_iter().filter_map(|row| value_of(Some(row))).map(|(row, it)| (row, it.0)),
        );
        if !full {
            return Ok(rows);
        }
    }
}

async fn take_lease(cx: &Cx, pool: &PoolName) -> Result<Option<(PoolLease, RowVersion)>> {
    let key = lease_key(pool);
    let before = read_lease(cx, &key).await?;
    let entry = cx.settings.entry.name.clone();
    let lease = PoolLease::after(before.as_ref().map(|(it, _)| it), entry, cx.incarnation.clone());
    let version = before.map(|(_, version)| version);
    let commit = Commit::default().at(key.clone(), version).put(key.clone(), &lease);
    match cx.table.commit(&commit).await {
        Ok(CommitOutcome::Done { version }) => Ok(Some((lease, version))),
        Ok(CommitOutcome::Conflict { .. }) => Ok(None),
        Err(e) if e.may_have_taken_effect() => {
            let now = read_lease(cx, &key).await?;
            Ok(now.filter(|(it, _)| *it == lease))
        }
        Err(e) => Err(e),
    }
}

async fn read_lease(cx: &Cx, key: &str) -> Result<Option<(PoolLease, RowVersion)>> {
    let rows = cx.table.get(&[key.to_owned()]).await?;
    Ok(value_of(rows.into_iter().next().flatten()))
}
