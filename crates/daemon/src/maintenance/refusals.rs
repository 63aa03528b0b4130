//! Audit records of what operators asked of plans and was refused before anything was proposed.

use fuchsiamill_api::{AuditOutcome, AuditRecord, Confirmed};
use fuchsiamill_model::{ChangeId, OperatorName, PlanId};

use super::error::{Error, Result};
use crate::cx::Cx;

/// Records a refusal; the configuration records those of its own rules.
pub fn record(
    cx: &Cx,
    who: &OperatorName,
    (plan, verb): (&PlanId, &str),
    result: &Result<Confirmed>,
) {
    let Err(e) = result else { return };
    let outcome = match e {
        Error::Stale { .. } | Error::Outdated { .. } => AuditOutcome::Conflict,
        Error::Expired { .. }
        | Error::Blocked { .. }
        | Error::NotRunning { .. }
        | Error::NoPlan(_)
        | Error::Planner(_) => AuditOutcome::Refused,
        Error::Conflict(_) | Error::Refused(_) | Error::InDoubt(_) | Error::Unavailable(_) => {
            return;
        }
    };
    let version = cx.config.version();
    let record = AuditRecord {
        at: cx.clock.wall(),
        id: ChangeId(format!("{verb}-{plan}-{:08x}", fastrand::u32(..))),
        who: who.clone(),
        intent: format!("{verb} plan '{plan}'"),
        plan: Some(plan.clone()),
        before: version,
        after: version,
        outcome,
        reason: e.to_string(),
    };
    cx.audit.record(cx, record);
}
