//! What to do when tasks use more than they were placed for.

use fuchsiamill_model::{Resources, task::TaskId};

/// Share of a host's memory, in percent, above which a task is moved.
const MEMORY_CEILING_PERCENT: u64 = 90;

/// A running task with what it was placed for and what it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskLoad {
    /// The task.
    pub task: TaskId,
    /// What it was placed for.
    pub reserved: Resources,
    /// What it was last seen to use.
    pub used: Resources,
}

/// What to do on an overloaded host. Nothing is ever killed for using too much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Nothing.
    None,
    /// Hold the task to what it was placed for.
    Throttle(TaskId, Resources),
    /// End the task at its next checkpoint and place it anew with its learned size.
    Checkpoint(TaskId),
}

/// Relieves one host of the task that is furthest over its reservation.
///
/// Processors are shared out by throttling; memory cannot be throttled away, so that a task is moved.
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
    Relief::None
}
