//! How far a step of a plan is, worked out from the configuration alone.

use fuchsiamill_model::{ActivePlan, Configuration, Host, HostName, HostState, Progress};

use crate::planner::{Order, Step, Task, Work};

/// How far a step is with one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// The step has not touched it.
    Pending,
    /// It is out for the step.
    Out,
    /// The step is done with it.
    Done,
}

/// How far a task is with a host.
pub fn stand(active: &ActivePlan, host: &Host, task: &Task) -> Stand {
    let progress = active.hosts.get(&host.name).copied().unwrap_or(Progress::Done);
    match (task, progress, host.state) {
        (Task::Move { .. }, _, HostState::SetAside | HostState::Absent) => Stand::Done,
        (Task::Move { to }, _, HostState::Serving) if &host.pool == to => Stand::Done,
        (Task::Move { .. }, _, HostState::Serving) => Stand::Pending,
        (Task::Move { .. }, ..) => Stand::Out,
        (
            Task::Cycle | Task::TakeOut,
            Progress::Pending,
            HostState::SetAside | HostState::Absent,
        ) => Stand::Done,
        (_, Progress::Pending, _) => Stand::Pending,
        (_, Progress::Out, _) => Stand::Out,
        (_, Progress::Done | Progress::SetAside, _) => Stand::Done,
    }
}

/// The hosts of a step by how far it is with them.
#[derive(Clone, Debug, Default)]
pub struct StepStand<'a> {
    /// Hosts that may go next, in order.
    pub pending: Vec<&'a Host>,
    /// Hosts that are out.
    pub out: Vec<&'a Host>,
    /// Whether every host is done.
    pub is_done: bool,
}

impl<'a> StepStand<'a> {
    /// How far a step is.
    pub fn of(config: &'a Configuration, active: &ActivePlan, work: &Work) -> Self {
        let mut found = Self::default();
        for batch in &work.batches {
            for host in batch.hosts.iter().filter_map(|name| config.hosts.get(name)) {
                match stand(active, host, &work.task) {
                    Stand::Pending => found.pending.push(host),
                    Stand::Out => found.out.push(host),
                    Stand::Done => {}
                }
            }
            let is_open = !found.pending.is_empty() || !found.out.is_empty();
            if work.order == Order::Batches && is_open {
                return found;
            }
        }
        found.is_done = found.pending.is_empty() && found.out.is_empty();
        found
    }
}

/// Whether a step brings hosts back that an earlier step of the plan moved away.
pub fn is_return(steps: &[Step], at: usize) -> bool {
    let Some(work) = moving(&steps[at]) else { return false };
    let earlier = || steps[..at].iter().filter_map(moving).flat_map(Work::hosts);
    work.hosts().all(|host| earlier().any(|it| it == host))
}

/// The next step after `at` that brings hosts back.
pub fn next_return(steps: &[Step], at: usize) -> Option<usize> {
    (at + 1..steps.len()).find(|&it| is_return(steps, it))
}

fn moving(step: &Step) -> Option<&Work> {
    step.work().filter(|work| matches!(work.task, Task::Move { .. }))
}

/// The hosts of a plan that were lost to failures.
pub fn failures(active: &ActivePlan, steps: &[Step]) -> u32 {
    let is_taken_out = |host: &HostName| {
        let mut work = steps.iter().filter_map(Step::work);
        work.any(|it| it.task == Task::TakeOut && it.hosts().any(|name| name == host))
    };
    let lost = |(host, progress): &(&HostName, &Progress)| {
        **progress == Progress::SetAside && !is_taken_out(host)
    };
    active.hosts.iter().filter(lost).count() as u32
}
