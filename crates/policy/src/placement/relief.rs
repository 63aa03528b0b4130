//! Relieves hosts whose tasks use more than their reservations, and releases throttled tasks.

use fuchsiamill_model::{Resources, task::TaskId};

/// Share of a host's memory, in percent, above which a task is checkpointed and moved.
const MEMORY_CEILING_PERCENT: u64 = 90;
/// Share of a host's processors, in percent, that may be in use after a throttled task is released.
const RELEASE_CEILING_PERCENT: u64 = 90;

/// A running task's reservation and usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskLoad {
    /// The task.
    pub task: TaskId,
    /// The resources that the task was placed for.
    pub reserved: Resources,
    /// The last known usage.
    pub used: Resources,
    /// The expected usage after a release, in millicores; `None` unless the task is or may be throttled.
    pub throttled_from: Option<u32>,
}

/// The action to take on a host. No task is killed for using too much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Relief {
    /// No action.
    None,
    /// Limit the task to its reservation.
    Throttle(TaskId, Resources),
    /// End the task at its next checkpoint, and place it again with its learned size.
    Checkpoint(TaskId),
    /// Let a throttled task use all that the host offers.
    Release(TaskId, Resources),
}

/// Decides on an action against the task that is furthest over its reservation, or on the release of a throttled task.
///
/// An overload of processors is resolved by throttling. Memory in use cannot be reduced by throttling, so a task is
/// moved instead. A throttled task is released when its earlier usage fits beside the other tasks with a margin, so
/// that it is not throttled again at once, or when the others use nothing.
pub fn relieve(offered: Resources, tasks: &[TaskLoad]) -> Relief {
    let used = tasks.iter().fold(Resources::default(), |sum, it| sum.plus(it.used));
    let ceiling = u64::from(offered.memory_mib) * MEMORY_CEILING_PERCENT / 100;
    if u64::from(used.memory_mib) > ceiling {
        let over = |it: &&TaskLoad| it.used.memory_mib.saturating_sub(it.reserved.memory_mib);
        return match tasks.iter().filter(|it| over(it) > 0).max_by_key(over) {
            Some(it) => Relief::Checkpoint(it.task.clone()),
            None => Relief::None,
        };
    }
    if used.millicores > offered.millicores {
        let over = |it: &&TaskLoad| it.used.millicores.saturating_sub(it.reserved.millicores);
        return match tasks.iter().filter(|it| over(it) > 0).max_by_key(over) {
            Some(it) => Relief::Throttle(it.task.clone(), it.reserved),
            None => Relief::None,
        };
    }
    release(offered, used, tasks)
}

fn release(offered: Resources, used: Resources, tasks: &[TaskLoad]) -> Relief {
    let throttled = tasks.iter().filter_map(|it| Some((it, it.throttled_from?)));
    let Some((it, before)) = throttled.min_by_key(|(_, before)| *before) else {
        return Relief::None;
    };
    let others = u64::from(used.millicores.saturating_sub(it.used.millicores));
    let ceiling = u64::from(offered.millicores) * RELEASE_CEILING_PERCENT / 100;
    if others + u64::from(before) > ceiling && others > 0 {
        return Relief::None;
    }
    Relief::Release(it.task.clone(), offered)
}
