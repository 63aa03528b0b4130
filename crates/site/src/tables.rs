//! Tables, partitions and keys of the rows that the product keeps in the platform's store.

use fuchsiamill_fleet::{Cancellation, JobScope, Name};
use fuchsiamill_platform::{Key, Row, tables as shared};
use sha2::{Digest, Sha256};

/// The table of accepted jobs and requests to cancel them. Written by every entry host.
pub const JOBS: &str = "jobs";
/// The table of jobs' progress. Written by the coordinator only.
pub const PROGRESS: &str = "progress";
/// The table of the coordinator's lease and other rows, the rows of entry hosts among them.
pub const COORDINATOR: &str = "coordinator";
/// The partition of all rows that the coordinator writes. A transaction is limited to one partition, so any of them can
/// be written together with the lease row.
pub const COORDINATOR_PART: &str = "";

/// The number of partitions of the table of jobs. A partition commits its transactions one after another, which is
/// two a second if the store is slow, and the entry hosts store several tens of jobs a second at a peak.
pub const JOB_PARTS: u64 = 64;

/// The suffix of the key of a request to cancel a job.
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the partition of a job's row.
pub fn job_part(id: &str) -> Name {
    let sum = id.bytes().fold(0u64, |sum, it| sum.wrapping_mul(31).wrapping_add(it.into()));
    Name::from(format!("p{}", sum % JOB_PARTS))
}

/// Returns all partitions of the table of jobs.
pub fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|it| format!("p{it}"))
}

/// Returns the key of a job's row.
pub fn job_key(id: &str) -> Key {
    Key::new(JOBS, &job_part(id), id)
}

/// What former versions stored in the row of a request to cancel a job.
const NO_SCOPE: &[u8] = b"{}";

/// The bytes of a digest that stand in a key. Names of teams and queues have any length, keys at most 200 bytes.
const DIGEST_BYTES: usize = 12;

/// Returns the key of a request to cancel a job that was read. Former versions use it for all requests, and know no other.
pub fn cancel_key_of_job(id: &str) -> Key {
    cancel_key(&Cancellation { job: id.into(), scope: JobScope::All })
}

/// Returns the key of a request to cancel a job that may still come. Each scope has a row of its own, so that no caller's
/// request takes the place of another one's.
pub fn cancel_key(request: &Cancellation) -> Key {
    let Cancellation { job, scope } = request;
    let of_scope = match scope {
        JobScope::All => String::new(),
        JobScope::Team(name) => format!(".t{}", digest(name)),
        JobScope::Queue(name) => format!(".q{}", digest(name)),
    };
    Key::new(JOBS, &job_part(job), &format!("{job}{CANCEL_SUFFIX}{of_scope}"))
}

/// Returns the value of the row of a request to cancel a job in this scope.
pub fn cancel_value(scope: &JobScope) -> Vec<u8> {
    serde_json::to_vec(scope).expect("a scope serialises to JSON")
}

/// Returns whether a key of the table of jobs is that of a request to cancel a job.
pub fn is_cancellation(key: &str) -> bool {
    key.contains(CANCEL_SUFFIX)
}

/// Reads a request to cancel a job.
///
/// # Errors
///
/// Fails if the value has no scope that this version knows. Former versions stored `{}`, which stands for all jobs.
pub fn read_cancellation(row: &Row) -> serde_json::Result<Cancellation> {
    let key = &row.key.key;
    let job = key.split_once(CANCEL_SUFFIX).map_or(key.as_str(), |it| it.0).into();
    let scope = match row.value == NO_SCOPE {
        true => JobScope::All,
        false => serde_json::from_slice(&row.value)?,
    };
    Ok(Cancellation { job, scope })
}

fn digest(name: &str) -> String {
    let digest = Sha256::digest(name.as_bytes());
    digest.iter().take(DIGEST_BYTES).map(|it| format!("{it:02x}")).collect()
}

/// Returns the key of a row of a job's progress. The name of the first row is the job's id.
pub fn progress_key(row: &str) -> Key {
    Key::new(PROGRESS, COORDINATOR_PART, row)
}

/// Returns the key of the coordinator's lease row.
pub fn lease_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "lease")
}

/// Returns the key of the [board](crate::front::Board), which the coordinator writes for the other entry hosts.
pub fn board_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "board")
}

/// The prefix of the keys of the coordinator's records of maintenance waves.
pub const WAVE_PREFIX: &str = "wave.";

/// Returns the key of the coordinator's record of a maintenance wave.
pub fn wave_key(number: u64) -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, &format!("{WAVE_PREFIX}{number}"))
}

/// Returns the key of a maintenance wave's status row, which the operator reads.
pub fn wave_status_key(number: u64) -> Key {
    let key = format!("{}{number}", shared::WAVE_PREFIX);
    Key::new(shared::STATUS, COORDINATOR_PART, &key)
}

/// The partition of the entry hosts' own rows. It is a separate one so that their transactions do not queue with the
/// coordinator's.
pub const ENTRY_PART: &str = "entries";

/// Returns the key of the row of hosts with recent orders and the times of those orders.
pub fn host_orders_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "host-orders")
}

/// Returns the key of the row of workers with runs that are no longer in the worker list.
pub fn unlisted_workers_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "unlisted-workers")
}

/// Returns the key of the row of learned durations.
pub fn durations_key() -> Key {
    Key::new(COORDINATOR, COORDINATOR_PART, "durations")
}

/// Returns the key of the row in which an entry host publishes its address and strength.
pub fn entry_key(name: &str) -> Key {
    Key::new(COORDINATOR, ENTRY_PART, name)
}
