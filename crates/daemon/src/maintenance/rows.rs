//! Plans and the leases of their runners in the platform's table.

use std::{collections::BTreeSet, rc::Rc};

use fuchsiamill_model::{EntryName, Incarnation, OperatorName, PlanId, Version, WallTime};
use fuchsiamill_policy::planner::Plan;
use fuchsiamill_ports::{Commit, CommitOutcome, Range, Row, RowVersion, Table, TableClient};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::error::{Error, Result};

const PLAN_PREFIX: &str = "plan/";
/// Rows that name each plan by the time it was made, the newest first.
pub const INDEX_PREFIX: &str = "plan-index/";
const LEASE_PREFIX: &str = "plan-lease/";
const MOST_PLANS: usize = 200;

/// How far a plan is, apart from what the configuration tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum RowState {
    /// It waits to be confirmed.
    Proposed,
    /// An operator confirms it; its change may be in the log.
    Confirming {
        /// The operator.
        who: OperatorName,
        /// The version at which what it depends on had not changed.
        basis: Version,
    },
    /// It was confirmed.
    Confirmed {
        /// The operator.
        who: OperatorName,
        /// The version that it came into force with.
        version: Version,
    },
    /// It was confirmed and has ended.
    Ended {
        /// The operator.
        who: OperatorName,
        /// The version that it came into force with.
        version: Version,
    },
}

/// A plan in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRow {
    /// The plan.
    pub plan: Rc<Plan>,
    /// How far it is.
    pub state: RowState,
}

/// The lease of the entry host that carries out a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// The entry host.
    pub holder: EntryName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Why the plan does not go on, in words.
    pub waits: Vec<String>,
}

/// A value and the version of its row.
#[derive(Clone, Debug)]
pub struct Stored<T> {
    /// The value.
    pub value: T,
    /// The version of the row.
    pub version: RowVersion,
}

/// The rows of plans.
#[derive(Clone)]
pub struct PlanRows {
    table: Rc<TableClient>,
}

impl PlanRows {
    /// Rows in a table.
    pub fn new(table: Rc<TableClient>) -> Self {
        Self { table }
    }

    /// Reads a plan.
    pub async fn plan(&self, id: &PlanId) -> Result<Stored<PlanRow>> {
        let found = self.get(plan_key(id)).await?;
        found.ok_or_else(|| Error::NoPlan(id.clone()))
    }

    /// Reads the newest plans, and those of `running` in any case.
    pub async fn plans(&self, running: impl Iterator<Item = &PlanId>) -> Result<Vec<PlanRow>> {
        let index = self.table.range(&Range::prefix(INDEX_PREFIX, MOST_PLANS)).await?;
        let newest = index.into_iter().filter_map(|row| serde_json::from_value(row.value).ok());
        let ids: BTreeSet<PlanId> = newest.chain(running.cloned()).collect();
        let keys: Vec<String> = ids.iter().map(plan_key).collect();
        let rows = self.table.get(&keys).await?.into_iter().flatten();
        Ok(rows.filter_map(|row| parsed(row).map(|it| it.value)).collect())
    }

    /// Writes a new plan and names it in the index.
    pub async fn add_plan(&self, row: PlanRow) -> Result<()> {
        let (id, key) = (row.plan.id.clone(), plan_key(&row.plan.id));
        let index = format!("{}-{id}", index_start(row.plan.made_at));
        let commit = Commit::default().absent(key.clone()).put(key, &row).put(index, &id);
        self.table.commit(&commit).await?;
        Ok(())
    }

    /// Writes a plan over the version that was read; `None` when another writer was first.
    pub async fn put_plan(
        &self,
        row: PlanRow,
        over: Option<RowVersion>,
    ) -> Result<Option<Stored<PlanRow>>> {
        let key = plan_key(&row.plan.id);
        self.put(key, row, over).await
    }

    /// Reads the lease of a plan.
    pub async fn lease(&self, id: &PlanId) -> Result<Option<Stored<LeaseRow>>> {
        self.get(lease_key(id)).await
    }

    /// Writes the lease of a plan over the version that was read; `None` when another writer was first.
    pub async fn put_lease(
        &self,
        id: &PlanId,
        row: LeaseRow,
        over: Option<RowVersion>,
    ) -> Result<Option<Stored<LeaseRow>>> {
        self.put(lease_key(id), row, over).await
    }

    async fn get<T: DeserializeOwned>(&self, key: String) -> Result<Option<Stored<T>>> {
        let rows = self.table.get(&[key]).await?;
        Ok(rows.into_iter().flatten().next().and_then(parsed))
    }

    async fn put<T: Serialize>(
        &self,
        key: String,
        value: T,
        over: Option<RowVersion>,
    ) -> Result<Option<Stored<T>>> {
        let commit = Commit::default().at(key.clone(), over).put(key, &value);
        Ok(match self.table.commit(&commit).await? {
            CommitOutcome::Done { version } => Some(Stored { value, version }),
            CommitOutcome::Conflict { .. } => None,
        })
    }
}

fn parsed<T: DeserializeOwned>(row: Row) -> Option<Stored<T>> {
    Some(Stored { value: serde_json::from_value(row.value).ok()?, version: row.version })
}

/// The first index key of the plans made at a time; those made before come after it.
pub fn index_start(made_at: WallTime) -> String {
    format!("{INDEX_PREFIX}{:020}", u64::MAX - made_at.0)
}

/// The key of a plan's row.
pub fn plan_key(id: &PlanId) -> String {
    format!("{PLAN_PREFIX}{id}")
}

/// The key of the lease of a plan.
pub fn lease_key(id: &PlanId) -> String {
    format!("{LEASE_PREFIX}{id}")
}
