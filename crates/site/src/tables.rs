//! Rows that the product keeps in the platform's store.

use fuchsiamill_fleet::Name;
use fuchsiamill_platform::{Key, tables as shared};

/// Jobs as accepted, and wishes to cancel them. Written by every entry host.
pub const JOBS: &str = "jobs";
/// Progress of jobs. Written by the coordinator only.
pub const PROGRESS: &str = "progress";
/// The coordinator's lease and what it tells the other entry hosts.
pub const COORDINATOR: &str = "coordinator";
/// The part of all rows that the coordinator writes, so that one change can carry any of them with the lease.
pub const COORDINATOR_PART: &str = "";

/// Parts of the jobs' table. One part makes its changes one after another; beside a slow store that is two a second,
/// and the entry hosts store several tens of jobs a second at a peak.
pub const JOB_PARTS: u64 = 64;

/// The end of the key of a wish to cancel.
const CANCEL_SUFFIX: &str = ".cancel";

/// The part of a job's row.
pub fn job_part(id: &str) -> Name {
    let sum = id.bytes().fold(0u64, |sum, it| sum.wrapping_mul(31).wrapping_add(it.into()));
    Name::from(format!("p{}", sum % JOB_PARTS))
}

/// All parts of the jobs' table.
pub fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|it| format!("p{it}"))
}

/// The row of a job.
pub fn job_key(id: &str) -> Key {
    Key::new(JOBS, &job_part(id), id)
}

/// The row of the wish to cancel a job.
pub fn cancel_key(id: &str) -> Key {
    Key::new(JOBS, &job_part(id), &format!("{id}{CANCEL_SUFFIX}"))
}

/// The job that a row of the jobs' table wishes to cancel.
pub fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// The row of a job's progress.
pub fn progress_key(id: &str) -> Key {
    Key::new(PROGRESS, COORDINATOR_PART, id)
}

/// The coordinator's lease.
pub fn lease_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "lease")
}

/// What the coordinator tells the other entry hosts.
pub fn board_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "board")
}

/// The beginning of the keys of what the coordinator stores of waves.
pub const WAVE_PREFIX: &str = "wave.";

/// What the coordinator stores of a wave.
pub fn wave_key(number: u64) -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, &format!("{WAVE_PREFIX}{number}"))
}

/// What the operator is told of a wave.
pub fn wave_status_key(number: u64) -> Key {
    let key = format!("{}{number}", shared::WAVE_PREFIX);
    Key::new(shared::STATUS, COORDINATOR_PART, &key)
}

/// The part of what entry hosts tell of themselves: their changes do not queue with the coordinator's.
pub const ENTRY_PART: &str = "entries";

/// Hosts that had orders lately, and when.
pub fn host_orders_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "host-orders")
}

/// What an entry host tells of itself.
pub fn entry_key(name: &str) -> Key {
    Key::new(COORDINATOR, ENTRY_PART, name)
}
