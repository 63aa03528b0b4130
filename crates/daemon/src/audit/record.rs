//! What the audit trail records.

use fuchsiamill_model::{ChangeId, LogEntry, OperatorName, PlanId, Version, WallTime};
use serde::{Deserialize, Serialize};

/// The prefix of every audit row.
pub const AUDIT_PREFIX: &str = "audit/";

/// How an intent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditOutcome {
    /// It changed the configuration.
    Written,
    /// The rules refused it.
    Refused,
    /// Another change stood in its way.
    Conflict,
    /// An operator cancelled it.
    Cancelled,
}

impl AuditOutcome {
    /// The outcome in words.
    pub fn as_str(self) -> &'static str {
        match self {
            AuditOutcome::Written => "written",
            AuditOutcome::Refused => "refused",
            AuditOutcome::Conflict => "conflict",
            AuditOutcome::Cancelled => "cancelled",
        }
    }
}

/// One record of the audit trail. It never holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// When it was decided.
    pub at: WallTime,
    /// The id of the change or of the attempt.
    pub id: ChangeId,
    /// Who asked.
    pub who: OperatorName,
    /// What was asked for, in words.
    pub intent: String,
    /// The plan that it belongs to.
    pub plan: Option<PlanId>,
    /// The version before.
    pub before: Version,
    /// The version after; the same as before when nothing was changed.
    pub after: Version,
    /// How it ended.
    pub outcome: AuditOutcome,
    /// Why it was refused; empty for a change.
    #[serde(default)]
    pub reason: String,
}

impl AuditRecord {
    /// The record of an entry that is written.
    pub fn of(entry: &LogEntry) -> Self {
        Self {
            at: entry.at,
            id: entry.id.clone(),
            who: entry.who.clone(),
            intent: entry.intent.clone(),
            plan: entry.plan.clone(),
            before: Version(entry.version.0 - 1),
            after: entry.version,
            outcome: AuditOutcome::Written,
            reason: String::new(),
        }
    }

    /// The key of its row; keys sort by time.
    pub fn key(&self) -> String {
        format!("{}-{}", start_of(self.at), self.id.0)
    }
}

/// The first key at or after a time.
pub fn start_of(at: WallTime) -> String {
    format!("{AUDIT_PREFIX}{:020}", at.0)
}
