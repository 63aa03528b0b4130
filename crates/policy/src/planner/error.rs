//! Errors of planning.

use fuchsiamill_model::{HostName, PoolName};

/// The result of planning.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why no plan can be made. Each message tells the operator what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The intent names an unknown item or breaks a rule of the configuration.
    #[error(transparent)]
    Model(#[from] fuchsiamill_model::Error),
    /// No host in the intent's scope can be worked on.
    #[error("No host is left to work on; list the hosts with 'fuchsiamill host list'.")]
    NothingToDo,
    /// A pool has too few hosts for a move.
    #[error("Pool '{pool}' has {free} free hosts, not {wanted}; ask for fewer.")]
    TooFewHosts {
        /// The pool that hosts would leave.
        pool: PoolName,
        /// The pool's serving hosts that no plan holds.
        free: usize,
        /// The number of hosts requested.
        wanted: usize,
    },
    /// A host is not in the state that the intent needs.
    #[error("Host '{host}' is {found}, not {needed}; restore it first or leave it out.")]
    HostState {
        /// The host in the wrong state.
        host: HostName,
        /// The current state.
        found: &'static str,
        /// The state that the intent requires.
        needed: &'static str,
    },
}
