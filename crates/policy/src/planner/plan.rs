//! A plan: what an operator confirms.

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
    /// Its way.
    #[serde(rename = "family")]
    pub strategy: Strategy,
    /// Its measures, when it can be carried out.
    pub measures: Option<Measures>,
    /// Its weighted cost, when it can be carried out.
    pub cost: Option<f64>,
    /// What keeps it from being carried out.
    pub blocked: Vec<BudgetViolation>,
}

/// A host that the intent covers and the plan leaves as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeftOut {
    /// The host.
    pub host: HostName,
    /// Why.
    pub why: String,
}

/// A plan for an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its id.
    pub id: PlanId,
    /// The operator who asked.
    pub who: OperatorName,
    /// What was asked for.
    pub intent: Intent,
    /// The same in words.
    pub summary: String,
    /// The version of the configuration that it was made from.
    pub version: Version,
    /// The digest of what it depends on.
    pub digest: String,
    /// What it depends on.
    pub facts: Facts,
    /// When it was made.
    pub made_at: WallTime,
    /// When it can no longer be confirmed.
    pub expires_at: WallTime,
    /// The way that was chosen.
    #[serde(rename = "family")]
    pub strategy: Strategy,
    /// Its steps, in order.
    pub steps: Vec<Step>,
    /// Its four measures.
    pub measures: Measures,
    /// Its weighted cost.
    pub cost: f64,
    /// The least roll-out time of any plan, in milliseconds, where it can be computed.
    pub lower_bound: Option<Millisecond>,
    /// The effect on each pool that it touches.
    pub pools: Vec<PoolEffect>,
    /// The effect on each team that it touches.
    pub teams: Vec<TeamEffect>,
    /// What keeps it from being carried out; such a plan cannot be confirmed.
    pub blocked: Vec<BudgetViolation>,
    /// Hosts that it leaves as they are.
    pub left_out: Vec<LeftOut>,
    /// The candidates that were not chosen.
    pub rejected: Vec<Rejected>,
}

impl Plan {
    /// The hosts that it changes, each once.
    pub fn hosts(&self) -> Vec<HostName> {
        let work = self.steps.iter().filter_map(Step::work);
        let mut hosts: Vec<_> = work.flat_map(|it| it.hosts().cloned()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// What it depends on and has changed since it was made, one sentence each.
    pub fn changed_facts(&self, config: &Configuration) -> Vec<String> {
        let now = self.facts.refreshed(config);
        if now.digest() == self.digest { Vec::new() } else { self.facts.changed(&now) }
    }
}
