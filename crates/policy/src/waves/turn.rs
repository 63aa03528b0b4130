//! Carries out a plan: from the configuration and what was observed to what is to be done next.

use fuchsiamill_model::{
    ActivePlan, Change, Configuration, Host, HostName, HostState, Moment, PlanId, PlanState,
};

use super::{
    evidence::Observations,
    host_turn::{HostCx, HostNext, HostWait},
    limits::Limits,
    progress::{StepStand, failures, is_return, next_return},
    seen::SeenStates,
};
use crate::planner::{Fleet, Ledger, Shortage, Step, Task, Work};

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose changes, together, on the configuration that the turn was made from.
    Propose(Vec<Change>),
    /// Ask the platform to restart a host; asking again is safe.
    Reboot(HostName),
}

/// Why a plan does not go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// An operator paused it.
    Paused,
    /// The next host would break a budget.
    Budget(Shortage),
    /// A host that is out waits.
    Host(HostWait),
    /// A host restarts.
    Restart(HostName),
    /// As many hosts are out as the plan allows.
    Width,
}

impl std::fmt::Display for Wait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wait::Paused => write!(f, "an operator paused the plan"),
            Wait::Budget(shortage) => write!(f, "{shortage}"),
            Wait::Host(wait) => write!(f, "{wait}"),
            Wait::Restart(host) => write!(f, "host '{host}' restarts"),
            Wait::Width => write!(f, "as many hosts are out as the plan allows"),
        }
    }
}

/// What one look at a plan comes to: things to do, or reasons to wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// What is to be done now, in any order.
    pub actions: Vec<Action>,
    /// Why the plan does not go on, most telling last.
    pub waits: Vec<Wait>,
}

/// Carries out one plan. It keeps only since when it has seen the hosts' states: everything else is
/// in the configuration, so that any entry host can go on from there.
#[derive(Clone, Debug)]
pub struct Runner {
    id: PlanId,
    steps: Vec<Step>,
    limits: Limits,
    seen: SeenStates,
}

impl Runner {
    /// A runner of a confirmed plan.
    pub fn new(id: PlanId, steps: Vec<Step>, limits: Limits) -> Self {
        Self { id, steps, limits, seen: SeenStates::default() }
    }

    /// The hosts of the plan that are out, and so are to be observed.
    pub fn out<'a>(&'a self, config: &'a Configuration) -> impl Iterator<Item = &'a Host> {
        let held = config.plans.get(&self.id).into_iter().flat_map(|active| active.hosts.keys());
        let out = |host: &&Host| {
            !matches!(host.state, HostState::Serving | HostState::SetAside | HostState::Absent)
        };
        held.filter_map(|name| config.hosts.get(name)).filter(out)
    }

    /// What is to be done next. A plan that has ended has nothing to do.
    pub fn turn(&mut self, config: &Configuration, observed: &Observations, now: Moment) -> Turn {
        let Some(active) = config.plans.get(&self.id) else { return Turn::default() };
        self.seen.note(config, active.hosts.keys(), observed.accepted, now);
        if let Some(change) = self.too_many_failures(active) {
            return Turn { actions: vec![Action::Propose(vec![change])], waits: Vec::new() };
        }
        let at = active.step as usize;
        let Some(work) = self.steps.get(at).and_then(Step::work) else {
            return propose(self.past(active, at));
        };
        let stand = StepStand::of(config, active, work);
        if stand.is_done || (stand.out.is_empty() && self.is_over(active, at)) {
            return propose(self.past(active, at));
        }
        let cx = StepCx { runner: self, config, observed, now, state: self.state(active, at) };
        cx.turn(work, &stand)
    }

    /// Too many failures stop the plan: its hosts come back and it ends.
    fn too_many_failures(&self, active: &ActivePlan) -> Option<Change> {
        let stops = active.state != PlanState::Cancelling
            && failures(active, &self.steps) > self.limits.max_failures;
        let plan = self.id.clone();
        stops.then_some(Change::SetPlanState { plan, state: PlanState::Cancelling })
    }

    /// Steps that bring lent hosts back go on when a plan is cancelled.
    fn state(&self, active: &ActivePlan, at: usize) -> PlanState {
        match active.state {
            PlanState::Cancelling if is_return(&self.steps, at) => PlanState::Running,
            state => state,
        }
    }

    fn is_over(&self, active: &ActivePlan, at: usize) -> bool {
        self.state(active, at) == PlanState::Cancelling
    }

    fn past(&self, active: &ActivePlan, at: usize) -> Change {
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
    fn turn(&self, work: &Work, stand: &StepStand<'_>) -> Turn {
        let mut turn = Turn::default();
        let mut changes = Vec::new();
        for host in &stand.out {
            match self.host(&work.task, host) {
                HostNext::Rest => {}
                HostNext::Change(next) => changes.extend(next),
                HostNext::Reboot => {
                    turn.actions.push(Action::Reboot(host.name.clone()));
                    turn.waits.push(Wait::Restart(host.name.clone()));
                }
                HostNext::Wait(wait) => turn.waits.push(Wait::Host(wait)),
            }
        }
        // Hosts on their way back go first: a refused start must not hold them up.
        if changes.is_empty() {
            self.start(work, stand, &mut changes, &mut turn.waits);
        }
        if !changes.is_empty() {
            turn.actions.push(Action::Propose(changes));
        }
        turn
    }

    fn host(&self, task: &Task, host: &Host) -> HostNext {
        let Some(seen) = self.runner.seen.of(&host.name) else { return HostNext::Rest };
        let reading = self.observed.of(&host.name);
        let limits = &self.runner.limits;
        HostCx { task, state: self.state, seen, reading, limits, now: self.now }.next(host)
    }

    fn start(
        &self,
        work: &Work,
        stand: &StepStand<'_>,
        changes: &mut Vec<Change>,
        waits: &mut Vec<Wait>,
    ) {
        if stand.pending.is_empty() {
            return;
        }
        if self.state != PlanState::Running {
            waits.push(Wait::Paused);
            return;
        }
        let room = (work.at_once as usize).saturating_sub(stand.out.len());
        if room == 0 {
            waits.push(Wait::Width);
            return;
        }
        if work.task == Task::Restore {
            changes.extend(stand.pending.iter().take(room).map(|host| restore(host)));
            return;
        }
        let (drains, short) = drains(self.config, &stand.pending, room);
        changes.extend(drains);
        waits.extend(short.map(Wait::Budget));
    }
}

fn restore(host: &Host) -> Change {
    Change::SetHostState { host: host.name.clone(), state: HostState::Rebooting }
}

/// The next hosts that may drain within the budgets, and what keeps the first other one back.
fn drains(
    config: &Configuration,
    pending: &[&Host],
    room: usize,
) -> (Vec<Change>, Option<Shortage>) {
    let fleet = Fleet::new(config);
    let mut ledger = Ledger::new(&fleet);
    let mut changes = Vec::new();
    let mut first_short = None;
    for host in pending {
        if changes.len() == room {
            break;
        }
        let super::lifecycle::AnyStage::Serving(stage) = (*host).into() else { continue };
        let pool = fleet.pool_of(host);
        match ledger.check(&fleet, host, pool) {
            None => {
                ledger.take_out(&fleet, host, pool);
                changes.push(stage.drain());
            }
            Some(short) => first_short = first_short.or(Some(short)),
        }
    }
    (changes, first_short)
}
