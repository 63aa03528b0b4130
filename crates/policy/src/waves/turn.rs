//! Decides the next actions of a plan from the configuration and the observations of its hosts.

use fuchsiamill_model::{
    ActivePlan, Change, Configuration, Host, HostName, HostState, Moment, PlanId, PlanState,
};

use super::{
    evidence::Observations,
    host_turn::{HostCx, HostNext, HostWait},
    limits::Limits,
    progress::{StepProgress, failures, is_return, next_return},
    seen::SeenStates,
};
use crate::planner::{BudgetViolation, CapacityCounts, Fleet, Step, Task, Work};

/// An action of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose these changes together, on the configuration version that the turn was decided from.
    Propose(Vec<Change>),
    /// Request a host's restart from the platform; the request can be repeated safely.
    Reboot(HostName),
}

/// Why a plan waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// An operator paused the plan.
    Paused,
    /// Draining the next host would break a budget.
    Budget(BudgetViolation),
    /// A host that is out for the plan waits.
    Host(HostWait),
    /// A host is being restarted.
    Restart(HostName),
    /// As many hosts are out as the plan allows.
    MaxOut,
}

impl std::fmt::Display for Wait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wait::Paused => write!(f, "an operator paused the plan"),
            Wait::Budget(violation) => write!(f, "{violation}"),
            Wait::Host(wait) => write!(f, "{wait}"),
            Wait::Restart(host) => write!(f, "host '{host}' is restarting"),
            Wait::MaxOut => write!(f, "as many hosts are out as the plan allows"),
        }
    }
}

/// The result of one turn of a plan: actions, and reasons to wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Actions to carry out now, in any order.
    pub actions: Vec<Action>,
    /// Why the plan waits, the most important reason last.
    pub waits: Vec<Wait>,
}

/// Decides the actions of one plan. A runner's only state is when it first saw the hosts' states;
/// everything else is in the configuration, so that any entry host can continue the plan.
#[derive(Clone, Debug)]
pub struct Runner {
    id: PlanId,
    steps: Vec<Step>,
    limits: Limits,
    seen: SeenStates,
}

impl Runner {
    /// Creates a runner for a confirmed plan.
    pub fn new(id: PlanId, steps: Vec<Step>, limits: Limits) -> Self {
        Self { id, steps, limits, seen: SeenStates::default() }
    }

    /// Returns the hosts of the plan that are out, and so must be observed.
    pub fn out<'a>(&'a self, config: &'a Configuration) -> impl Iterator<Item = &'a Host> {
        let hosts = config.plans.get(&self.id).into_iter().flat_map(|active| active.hosts.keys());
        let is_out = |host: &&Host| {
            !matches!(host.state, HostState::Serving | HostState::SetAside | HostState::Absent)
        };
        hosts.filter_map(|name| config.hosts.get(name)).filter(is_out)
    }

    /// Decides what to do next; the turn of a plan that has ended is empty.
    pub fn turn(&mut self, config: &Configuration, observed: &Observations, now: Moment) -> Turn {
        let Some(active) = config.plans.get(&self.id) else { return Turn::default() };
        self.seen.update(config, active.hosts.keys(), observed.accepted, now);
        if let Some(change) = self.cancel_after_failures(active) {
            return Turn { actions: vec![Action::Propose(vec![change])], waits: Vec::new() };
        }
        let at = active.step as usize;
        let Some(work) = self.steps.get(at).and_then(Step::work) else {
            return propose(self.advance(active, at));
        };
        let progress = StepProgress::of(config, active, work);
        if progress.is_done || (progress.out.is_empty() && self.is_cancelling(active, at)) {
            return propose(self.advance(active, at));
        }
        let cx = StepCx { runner: self, config, observed, now, state: self.step_state(active, at) };
        cx.turn(work, &progress)
    }

    /// Returns the change that cancels the plan after too many failures: hosts that are out return, then the
    /// plan ends.
    fn cancel_after_failures(&self, active: &ActivePlan) -> Option<Change> {
        let stops = active.state != PlanState::Cancelling
            && failures(active, &self.steps) > self.limits.max_failures;
        let plan = self.id.clone();
        stops.then_some(Change::SetPlanState { plan, state: PlanState::Cancelling })
    }

    /// Returns the state that the step at `at` follows: a step that returns lent hosts runs on when the plan is
    /// cancelled.
    fn step_state(&self, active: &ActivePlan, at: usize) -> PlanState {
        match active.state {
            PlanState::Cancelling if is_return(&self.steps, at) => PlanState::Running,
            state => state,
        }
    }

    fn is_cancelling(&self, active: &ActivePlan, at: usize) -> bool {
        self.step_state(active, at) == PlanState::Cancelling
    }

    fn advance(&self, active: &ActivePlan, at: usize) -> Change {
        let next = match active.state {
            PlanState::Cancelling => next_return(&self.steps, at),
            PlanState::Running | PlanState::Paused => (at + 1 < self.steps.len()).then_some(at + 1),
        };
        let plan = self.id.clone();
        match next {
            Some(step) => Change::AdvancePlan { plan, step: step as u32 },
            None => Change::EndPlan { plan },
        }
    }
}

fn propose(change: Change) -> Turn {
    Turn { actions: vec![Action::Propose(vec![change])], waits: Vec::new() }
}

struct StepCx<'a> {
    runner: &'a Runner,
    config: &'a Configuration,
    observed: &'a Observations,
    now: Moment,
    state: PlanState,
}

impl StepCx<'_> {
    fn turn(&self, work: &Work, progress: &StepProgress<'_>) -> Turn {
        let mut turn = Turn::default();
        let mut changes = Vec::new();
        for host in &progress.out {
            match self.host(&work.task, host) {
                HostNext::Idle => {}
                HostNext::Change(next) => changes.extend(next),
                HostNext::Reboot => {
                    turn.actions.push(Action::Reboot(host.name.clone()));
                    turn.waits.push(Wait::Restart(host.name.clone()));
                }
                HostNext::Wait(wait) => turn.waits.push(Wait::Host(wait)),
            }
        }
        // Changes of hosts that are already out are proposed first, on their own: a proposal that is refused
        // because of a newly drained host must not delay them.
        if changes.is_empty() {
            self.start(work, progress, &mut changes, &mut turn.waits);
        }
        if !changes.is_empty() {
            turn.actions.push(Action::Propose(changes));
        }
        turn
    }

    fn host(&self, task: &Task, host: &Host) -> HostNext {
        let Some(seen) = self.runner.seen.of(&host.name) else { return HostNext::Idle };
        let reading = self.observed.of(&host.name);
        let limits = &self.runner.limits;
        HostCx { task, state: self.state, seen, reading, limits, now: self.now }.next(host)
    }

    fn start(
        &self,
        work: &Work,
        progress: &StepProgress<'_>,
        changes: &mut Vec<Change>,
        waits: &mut Vec<Wait>,
    ) {
        if progress.pending.is_empty() {
            return;
        }
        if self.state != PlanState::Running {
            waits.push(Wait::Paused);
            return;
        }
        let room = (work.at_once as usize).saturating_sub(progress.out.len());
        if room == 0 {
            waits.push(Wait::MaxOut);
            return;
        }
        if work.task == Task::Restore {
            changes.extend(progress.pending.iter().take(room).map(|host| restore(host)));
            return;
        }
        let (drains, violation) = drain_changes(self.config, &progress.pending, room);
        changes.extend(drains);
        waits.extend(violation.map(Wait::Budget));
    }
}

fn restore(host: &Host) -> Change {
    Change::SetHostState { host: host.name.clone(), state: HostState::Rebooting }
}

/// Returns the changes that drain the next hosts within the budgets, and the budget violation that holds back the
/// first host that cannot drain.
fn drain_changes(
    config: &Configuration,
    pending: &[&Host],
    room: usize,
) -> (Vec<Change>, Option<BudgetViolation>) {
    let fleet = Fleet::new(config);
    let mut capacity = CapacityCounts::new(&fleet);
    let mut changes = Vec::new();
    let mut first_violation = None;
    for host in pending {
        if changes.len() == room {
            break;
        }
        let super::lifecycle::AnyStage::Serving(stage) = (*host).into() else { continue };
        let pool = fleet.pool_of(host);
        match capacity.violation(&fleet, host, pool) {
            None => {
                capacity.take_out(&fleet, host, pool);
                changes.push(stage.drain());
            }
            Some(violation) => first_violation = first_violation.or(Some(violation)),
        }
    }
    (changes, first_violation)
}
