//! Changes to the configuration and the log that they stand in.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Pool, Service, Version},
    host::{Host, HostState},
    names::{EntryName, HostName, KeyId, OperatorName, PlanId, PoolName, ServiceName, TeamName},
    plan::PlanState,
    team::{Key, Team},
    units::{Units, WallTime},
};

/// The id that a writer gives its own change, to find it again when an answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub String);

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Makes a pool or replaces its budget.
    PutPool {
        /// The pool.
        pool: Pool,
    },
    /// Removes a pool without hosts and services.
    RemovePool {
        /// The pool.
        pool: PoolName,
    },
    /// Makes a service or points it at another pool.
    PutService {
        /// The service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// The service.
        service: ServiceName,
    },
    /// Makes a team or replaces its settings.
    PutTeam {
        /// The team.
        team: Team,
    },
    /// Sets a team's weight.
    SetShare {
        /// The team.
        team: TeamName,
        /// The new weight.
        share: u32,
    },
    /// Sets a team's upper limit.
    SetUpperLimit {
        /// The team.
        team: TeamName,
        /// The new limit.
        upper_limit: Units,
    },
    /// Grants a key.
    GrantKey {
        /// The key.
        key: Key,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The key's id.
        key: KeyId,
    },
    /// Adds a host, or replaces what is recorded of one that is not serving.
    PutHost {
        /// The host.
        host: Host,
    },
    /// Removes a host that is set aside.
    RemoveHost {
        /// The host.
        host: HostName,
    },
    /// Moves a host along its life cycle.
    SetHostState {
        /// The host.
        host: HostName,
        /// The new state.
        state: HostState,
    },
    /// Puts a draining, rebooting or checking host into another pool.
    MoveHost {
        /// The host.
        host: HostName,
        /// The new pool.
        pool: PoolName,
    },
    /// Adds an entry host or its new peer address.
    PutEntryHost {
        /// The entry host.
        entry: EntryName,
        /// Where its peer port listens.
        peer: SocketAddr,
    },
    /// Removes an entry host from the record.
    RemoveEntryHost {
        /// The entry host.
        entry: EntryName,
    },
    /// Starts a confirmed plan; it holds its hosts until it ends.
    StartPlan {
        /// The plan.
        plan: PlanId,
        /// The hosts that it will change.
        hosts: Vec<HostName>,
    },
    /// Pauses, resumes or cancels a plan.
    SetPlanState {
        /// The plan.
        plan: PlanId,
        /// What it shall do next.
        state: PlanState,
    },
    /// Moves a plan on to a later step.
    AdvancePlan {
        /// The plan.
        plan: PlanId,
        /// The index of the step.
        step: u32,
    },
    /// Ends a plan and lets go of its hosts.
    EndPlan {
        /// The plan.
        plan: PlanId,
    },
}

impl Change {
    /// Whether it changes the record of entry hosts.
    pub fn is_record_change(&self) -> bool {
        matches!(self, Change::PutEntryHost { .. } | Change::RemoveEntryHost { .. })
    }
}

/// One entry of the configuration log, and at once of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The version that the changes lead to; one more than the entry before.
    pub version: Version,
    /// The writer's own id of this entry.
    pub id: ChangeId,
    /// The operator, or the entry host that acts for a confirmed plan.
    pub who: OperatorName,
    /// What was asked for, in words.
    pub intent: String,
    /// The plan that the changes belong to.
    pub plan: Option<PlanId>,
    /// When it was written.
    pub at: WallTime,
    /// The changes, all in force together or not at all.
    pub changes: Vec<Change>,
}
