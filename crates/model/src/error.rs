//! The errors of checking raw input and of applying changes.

use crate::{
    config::Version,
    names::{HostName, KeyId, OperatorName, PlanId, PoolName, RackName, ServiceName, TeamName},
};

/// The result of a check in this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why raw input or a change was refused. Each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A name is empty or too long.
    #[error("A {kind} name has {found} bytes; give it 1 to {max}.")]
    NameLength {
        /// What is named.
        kind: &'static str,
        /// The length found, in bytes.
        found: usize,
        /// The longest allowed, in bytes.
        max: usize,
    },
    /// A name holds a character that is not allowed.
    #[error("The {kind} name '{name}' may hold only letters, digits, '-', '_' and '.'; rename it.")]
    NameCharacter {
        /// What is named.
        kind: &'static str,
        /// The name as given.
        name: String,
    },
    /// A number lies outside its range.
    #[error("The field '{field}' is {found}; set it from {min} to {max}.")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The number found.
        found: u64,
        /// The least allowed.
        min: u64,
        /// The most allowed.
        max: u64,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error(
        "A key digest is 64 hexadecimal digits of SHA-256; make it anew with 'fuchsiamill key digest'."
    )]
    Digest,
    /// A change names a host that is not there.
    #[error("There is no host '{0}'; list the hosts with 'fuchsiamill host list'.")]
    NoHost(HostName),
    /// A change names a pool that is not there.
    #[error(
        "There is no pool '{0}'; list the pools with 'fuchsiamill pool list' or make it first."
    )]
    NoPool(PoolName),
    /// A change names a service that is not there.
    #[error("There is no service '{0}'; list the services with 'fuchsiamill status'.")]
    NoService(ServiceName),
    /// A change names a team that is not there.
    #[error(
        "There is no team '{0}'; list the teams with 'fuchsiamill team list' or make it first."
    )]
    NoTeam(TeamName),
    /// A change names a key that is not there.
    #[error("There is no key '{0}'; list the keys with 'fuchsiamill key list'.")]
    NoKey(KeyId),
    /// A change names a rack without hosts.
    #[error("There is no host in rack '{0}'; list the hosts with 'fuchsiamill host list'.")]
    NoRack(RackName),
    /// A change makes something that is already there.
    #[error("The {kind} '{name}' is already there; change it instead of making it.")]
    AlreadyThere {
        /// What is made.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A host cannot go from its state to the wanted one.
    #[error("Host '{host}' is {found} and cannot become {wanted}; wait until it is {needed}.")]
    HostState {
        /// The host.
        host: HostName,
        /// Its state now.
        found: &'static str,
        /// The state asked for.
        wanted: &'static str,
        /// The states from which that is allowed.
        needed: &'static str,
    },
    /// Taking a host out would break its pool's availability budget.
    #[error(
        "Pool '{pool}' would serve with {left} slots, below its budget of {least}; bring hosts back first."
    )]
    Budget {
        /// The pool.
        pool: PoolName,
        /// The slots that would be left.
        left: u32,
        /// The least serving capacity of the budget, in slots.
        least: u32,
    },
    /// Taking a host out would take too many out of one failure domain.
    #[error(
        "Pool '{pool}' would have {out} hosts out in one data centre, over its budget of {most}; wait for them."
    )]
    DomainBudget {
        /// The pool.
        pool: PoolName,
        /// The hosts that would be out in the data centre.
        out: u32,
        /// The most that may be out at once.
        most: u32,
    },
    /// A host is held by another plan.
    #[error(
        "Host '{host}' is held by plan '{plan}' of {who} ({intent}); wait for that plan or cancel it."
    )]
    HostHeld {
        /// The host.
        host: HostName,
        /// The plan that holds it.
        plan: PlanId,
        /// Who confirmed that plan.
        who: OperatorName,
        /// What that plan is for.
        intent: String,
    },
    /// A change names a plan that is not being carried out.
    #[error("The plan '{0}' is not being carried out; list the plans with 'fuchsiamill plans'.")]
    NoPlan(PlanId),
    /// A plan cannot go to the wanted state or step.
    #[error(
        "The plan '{plan}' is {found} and cannot become {wanted}; look at it with 'fuchsiamill plans'."
    )]
    PlanState {
        /// The plan.
        plan: PlanId,
        /// What it is now.
        found: String,
        /// What was asked for.
        wanted: String,
    },
    /// A pool is in use and cannot be removed.
    #[error("Pool '{0}' still has hosts or services; move them first.")]
    PoolInUse(PoolName),
    /// A log entry does not follow the version that is applied.
    #[error("The configuration is at version {found}, not {needed}; read the log from there.")]
    VersionGap {
        /// The version that is applied.
        found: Version,
        /// The version that the entry follows.
        needed: Version,
    },
}
