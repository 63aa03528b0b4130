//! Makes a plan for an operator's intent: builds candidates, measures them and chooses the cheapest.

mod bound;
mod candidate;
mod cost;
mod direct;
mod drain_plans;
mod effects;
mod error;
mod facts;
mod fleet;
mod capacity;
mod move_plans;
mod pack;
mod plan;
mod scope;
mod step;
mod timeline;
mod timing;
mod wave_plans;
mod describe;

use fuchsiamill_model::{Configuration, Intent, Millisecond, OperatorName, PlanId, WallTime};

pub use candidate::{Candidate, Strategy};
pub use capacity::{BudgetViolation, CapacityCounts};
pub use cost::{Weights, costs};
pub use describe::describe_intent;
pub use effects::TeamEffect;
pub use error::{Error, Result};
pub use facts::{Facts, HostFacts, PoolFacts};
pub use fleet::Fleet;
pub use plan::{LeftOut, Plan, Rejected};
pub use step::{Batch, Order, Step, Task, Work};
pub use timeline::{Measures, PoolEffect};
pub use timing::Timing;

use scope::Scope;
use timeline::Timeline;

/// The inputs of planning besides the configuration and the intent.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id that the plan gets.
    pub id: PlanId,
    /// The operator who requests the plan.
    pub who: OperatorName,
    /// The current time.
    pub now: WallTime,
    /// How long the plan can be confirmed, in milliseconds.
    pub validity: Millisecond,
    /// The site's weights of the measures.
    pub weights: Weights,
    /// Expected times of work on one host.
    pub timing: Timing,
}

/// Makes a plan for an intent from the cheapest of its candidates by the weights of the request.
pub fn plan(config: &Configuration, req: &Request, intent: &Intent) -> Result<Plan> {
    let fleet = Fleet::new(config);
    let scope = Scope::of(&fleet, intent)?;
    let after = direct::applied(config, req, intent)?;
    let candidates = scope.candidates(&fleet);
    let measures: Vec<_> = candidates
        .iter()
        .map(|it| Timeline::simulate(&fleet, &req.timing, &it.steps).measures())
        .collect();
    let (chosen, costs) = choose(&req.weights, scope.len(), &candidates, &measures);
    let rejected = rejected(&candidates, &measures, &costs, chosen);
    let Candidate { strategy, steps, blocked } =
        candidates.into_iter().nth(chosen).ok_or(Error::NothingToDo)?;
    let timeline = Timeline::simulate(&fleet, &req.timing, &steps);
    let facts = Facts::gather(config, intent, &steps);
    Ok(Plan {
        id: req.id.clone(),
        who: req.who.clone(),
        intent: intent.clone(),
        summary: describe_intent(intent),
        version: config.version,
        digest: facts.digest(),
        facts,
        made_at: req.now,
        expires_at: WallTime(req.now.0 + req.validity),
        strategy,
        measures: measures[chosen],
        cost: costs[chosen].unwrap_or(0.0),
        lower_bound: scope.lower_bound(&fleet, &req.timing),
        pools: timeline.effects(),
        teams: effects::on_teams(&fleet, &timeline, &after),
        steps,
        blocked: blocked.into_iter().collect(),
        left_out: scope.left_out,
        rejected,
    })
}

/// Returns every candidate for an intent with its measures, the baseline first.
pub fn candidates(
    config: &Configuration,
    timing: &Timing,
    intent: &Intent,
) -> Result<Vec<(Candidate, Measures)>> {
    let fleet = Fleet::new(config);
    let candidates = Scope::of(&fleet, intent)?.candidates(&fleet);
    let measured = |it: Candidate| {
        let measures = Timeline::simulate(&fleet, timing, &it.steps).measures();
        (it, measures)
    };
    Ok(candidates.into_iter().map(measured).collect())
}

/// Returns the index of the cheapest candidate, and the cost of each candidate that is not blocked.
///
/// The earliest of equally cheap candidates is chosen, and the first candidate when all are blocked.
fn choose(
    weights: &Weights,
    hosts: usize,
    candidates: &[Candidate],
    measures: &[Measures],
) -> (usize, Vec<Option<f64>>) {
    let feasible: Vec<_> =
        (0..candidates.len()).filter(|&at| candidates[at].blocked.is_empty()).collect();
    let of_feasible: Vec<_> = feasible.iter().map(|&at| measures[at]).collect();
    let mut all = vec![None; candidates.len()];
    for (&at, cost) in feasible.iter().zip(costs(weights, hosts, &of_feasible)) {
        all[at] = Some(cost);
    }
    let least = |at: &usize, other: &usize| {
        let [one, two] = [at, other].map(|it| all[*it].unwrap_or(f64::INFINITY));
        one.total_cmp(&two)
    };
    let chosen = feasible.into_iter().min_by(least).unwrap_or(0);
    (chosen, all)
}

fn rejected(
    candidates: &[Candidate],
    measures: &[Measures],
    costs: &[Option<f64>],
    chosen: usize,
) -> Vec<Rejected> {
    let others = (0..candidates.len()).filter(|&at| at != chosen);
    let each = |at: usize| Rejected {
        strategy: candidates[at].strategy.clone(),
        measures: costs[at].map(|_| measures[at]),
        cost: costs[at],
        blocked: candidates[at].blocked.iter().cloned().collect(),
    };
    others.map(each).collect()
}
