//! Rows and objects in memory.

use std::collections::BTreeMap;

use fuchsiamill_ports::{Commit, CommitOutcome, Condition, Range, Row, RowVersion};
use serde_json::Value;

/// Rows by key, and objects by name.
#[derive(Default)]
pub struct Store {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Value>,
    version: RowVersion,
}

impl Store {
    /// Applies a commit whole or not at all.
    pub fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        if let Some((key, found)) = commit.conditions.iter().find_map(|it| self.broken(it)) {
            return CommitOutcome::Conflict { key, found };
        }
        let version = RowVersion(self.version.0 + 1);
        self.version = version;
        for put in &commit.puts {
            let row = Row { key: put.key.clone(), version, value: put.value.clone() };
            self.rows.insert(put.key.clone(), row);
        }
        for key in &commit.deletes {
            self.rows.remove(key);
        }
        CommitOutcome::Done { version }
    }

    /// Rows by key.
    pub fn get(&self, keys: &[String]) -> Vec<Option<Row>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// A range of rows.
    pub fn range(&self, range: &Range) -> Vec<Row> {
        if range.start >= range.end {
            return Vec::new();
        }
        self.rows
            .range(range.start.clone()..range.end.clone())
            .take(range.limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// An object.
    pub fn object(&self, name: &str) -> Option<&Value> {
        self.objects.get(name)
    }

    /// Writes an object.
    pub fn put_object(&mut self, name: &str, value: Value) {
        self.objects.insert(name.into(), value);
    }

    /// Removes an object.
    pub fn delete_object(&mut self, name: &str) {
        self.objects.remove(name);
    }

    fn broken(&self, condition: &Condition) -> Option<(String, Option<RowVersion>)> {
        let (key, wanted) = match condition {
            Condition::Absent { key } => (key, None),
            Condition::At { key, version } => (key, Some(*version)),
        };
        let found = self.rows.get(key).map(|row| row.version);
        (found != wanted).then(|| (key.clone(), found))
    }
}
