//! The life cycle of a job as typestate: each step takes the job in one stage and gives it in the next.

use fuchsiamill_model::{HostName, Incarnation, Problem, Resources, RunState, task::Fence};

use super::row::{Begun, Cancel, Ended, JobCore, JobRow, Rerun, Running, Stage, Waiting, WriteId};

/// Hosts on which an idempotent job may fail before its failure is taken as its own.
const MOST_FAILURES: usize = 5;

/// A job in stage `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job<S> {
    core: JobCore,
    stage: S,
}

/// How a run ended, as far as can be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ran to its end.
    Finished(String),
    /// It started and failed.
    Failed(String),
    /// It ended at a checkpoint.
    Checkpointed(String),
    /// It was stopped part-way.
    Stopped,
    /// It never started and never will.
    NotStarted,
    /// It has provably ended, but its worker cannot say how.
    Lost,
}

/// A job whose run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterRun {
    /// It waits for another host.
    Waiting(Job<Waiting>),
    /// It is over.
    Ended(Job<Ended>),
}

/// A row in another stage than the step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("The job is in another stage; read its row again.")]
pub struct WrongStage;

macro_rules! stage {
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

stage!(Waiting);
stage!(Running);
stage!(Ended);

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
        self.core.note(write);
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
    /// Places the job; its unit is taken in the same write.
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

    /// Cancels the job at once: nothing of it runs.
    pub fn cancel(self, write: WriteId) -> Job<Ended> {
        let run = self.run_state();
        self.into_stage(Ended::Cancelled { run }, write)
    }
}

impl Job<Running> {
    /// Notes that the caller wants the running job cancelled.
    pub fn request_cancel(mut self, write: WriteId) -> Job<Running> {
        self.core.cancel = Cancel::Asked;
        self.core.note(write);
        self
    }

    /// Goes on after the run's end; its unit is given back in the same write.
    pub fn end(mut self, end: TaskEnd, write: WriteId) -> AfterRun {
        if end != TaskEnd::NotStarted {
            self.core.begun = Begun::Possibly;
        }
        match end {
            TaskEnd::Finished(output) => self.over(Ended::Finished { output }, write),
            TaskEnd::Failed(reason) => self.failed(reason, write),
            _ if self.core.cancel == Cancel::Asked => {
                let run = self.run_state();
                self.over(Ended::Cancelled { run }, write)
            }
            TaskEnd::Checkpointed(checkpoint) => self.wait(Some(checkpoint), write),
            TaskEnd::NotStarted => {
                let checkpoint = self.stage.checkpoint.take();
                self.wait(checkpoint, write)
            }
            TaskEnd::Stopped => self.cut("The run was stopped part-way.", write),
            TaskEnd::Lost => self.cut("The worker that ran it was lost.", write),
        }
    }

    fn failed(mut self, reason: String, write: WriteId) -> AfterRun {
        self.core.failed_on.push(self.stage.host.clone());
        let again = self.core.spec.rerun == Rerun::Idempotent
            && self.core.cancel == Cancel::No
            && self.core.failed_on.len() < MOST_FAILURES;
        if !again {
            return self.over(Ended::Failed { reason }, write);
        }
        let checkpoint = self.stage.checkpoint.take();
        self.wait(checkpoint, write)
    }

    fn cut(mut self, reason: &str, write: WriteId) -> AfterRun {
        match self.core.spec.rerun {
            Rerun::Idempotent => {
                let checkpoint = self.stage.checkpoint.take();
                self.wait(checkpoint, write)
            }
            Rerun::AtMostOnce => self.over(Ended::Unknown { reason: reason.into() }, write),
        }
    }

    fn wait(self, checkpoint: Option<String>, write: WriteId) -> AfterRun {
        AfterRun::Waiting(self.into_stage(Waiting { checkpoint }, write))
    }

    fn over(self, ended: Ended, write: WriteId) -> AfterRun {
        AfterRun::Ended(self.into_stage(ended, write))
    }
}
