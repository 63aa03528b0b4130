//! What to do when tasks use more than they were placed for, and when a throttled task may go on freely.

use fuchsiamill_model::{Resources, task::TaskId};

/// Share of a host's memory, in percent, above which a task is moved.
const MEMORY_CEILING_PERCENT: u64 = 90;
/// Share of a host's processors, in percent, that may be used once a throttled task is released.
const RELEASE_CEILING_PERCENT: u64 = 90;

/// A running task with what it was placed for and what it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskLoad {
    /// The task.
    pub task: TaskId,
    /// What it was placed for.
    pub reserved: Resources,
    /// What it was last seen to use.
    pub used: Resources,
    /// What it may use once released, in millicores, if it is throttled or may be.
    pub throttled_from: Option<u32>,
}

/// What to do on a host. Nothing is ever killed for using too much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Nothing.
    None,
    /// Hold the task to what it was placed for.
    Throttle(TaskId, Resources),
    /// End the task at its next checkpoint and place it anew with its learned size.
    Checkpoint(TaskId),
    /// Let a throttled task use what the host offers.
    Release(TaskId, Resources),
}

/// Relieves one host of the task that is furthest over its reservation, or releases one throttled task.
///
/// Processors are shared out by throttling; memory cannot be throttled away, so that a task is moved. A task is
/// released when what it used before fits beside the others with a margin, so that it is not throttled again at once.
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
