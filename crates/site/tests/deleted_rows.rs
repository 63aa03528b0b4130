//! Rows that were deleted while a read of their table was under way.

use fuchsiamill_fleet::{Cancellation, JobScope};
use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::{Key, Row};
use fuchsiamill_site::{
    lead::{DeletedRows, Deletion},
    tables,
};

const CONFIRMED: Moment = Moment(1_000);

const JOB: &str = "5c0e7a21d94b36f8";

/// The version at which the job's rows were deleted.
const DELETED_AT: u64 = 40;

fn row(key: Key, version: u64) -> Row {
    Row { key, value: Vec::new(), version, is_removed: false }
}

fn cancel_key() -> Key {
    tables::cancel_key(&Cancellation { job: JOB.into(), scope: JobScope::Team("north".into()) })
}

fn with_deleted_job() -> DeletedRows {
    let keys = vec![tables::job_key(JOB), cancel_key()];
    let mut rows = DeletedRows::default();
    rows.note(Deletion { keys, version: DELETED_AT }, CONFIRMED);
    rows
}

/// A job that was forgotten with its rows was accepted anew from an earlier read, and its tasks ran again.
#[test]
fn row_read_before_its_deletion_is_deleted() {
    let rows = with_deleted_job();
    assert!(rows.is_deleted(&row(tables::job_key(JOB), DELETED_AT - 1)));
    assert!(rows.is_deleted(&row(cancel_key(), DELETED_AT - 1)));
}

/// A job that is sent again after its rows were deleted, or a cancellation, would be lost.
#[test]
fn row_written_after_the_deletion_is_not_deleted() {
    let rows = with_deleted_job();
    assert!(!rows.is_deleted(&row(tables::job_key(JOB), DELETED_AT + 1)));
    assert!(!rows.is_deleted(&row(cancel_key(), DELETED_AT + 1)));
    assert!(!rows.is_deleted(&row(tables::job_key("91ab3c00d94b36f8"), DELETED_AT - 1)));
}

/// A read that began in the millisecond of the confirmation may have been served before the deletion.
#[test]
fn rows_are_kept_until_a_later_read() {
    let mut rows = with_deleted_job();
    rows.table_known(CONFIRMED - 500);
    rows.table_known(CONFIRMED);
    assert!(rows.is_deleted(&row(tables::job_key(JOB), DELETED_AT - 1)));
}

/// Every job that ends would stay in memory.
#[test]
fn rows_are_forgotten_after_a_later_read() {
    let mut rows = with_deleted_job();
    assert_eq!(rows.len(), 2);
    rows.table_known(CONFIRMED + 1);
    assert!(rows.is_empty());
}
