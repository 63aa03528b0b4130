//! The table rows of the audit trail.

use fuchsiamill_api::{AuditOutcome, AuditRecord};
use fuchsiamill_model::{Change, LogEntry, PlanState, Version, WallTime};

/// The prefix of every audit row.
pub const AUDIT_PREFIX: &str = "audit/";

/// The record of an entry that is written.
pub fn record_of(entry: &LogEntry) -> AuditRecord {
    AuditRecord {
        at: entry.at,
        id: entry.id.clone(),
        who: entry.who.clone(),
        intent: entry.intent.clone(),
        plan: entry.plan.clone(),
        before: Version(entry.version.0 - 1),
        after: entry.version,
        outcome: outcome_of(&entry.changes),
        reason: String::new(),
    }
}

fn outcome_of(changes: &[Change]) -> AuditOutcome {
    let cancels = |change: &Change| {
        matches!(change, Change::SetPlanState { state: PlanState::Cancelling, .. })
    };
    if changes.iter().any(cancels) { AuditOutcome::Cancelled } else { AuditOutcome::Written }
}

/// The key of a record's row; keys sort by time.
pub fn key_of(record: &AuditRecord) -> String {
    format!("{}-{}", start_of(record.at), record.id.0)
}

/// The first key at or after a time.
pub fn start_of(at: WallTime) -> String {
    format!("{AUDIT_PREFIX}{:020}", at.0)
}
