//! The table rows of a job and of the lease on a pool's jobs.

use fuchsiamill_model::{
    EntryName, HostName, Incarnation, JobId, JobKind, Millisecond, PoolName, Problem, Resources,
    RunState, TeamName, Units, WallTime,
    task::{Fence, TaskId},
};
use serde::{Deserialize, Serialize};

/// The number of write ids that a row keeps.
const REMEMBERED_WRITES: usize = 4;

/// The id of one write. The writer looks for it in the row when the answer to the write was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub String);

/// Whether a job may be run again when the end of a run is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rerun {
    /// Running the job twice does no harm.
    #[default]
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// The job as the caller described it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The kind of work; the sizes of later jobs of the same kind are estimated from this one's usage.
    pub kind: JobKind,
    /// The resources that the caller declared.
    pub resources: Resources,
    /// The run time that the caller declared, in milliseconds.
    pub run_time: Millisecond,
    /// The payload, passed to the worker unchanged.
    pub payload: String,
    /// Whether the job may be run again when the end of a run is not known.
    #[serde(default)]
    pub rerun: Rerun,
}

/// Whether the caller has asked to cancel a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancel {
    /// The caller did not ask.
    #[default]
    No,
    /// The caller asked; a running task is to be stopped.
    Asked,
}

/// Whether any run of a job may have begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Begun {
    /// No run has begun.
    #[default]
    Never,
    /// Some run may have begun.
    Possibly,
}

/// The part of a job's row that is the same in every stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobCore {
    /// The id of the job.
    pub id: JobId,
    /// The pool whose hosts run it.
    pub pool: PoolName,
    /// The team whose share and upper limit the job counts towards.
    pub team: TeamName,
    /// The job as the caller described it.
    pub spec: JobSpec,
    /// When the job was accepted.
    pub accepted_at: WallTime,
    /// The number of runs so far, including one that has not started yet.
    pub attempt: u32,
    /// Whether any of these runs may have begun.
    pub begun: Begun,
    /// The host of each failed run.
    pub failed_on: Vec<HostName>,
    /// Whether the caller has asked to cancel the job.
    pub cancel: Cancel,
    /// The ids of the last writes, newest last.
    pub writes: Vec<WriteId>,
}

impl JobCore {
    /// Returns the task id of the last run.
    pub fn task(&self) -> TaskId {
        TaskId { job: self.id.clone(), attempt: self.attempt }
    }

    /// Adds the id of a write and drops the oldest one above the limit.
    pub(super) fn record_write(&mut self, write: WriteId) {
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
    /// The checkpoint from which the next run starts; `None` to start afresh.
    pub checkpoint: Option<String>,
}

/// The stage of a job that is placed on a host; its task may not have started yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The host.
    pub host: HostName,
    /// The incarnation of the worker's agent for which the job was placed.
    pub boot: Incarnation,
    /// The fence of the pool owner that placed the job.
    pub fence: Fence,
    /// The resources reserved for the run.
    pub size: Resources,
    /// The checkpoint from which the run starts; `None` for a fresh start.
    pub checkpoint: Option<String>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Ended {
    /// It ran to its end.
    Finished {
        /// The output of the run.
        output: String,
    },
    /// It ran and failed.
    Failed {
        /// The reason, as prose.
        reason: String,
    },
    /// It was accepted but cannot be run.
    Refused {
        /// The reason, and whether any run may have begun.
        problem: Problem,
    },
    /// It was cancelled.
    Cancelled {
        /// Whether any run may have begun.
        run: RunState,
    },
    /// How its run ended is not known, and it may not be run again.
    Unknown {
        /// Why the end is not known.
        reason: String,
    },
}

/// The stage of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It waits for a host.
    Waiting(Waiting),
    /// It is placed on a host and holds a unit of its team's upper limit.
    Running(Running),
    /// It has ended.
    Ended(Ended),
}

/// The row `job/{pool}/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// The part that is the same in every stage.
    pub core: JobCore,
    /// The stage of the job.
    pub stage: Stage,
}

impl JobRow {
    /// Returns the first row of an accepted job, which waits.
    pub fn accepted(core: JobCore) -> Self {
        Self { core, stage: Stage::Waiting(Waiting::default()) }
    }

    /// Returns the units of the team's upper limit that the job holds.
    pub fn units(&self) -> Units {
        match self.stage {
            Stage::Running(_) => 1,
            Stage::Waiting(_) | Stage::Ended(_) => 0,
        }
    }
}

/// The row `job-lease/{pool}`: the entry host that schedules the pool's jobs, its owner.
///
/// Every write of the owner is conditional on this row, so that a single write of it takes over all jobs of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLease {
    /// The owner's entry host.
    pub entry: EntryName,
    /// The incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// The owner's fence, one more than that of the previous owner.
    pub fence: Fence,
}

impl PoolLease {
    /// Returns the lease with which a new owner replaces `before`.
    pub fn after(before: Option<&PoolLease>, entry: EntryName, incarnation: Incarnation) -> Self {
        let fence = before.map_or(Fence(1), |it| Fence(it.fence.0 + 1));
        Self { entry, incarnation, fence }
    }
}

/// What became of a write whose answer was lost, as the row that was read back shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The write took effect.
    TookEffect,
    /// The row has not changed. The write may still be under way, so the same write is to be tried again.
    Unchanged,
    /// Another writer changed or deleted the row; the writer goes on from the row as it is now.
    Overtaken,
}

/// Resolves a lost answer from the version that the write was conditional on, the write's id, and the row that was
/// read back with its version (`None` when there is no row).
pub fn resolve(version: u64, write: &WriteId, current: Option<(&JobRow, u64)>) -> Resolution {
    match current {
        Some((row, _)) if row.core.writes.contains(write) => Resolution::TookEffect,
        Some((_, current_version)) if current_version == version => Resolution::Unchanged,
        Some(_) | None => Resolution::Overtaken,
    }
}
