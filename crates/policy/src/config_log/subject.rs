//! The subjects of changes: two entries that share a subject conflict.

use std::fmt;

use fuchsiamill_model::{
    Change, EntryName, FastSet, HostName, KeyId, LogEntry, PlanId, PoolName, ServiceName, TeamName,
};

/// An item of the configuration that a change concerns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A pool's settings.
    Pool(PoolName),
    /// A service's settings.
    Service(ServiceName),
    /// A team's settings.
    Team(TeamName),
    /// A team's key.
    Key(KeyId),
    /// A host: its settings, state and pool.
    Host(HostName),
    /// An entry host on record, added or removed.
    Entry(EntryName),
    /// A plan that is in progress.
    Plan(PlanId),
}

impl Subject {
    /// Returns the subjects of a change.
    pub fn of(change: &Change) -> Vec<Subject> {
        let subject = match change {
            Change::PutPool { pool } => Subject::Pool(pool.name.clone()),
            Change::RemovePool { pool } => Subject::Pool(pool.clone()),
            Change::PutService { service } => Subject::Service(service.name.clone()),
            Change::RemoveService { service } => Subject::Service(service.clone()),
            Change::PutTeam { team } => Subject::Team(team.name.clone()),
            Change::SetShare { team, .. } | Change::SetUpperLimit { team, .. } => {
                Subject::Team(team.clone())
            }
            Change::GrantKey { key } => Subject::Key(key.id.clone()),
            Change::WithdrawKey { key } => Subject::Key(key.clone()),
            Change::PutHost { host } => Subject::Host(host.name.clone()),
            Change::RemoveHost { host }
            | Change::SetHostState { host, .. }
            | Change::MoveHost { host, .. } => Subject::Host(host.clone()),
            Change::PutEntryHost { entry, .. } | Change::RemoveEntryHost { entry } => {
                Subject::Entry(entry.clone())
            }
            Change::StartPlan { hosts, .. } => {
                return hosts.iter().cloned().map(Subject::Host).collect();
            }
            Change::SetPlanState { plan, .. }
            | Change::AdvancePlan { plan, .. }
            | Change::EndPlan { plan } => Subject::Plan(plan.clone()),
        };
        vec![subject]
    }

    /// Returns the subjects of all given changes.
    pub fn all(changes: &[Change]) -> FastSet<Subject> {
        changes.iter().flat_map(Subject::of).collect()
    }

    /// Returns the first subject of an entry that is in `ours`.
    pub fn shared(entry: &LogEntry, ours: &FastSet<Subject>) -> Option<Subject> {
        entry.changes.iter().flat_map(Subject::of).find(|subject| ours.contains(subject))
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Pool(name) => write!(f, "pool '{name}'"),
            Subject::Service(name) => write!(f, "service '{name}'"),
            Subject::Team(name) => write!(f, "team '{name}'"),
            Subject::Key(name) => write!(f, "key '{name}'"),
            Subject::Host(name) => write!(f, "host '{name}'"),
            Subject::Entry(name) => write!(f, "entry host '{name}'"),
            Subject::Plan(name) => write!(f, "plan '{name}'"),
        }
    }
}
