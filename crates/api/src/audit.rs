//! Records of the audit trail, and which of them to list.

use fuchsiamill_model::{ChangeId, OperatorName, PlanId, Version, WallTime};
use serde::{Deserialize, Serialize};

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
    /// It ended a plan early, or cancelled a job.
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

/// Which records to list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditFilter {
    /// The first time.
    pub since: WallTime,
    /// The first time after the range; none for no end.
    pub until: Option<WallTime>,
    /// Only of this operator.
    pub who: Option<OperatorName>,
    /// Only of this plan.
    pub plan: Option<PlanId>,
    /// Only with this outcome.
    pub outcome: Option<AuditOutcome>,
    /// Only with this text in the intent.
    pub intent: Option<String>,
    /// The most records, the latest ones; none for all.
    pub limit: Option<usize>,
}

impl AuditFilter {
    /// Whether a record is listed.
    pub fn takes(&self, record: &AuditRecord) -> bool {
        self.who.as_ref().is_none_or(|who| *who == record.who)
            && self.plan.as_ref().is_none_or(|plan| Some(plan) == record.plan.as_ref())
            && self.outcome.is_none_or(|outcome| outcome == record.outcome)
            && self.intent.as_ref().is_none_or(|text| record.intent.contains(text.as_str()))
    }
}
