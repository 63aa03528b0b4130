//! A plan, which an operator confirms before it is carried out.

use fuchsiamill_model::{
    Configuration, HostName, Intent, Millisecond, OperatorName, PlanId, Version, WallTime,
};
use serde::{Deserialize, Serialize};

use super::{
    candidate::Strategy,
    capacity::BudgetViolation,
    effects::TeamEffect,
    facts::Facts,
    step::Step,
    timeline::{Measures, PoolEffect},
};

/// A candidate that was not chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rejected {
    /// The strategy of the candidate.
    #[serde(rename = "family")]
    pub strategy: Strategy,
    /// The measures, `None` when the candidate is blocked.
    pub measures: Option<Measures>,
    /// The weighted cost, `None` when the candidate is blocked.
    pub cost: Option<f64>,
    /// The budget violations that block the candidate.
    pub blocked: Vec<BudgetViolation>,
}

/// A host that the intent covers but that the plan does not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeftOut {
    /// The host that is left out.
    pub host: HostName,
    /// The reason, in a sentence.
    pub why: String,
}

/// A plan for an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's id.
    pub id: PlanId,
    /// The operator who requested the plan.
    pub who: OperatorName,
    /// The intent that the plan carries out.
    pub intent: Intent,
    /// The intent in words.
    pub summary: String,
    /// The version of the configuration that the plan was made from.
    pub version: Version,
    /// The digest of `facts`.
    pub digest: String,
    /// The configuration facts that the plan depends on.
    pub facts: Facts,
    /// The time when the plan was made.
    pub made_at: WallTime,
    /// The time from which the plan can no longer be confirmed.
    pub expires_at: WallTime,
    /// The strategy of the chosen candidate.
    #[serde(rename = "family")]
    pub strategy: Strategy,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// The measures of the chosen candidate.
    pub measures: Measures,
    /// The weighted cost of the chosen candidate, 0 when the plan is blocked.
    pub cost: f64,
    /// The lower bound of any plan's roll-out time, in milliseconds; `None` where it cannot be computed.
    pub lower_bound: Option<Millisecond>,
    /// The effect on each pool whose serving slots change.
    pub pools: Vec<PoolEffect>,
    /// The effect on each team whose slots change.
    pub teams: Vec<TeamEffect>,
    /// The budget violations that block the plan; a blocked plan cannot be confirmed.
    pub blocked: Vec<BudgetViolation>,
    /// Hosts that the intent covers but that the plan does not change.
    pub left_out: Vec<LeftOut>,
    /// The candidates that were not chosen.
    pub rejected: Vec<Rejected>,
}

impl Plan {
    /// Returns the hosts that the plan changes, each once.
    pub fn hosts(&self) -> Vec<HostName> {
        let work = self.steps.iter().filter_map(Step::work);
        let mut hosts: Vec<_> = work.flat_map(|it| it.hosts().cloned()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Describes each fact that has changed since the plan was made, one sentence each; empty while none has.
    pub fn changed_facts(&self, config: &Configuration) -> Vec<String> {
        let now = self.facts.refreshed(config);
        if now.digest() == self.digest { Vec::new() } else { self.facts.changed(&now) }
    }
}
