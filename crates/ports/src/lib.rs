//! Clients of the platform: its transactional table service, object store, list of hosts and workers.
//!
//! Every error tells whether a write has certainly not taken effect or may have.

pub mod error;
pub mod hosts;
pub mod objects;
pub mod restart;
pub mod table;
pub mod worker;

pub use error::{Error, Result};
pub use hosts::{HostListClient, HostReport, Liveness};
pub use objects::ObjectClient;
pub use restart::{RestartClient, RestartOrder, RestartState};
pub use table::{
    Commit, CommitOutcome, Condition, Put, Range, Row, RowVersion, Table, TableClient,
};
pub use worker::{Worker, WorkerClient};
