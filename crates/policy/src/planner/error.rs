//! Why no plan can be made for an intent.

use fuchsiamill_model::{HostName, PoolName};

/// The result of planning.
pub type Result<T> = std::result::Result<T, Error>;

/// Why no plan can be made. Each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The intent names something that is not there, or breaks a rule of the configuration.
    #[error(transparent)]
    Model(#[from] fuchsiamill_model::Error),
    /// No host is left to work on.
    #[error("No host is left to work on; look at the hosts with 'fuchsiamill host list'.")]
    NothingToDo,
    /// A pool has too few hosts for a move.
    #[error("Pool '{pool}' has {free} free hosts, not {wanted}; ask for fewer.")]
    TooFewHosts {
        /// The pool that gives.
        pool: PoolName,
        /// Its hosts that serve and that no plan holds.
        free: usize,
        /// The hosts asked for.
        wanted: usize,
    },
    /// A host is not in the state that the intent needs.
    #[error("Host '{host}' is {found}, not {needed}; restore it first or leave it out.")]
    HostState {
        /// The host.
        host: HostName,
        /// Its state.
        found: &'static str,
        /// The state needed.
        needed: &'static str,
    },
}
