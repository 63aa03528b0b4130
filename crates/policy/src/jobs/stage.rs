//! The life cycle of a job as typestate: each step consumes the job in one stage and returns it in the next.

use fuchsiamill_model::{HostName, Incarnation, Problem, Resources, RunState, task::Fence};

use super::row::{Begun, Cancel, Ended, JobCore, JobRow, Rerun, Running, Stage, Waiting, WriteId};

/// Failed runs after which an idempotent job ends as failed: the cause is then taken to be the job and not its hosts.
const MAX_FAILURES: usize = 5;

/// A job in stage `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job<S> {
    core: JobCore,
    stage: S,
}

/// How a run ended, as far as that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ran to its end and gave this output.
    Finished(String),
    /// It started and failed, for this reason.
    Failed(String),
    /// It ended at this checkpoint.
    Checkpointed(String),
    /// It was stopped before its end.
    Stopped,
    /// It never started and never will.
    NotStarted,
    /// It has certainly ended, but how is not known.
    Lost,
}

/// What becomes of a job whose run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterRun {
    /// It waits to run again.
    Waiting(Job<Waiting>),
    /// It is over.
    Ended(Job<Ended>),
}

/// The error when a row is in another stage than a step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("The job is in another stage; read its row again.")]
pub struct WrongStage;

macro_rules! stage_conversions {
    ($stage:ident) => {
        impl TryFrom<JobRow> for Job<$stage> {
            type Error = WrongStage;

            fn try_from(row: JobRow) -> Result<Self, WrongStage> {
                match row.stage {
                    Stage::$stage(stage) => Ok(Self { core: row.core, stage }),
                    _ => Err(WrongStage),
                }
            }
        }

        impl From<Job<$stage>> for JobRow {
            fn from(job: Job<$stage>) -> JobRow {
                JobRow { core: job.core, stage: Stage::$stage(job.stage) }
            }
        }
    };
}

stage_conversions!(Waiting);
stage_conversions!(Running);
stage_conversions!(Ended);

impl From<AfterRun> for JobRow {
    fn from(after: AfterRun) -> JobRow {
        match after {
            AfterRun::Waiting(job) => job.into(),
            AfterRun::Ended(job) => job.into(),
        }
    }
}

impl<S> Job<S> {
    fn into_stage<N>(mut self, stage: N, write: WriteId) -> Job<N> {
        self.core.record_write(write);
        Job { core: self.core, stage }
    }

    fn run_state(&self) -> RunState {
        match self.core.begun {
            Begun::Never => RunState::NotRun,
            Begun::Possibly => RunState::Unknown,
        }
    }
}

impl Job<Waiting> {
    /// Places the job on a host. The same write takes a unit of the team's upper limit.
    pub fn place(
        mut self,
        host: HostName,
        boot: Incarnation,
        fence: Fence,
        size: Resources,
        write: WriteId,
    ) -> Job<Running> {
        self.core.attempt += 1;
        let checkpoint = self.stage.checkpoint.take();
        self.into_stage(Running { host, boot, fence, size, checkpoint }, write)
    }

    /// Refuses a job that can never run.
    pub fn refuse(self, mut problem: Problem, write: WriteId) -> Job<Ended> {
        problem.run = self.run_state();
        self.into_stage(Ended::Refused { problem }, write)
    }

    /// Cancels the job at once, as no run of it is under way.
    pub fn cancel(self, write: WriteId) -> Job<Ended> {
        let run = self.run_state();
        self.into_stage(Ended::Cancelled { run }, write)
    }
}

impl Job<Running> {
    /// Records the caller's request to cancel; the run is to be stopped.
    pub fn request_cancel(mut self, write: WriteId) -> Job<Running> {
        self.core.cancel = Cancel::Asked;
        self.core.record_write(write);
        self
    }

    /// Moves the job on after its run ended. The same write gives the unit of the team's upper limit back.
    pub fn end(mut self, end: TaskEnd, write: WriteId) -> AfterRun {
        if end != TaskEnd::NotStarted {
            self.core.begun = Begun::Possibly;
        }
        match end {
            TaskEnd::Finished(output) => self.into_ended(Ended::Finished { output }, write),
            TaskEnd::Failed(reason) => self.failed(reason, write),
            _ if self.core.cancel == Cancel::Asked => {
                let run = self.run_state();
                self.into_ended(Ended::Cancelled { run }, write)
            }
            TaskEnd::Checkpointed(checkpoint) => self.into_waiting(Some(checkpoint), write),
            TaskEnd::NotStarted => {
                let checkpoint = self.stage.checkpoint.take();
                self.into_waiting(checkpoint, write)
            }
            TaskEnd::Stopped => self.interrupted("The run was stopped part-way.", write),
            TaskEnd::Lost => self.interrupted("The worker that ran it was lost.", write),
        }
    }

    fn failed(mut self, reason: String, write: WriteId) -> AfterRun {
        self.core.failed_on.push(self.stage.host.clone());
        let runs_again = self.core.spec.rerun == Rerun::Idempotent
            && self.core.cancel == Cancel::No
            && self.core.failed_on.len() < MAX_FAILURES;
        if !runs_again {
            return self.into_ended(Ended::Failed { reason }, write);
        }
        let checkpoint = self.stage.checkpoint.take();
        self.into_waiting(checkpoint, write)
    }

    fn interrupted(mut self, reason: &str, write: WriteId) -> AfterRun {
        match self.core.spec.rerun {
            Rerun::Idempotent => {
                let checkpoint = self.stage.checkpoint.take();
                self.into_waiting(checkpoint, write)
            }
            Rerun::AtMostOnce => self.into_ended(Ended::Unknown { reason: reason.into() }, write),
        }
    }

    fn into_waiting(self, checkpoint: Option<String>, write: WriteId) -> AfterRun {
        AfterRun::Waiting(self.into_stage(Waiting { checkpoint }, write))
    }

    fn into_ended(self, ended: Ended, write: WriteId) -> AfterRun {
        AfterRun::Ended(self.into_stage(ended, write))
    }
}
