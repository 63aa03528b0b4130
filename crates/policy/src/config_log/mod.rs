//! The versioned log of configuration changes: appending, replication, acceptance and compaction.
//!
//! The log is stored in the platform's table. These state machines decide what to read and write there
//! and how to handle a lost answer.

mod acceptance;
mod append;
mod compaction;
mod replica;
mod rows;
mod subject;

pub use acceptance::{Acceptance, Confirmation, VersionReport};
pub use append::{Append, AppendEvent, AppendStep, Basis, Conflict, Finish, Proposal, Write};
pub use compaction::{Compaction, compaction_due};
pub use replica::{ApplyOutcome, Replica, Since};
pub use rows::{HEAD_KEY, Head, LOG_PREFIX, SNAPSHOT_KEY, log_key};
pub use subject::Subject;
