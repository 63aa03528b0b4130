//! Keys and values of the rows of jobs.

use fuchsiamill_model::{JobId, KeyDigest, PoolName, TeamName, WallTime};
use fuchsiamill_policy::jobs::{JobRow, WriteId};
use fuchsiamill_ports::{Row, RowVersion};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Hexadecimal digits of a job's id.
const ID_DIGITS: usize = 32;

/// The row `job-index/{id}`: which job an idempotency key stands for, and the job once it is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct JobIndex {
    /// The job's pool.
    pub pool: PoolName,
    /// The team that it belongs to.
    pub team: TeamName,
    /// The digest of the request that made it.
    pub request: String,
    /// The job once it is over; its row `job/{pool}/{id}` is deleted then.
    pub ended: Option<JobRow>,
}

/// The key of a job that is not over.
pub(super) fn job_key(pool: &PoolName, job: &JobId) -> String {
    format!("job/{pool}/{job}")
}

/// What the keys of a pool's jobs begin with.
pub(super) fn job_prefix(pool: &PoolName) -> String {
    format!("job/{pool}/")
}

/// The key of a job's index row.
pub(super) fn index_key(job: &JobId) -> String {
    format!("job-index/{job}")
}

/// What the keys begin with that name a pool's jobs in the order of their ends.
pub(super) fn ended_prefix(pool: &PoolName) -> String {
    format!("job-ended/{pool}/")
}

/// The key that names a job by the time of its end.
pub(super) fn ended_key(pool: &PoolName, at: WallTime, job: &JobId) -> String {
    format!("{}-{job}", ended_start(pool, at))
}

/// The first key of a pool's jobs that ended at or after a time.
pub(super) fn ended_start(pool: &PoolName, at: WallTime) -> String {
    format!("{}{:020}", ended_prefix(pool), at.0)
}

/// The key of the lease on a pool's jobs.
pub(super) fn lease_key(pool: &PoolName) -> String {
    format!("job-lease/{pool}")
}

/// The key of a team's escrow row.
pub(super) fn escrow_key(team: &TeamName) -> String {
    format!("escrow/{team}")
}

/// The id of the job that a team's idempotency key stands for.
pub(super) fn job_id(team: &TeamName, idempotency_key: &str) -> JobId {
    let digest = KeyDigest::of(&format!("{team}/{idempotency_key}")).to_string();
    JobId::try_from(&digest[..ID_DIGITS]).expect("hexadecimal digits are a name")
}

/// A new write id.
pub(super) fn new_write_id() -> WriteId {
    WriteId(format!("{:016x}", fastrand::u64(..)))
}

/// A row's value with its version; `None` where there is no row, or one that cannot be read.
pub(super) fn value_of<T: DeserializeOwned>(row: Option<Row>) -> Option<(T, RowVersion)> {
    let row = row?;
    match serde_json::from_value(row.value) {
        Ok(value) => Some((value, row.version)),
        Err(e) => {
            log::error!("row '{}' cannot be read: {e}; run the same version everywhere", row.key);
            None
        }
    }
}
