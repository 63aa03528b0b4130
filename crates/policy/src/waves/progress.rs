//! The progress of a plan's step, derived from the configuration alone.

use fuchsiamill_model::{ActivePlan, Configuration, Host, HostName, HostState, Progress};

use crate::planner::{Order, Step, Task, Work};

/// The progress of a step with one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostProgress {
    /// The step has not started on the host.
    Pending,
    /// The host is out of service for the step.
    Out,
    /// The step is done with the host.
    Done,
}

/// Returns the progress of a step's task with a host.
pub fn host_progress(active: &ActivePlan, host: &Host, task: &Task) -> HostProgress {
    let progress = active.hosts.get(&host.name).copied().unwrap_or(Progress::Done);
    match (task, progress, host.state) {
        (Task::Move { .. }, _, HostState::SetAside | HostState::Absent) => HostProgress::Done,
        (Task::Move { to }, _, HostState::Serving) if &host.pool == to => HostProgress::Done,
        (Task::Move { .. }, _, HostState::Serving) => HostProgress::Pending,
        (Task::Move { .. }, ..) => HostProgress::Out,
        (
            Task::Cycle | Task::TakeOut,
            Progress::Pending,
            HostState::SetAside | HostState::Absent,
        ) => HostProgress::Done,
        (_, Progress::Pending, _) => HostProgress::Pending,
        (_, Progress::Out, _) => HostProgress::Out,
        (_, Progress::Done | Progress::SetAside, _) => HostProgress::Done,
    }
}

/// The hosts of a step, by the step's progress with them.
#[derive(Clone, Debug, Default)]
pub struct StepProgress<'a> {
    /// Hosts that the step can take next, in order.
    pub pending: Vec<&'a Host>,
    /// Hosts that are out of service for the step.
    pub out: Vec<&'a Host>,
    /// Whether the step is done with every host.
    pub is_done: bool,
}

impl<'a> StepProgress<'a> {
    /// Determines the progress of a step. With `Order::Batches`, batches after the first open one are left out.
    pub fn of(config: &'a Configuration, active: &ActivePlan, work: &Work) -> Self {
        let mut progress = Self::default();
        for batch in &work.batches {
            for host in batch.hosts.iter().filter_map(|name| config.hosts.get(name)) {
                match host_progress(active, host, &work.task) {
                    HostProgress::Pending => progress.pending.push(host),
                    HostProgress::Out => progress.out.push(host),
                    HostProgress::Done => {}
                }
            }
            let is_open = !progress.pending.is_empty() || !progress.out.is_empty();
            if work.order == Order::Batches && is_open {
                return progress;
            }
        }
        progress.is_done = progress.pending.is_empty() && progress.out.is_empty();
        progress
    }
}

/// Returns whether the step at `at` moves only hosts that earlier steps of the plan have moved.
pub fn is_return(steps: &[Step], at: usize) -> bool {
    let Some(work) = move_work(&steps[at]) else { return false };
    let earlier = || steps[..at].iter().filter_map(move_work).flat_map(Work::hosts);
    work.hosts().all(|host| earlier().any(|it| it == host))
}

/// Returns the next step after `at` that moves hosts back.
pub fn next_return(steps: &[Step], at: usize) -> Option<usize> {
    (at + 1..steps.len()).find(|&it| is_return(steps, it))
}

fn move_work(step: &Step) -> Option<&Work> {
    step.work().filter(|work| matches!(work.task, Task::Move { .. }))
}

/// Returns how many hosts of a plan have failed: those set aside without a step that takes them out.
pub fn failures(active: &ActivePlan, steps: &[Step]) -> u32 {
    let is_taken_out = |host: &HostName| {
        let mut work = steps.iter().filter_map(Step::work);
        work.any(|it| it.task == Task::TakeOut && it.hosts().any(|name| name == host))
    };
    let has_failed = |(host, progress): &(&HostName, &Progress)| {
        **progress == Progress::SetAside && !is_taken_out(host)
    };
    active.hosts.iter().filter(has_failed).count() as u32
}
