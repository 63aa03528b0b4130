//! Jobs of every team, as operators see them.

use fuchsiamill_model::{
    HostName, JobId, JobKind, PoolName, Resources, RunState, TeamName, WallTime,
};
use fuchsiamill_policy::jobs::{Cancel, Ended, JobRow, Rerun, Stage, WaitCause};
use serde::{Deserialize, Serialize};

use crate::plans::Reason;

/// Which jobs to list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobFilter {
    /// Only of this pool.
    pub pool: Option<PoolName>,
    /// Only of this team.
    pub team: Option<TeamName>,
    /// Only in this state; without one, the jobs that are not over.
    pub state: Option<JobState>,
    /// Of the jobs that are over, only those that ended since then.
    pub ended_since: Option<WallTime>,
    /// The most jobs; none for the entry host's bound.
    pub limit: Option<usize>,
}

impl JobFilter {
    /// Whether a job is listed.
    pub fn takes(&self, row: &JobRow) -> bool {
        self.team.as_ref().is_none_or(|team| *team == row.core.team)
            && self.state.is_none_or(|state| state == JobState::from(&row.stage))
    }

    /// Whether jobs that are over are asked for.
    pub fn asks_for_ended(&self) -> bool {
        self.state.is_some_and(JobState::is_over)
    }
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// It waits for a host.
    Waiting,
    /// It holds a host.
    Running,
    /// It ran to its end.
    Finished,
    /// It ran and failed.
    Failed,
    /// It can never run.
    Refused,
    /// It was cancelled.
    Cancelled,
    /// Nobody can say how its run ended.
    Unknown,
}

impl JobState {
    /// Whether a job in this state is over.
    pub fn is_over(self) -> bool {
        !matches!(self, JobState::Waiting | JobState::Running)
    }

    /// The state in words.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Running => "running",
            JobState::Finished => "finished",
            JobState::Failed => "failed",
            JobState::Refused => "refused",
            JobState::Cancelled => "cancelled",
            JobState::Unknown => "unknown",
        }
    }
}

impl From<&Stage> for JobState {
    fn from(stage: &Stage) -> Self {
        match stage {
            Stage::Waiting(_) => JobState::Waiting,
            Stage::Running(_) => JobState::Running,
            Stage::Ended(Ended::Finished { .. }) => JobState::Finished,
            Stage::Ended(Ended::Failed { .. }) => JobState::Failed,
            Stage::Ended(Ended::Refused { .. }) => JobState::Refused,
            Stage::Ended(Ended::Cancelled { .. }) => JobState::Cancelled,
            Stage::Ended(Ended::Unknown { .. }) => JobState::Unknown,
        }
    }
}

/// A job without its payload and output, which are the team's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// The team that it counts for.
    pub team: TeamName,
    /// The pool whose hosts run it.
    pub pool: PoolName,
    /// Work of the same sort.
    pub kind: JobKind,
    /// Whether it may be run again.
    pub rerun: Rerun,
    /// When it was accepted.
    pub accepted_at: WallTime,
    /// Its state.
    pub state: JobState,
    /// Runs ordered so far.
    pub attempt: u32,
    /// Whether it is to be cancelled.
    pub cancel: Cancel,
    /// What the team says that it uses.
    pub declared: Resources,
    /// The host that it runs on.
    pub host: Option<HostName>,
    /// The room that is kept for it there.
    pub placed_for: Option<Resources>,
    /// Why it waits; none when it does not, or when nobody can tell now.
    pub waits_for: Option<WaitCause>,
    /// Whether any of it ran, where that is said.
    pub run: Option<RunState>,
    /// Why it ended as it did.
    pub detail: Option<String>,
}

impl From<&JobRow> for JobView {
    fn from(row: &JobRow) -> Self {
        let core = &row.core;
        let running = match &row.stage {
            Stage::Running(run) => Some(run),
            Stage::Waiting(_) | Stage::Ended(_) => None,
        };
        let (run, detail) = match &row.stage {
            Stage::Ended(Ended::Failed { reason }) => (None, Some(reason.clone())),
            Stage::Ended(Ended::Refused { problem }) => {
                (Some(problem.run), Some(problem.detail.clone()))
            }
            Stage::Ended(Ended::Cancelled { run }) => (Some(*run), None),
            Stage::Ended(Ended::Unknown { reason }) => {
                (Some(RunState::Unknown), Some(reason.clone()))
            }
            Stage::Waiting(_) | Stage::Running(_) | Stage::Ended(Ended::Finished { .. }) => {
                (None, None)
            }
        };
        Self {
            id: core.id.clone(),
            team: core.team.clone(),
            pool: core.pool.clone(),
            kind: core.spec.kind.clone(),
            rerun: core.spec.rerun,
            accepted_at: core.accepted_at,
            state: JobState::from(&row.stage),
            attempt: core.attempt,
            cancel: core.cancel,
            declared: core.spec.resources,
            host: running.map(|it| it.host.clone()),
            placed_for: running.map(|it| it.size),
            waits_for: None,
            run,
            detail,
        }
    }
}

/// Names a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRef {
    /// The job.
    pub job: JobId,
}

/// What came of asking for one job, or of cancelling it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case", deny_unknown_fields)]
pub enum JobReport {
    /// The job as it is now.
    Job(Box<JobView>),
    /// It could not be shown or cancelled.
    NotDone {
        /// Why.
        reason: Reason,
        /// The cause and remedy.
        detail: String,
    },
}
