//! The row of a job in the table, and of the lease on a pool's jobs.

use fuchsiamill_model::{
    EntryName, HostName, Incarnation, JobId, JobKind, Millisecond, PoolName, Problem, Resources,
    RunState, TeamName, Units, WallTime,
    task::{Fence, TaskId},
};
use serde::{Deserialize, Serialize};

/// Write ids that a row remembers, newest last.
const REMEMBERED_WRITES: usize = 4;

/// The id that a writer gives one write, to find it again when the answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub String);

/// Whether a job may be run again when the end of a run is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rerun {
    /// A second run does no harm.
    #[default]
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Work of the same sort, to learn sizes from.
    pub kind: JobKind,
    /// What the caller says that it uses.
    pub resources: Resources,
    /// How long the caller says that it runs, in milliseconds.
    pub run_time: Millisecond,
    /// Passed to the worker as it came.
    pub payload: String,
    /// Whether it may be run again.
    #[serde(default)]
    pub rerun: Rerun,
}

/// Whether a job is to be cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancel {
    /// Nobody asked.
    #[default]
    No,
    /// The caller asked; a running task is stopped.
    Asked,
}

/// Whether any run of a job may have begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Begun {
    /// None has.
    #[default]
    Never,
    /// One may have.
    Possibly,
}

/// What is kept of a job in every stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobCore {
    /// The job.
    pub id: JobId,
    /// The pool whose hosts run it.
    pub pool: PoolName,
    /// The team that it counts for.
    pub team: TeamName,
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub accepted_at: WallTime,
    /// Runs ordered so far.
    pub attempt: u32,
    /// Whether any of them may have begun.
    pub begun: Begun,
    /// Hosts where it failed.
    pub failed_on: Vec<HostName>,
    /// Whether it is to be cancelled.
    pub cancel: Cancel,
    /// The last writes, newest last.
    pub writes: Vec<WriteId>,
}

impl JobCore {
    /// The task of the last run.
    pub fn task(&self) -> TaskId {
        TaskId { job: self.id.clone(), attempt: self.attempt }
    }

    /// Notes one more write.
    pub(super) fn note(&mut self, write: WriteId) {
        self.writes.push(write);
        if self.writes.len() > REMEMBERED_WRITES {
            self.writes.remove(0);
        }
    }
}

/// The stage of a job that waits for a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Waiting {
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
}

/// The stage of a job that holds a host; the task may not have started yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The host.
    pub host: HostName,
    /// The run of the worker's agent for which it was placed.
    pub boot: Incarnation,
    /// The fence of the owner that placed it.
    pub fence: Fence,
    /// What it was placed for.
    pub size: Resources,
    /// The checkpoint that it goes on from.
    pub checkpoint: Option<String>,
}

/// The stage of a job that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Ended {
    /// It ran to its end.
    Finished {
        /// What it gave back.
        output: String,
    },
    /// It ran and failed.
    Failed {
        /// Why, in words.
        reason: String,
    },
    /// It was accepted and cannot be run.
    Refused {
        /// Why, and whether any of it ran.
        problem: Problem,
    },
    /// It was cancelled.
    Cancelled {
        /// Whether any of it ran.
        run: RunState,
    },
    /// It runs at most once and the end of its run is not known.
    Unknown {
        /// What was lost.
        reason: String,
    },
}

/// Where a job is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It waits for a host.
    Waiting(Waiting),
    /// It holds a host and a unit of its team's upper limit.
    Running(Running),
    /// It is over.
    Ended(Ended),
}

/// The row `job/{pool}/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// What is kept in every stage.
    pub core: JobCore,
    /// Where the job is.
    pub stage: Stage,
}

impl JobRow {
    /// A job as it is first written.
    pub fn accepted(core: JobCore) -> Self {
        Self { core, stage: Stage::Waiting(Waiting::default()) }
    }

    /// The units of the team's upper limit that the row holds.
    pub fn units(&self) -> Units {
        match self.stage {
            Stage::Running(_) => 1,
            Stage::Waiting(_) | Stage::Ended(_) => 0,
        }
    }
}

/// The row `job-lease/{pool}`: who schedules the pool's jobs.
///
/// Every write of the owner is conditional on this row, so that one write takes over all jobs of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLease {
    /// The owner's entry host.
    pub entry: EntryName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// One more than that of the owner before.
    pub fence: Fence,
}

impl PoolLease {
    /// The lease with which a new owner replaces `before`.
    pub fn after(before: Option<&PoolLease>, entry: EntryName, incarnation: Incarnation) -> Self {
        let fence = before.map_or(Fence(1), |it| Fence(it.fence.0 + 1));
        Self { entry, incarnation, fence }
    }
}

/// What reading a row back says of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The write took effect.
    TookEffect,
    /// The row is as it was before. The write may still be under way, so the same one is tried again.
    Unchanged,
    /// The row was changed by someone else; go on from what it says now.
    Overtaken,
}

/// Resolves a lost answer from the version that the write was conditional on, its id, and the row as read back
/// with its version.
pub fn resolve(version: u64, write: &WriteId, now: Option<(&JobRow, u64)>) -> Resolution {
    match now {
        Some((row, _)) if row.core.writes.contains(write) => Resolution::TookEffect,
        Some((_, found)) if found == version => Resolution::Unchanged,
        Some(_) | None => Resolution::Overtaken,
    }
}
