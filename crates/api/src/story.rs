//! What an entry host on a platform tells of one job, from what is stored of it.

use fuchsiamill_model::WallTime;
use serde::{Deserialize, Serialize};

/// A job as its rows in the store have it, without its payload, which is the team's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobStory {
    /// The job.
    pub id: String,
    /// The queue that it was posted to.
    pub queue: String,
    /// The team that posted it; empty on a queue open to all.
    pub team: String,
    /// The pool whose hosts run its tasks.
    pub pool: String,
    /// When it was accepted.
    pub accepted: WallTime,
    /// Where it stands: queued, running, completed, failed or cancelled.
    pub stage: String,
    /// Whether its caller has asked to cancel it.
    pub cancel_asked: bool,
    /// How often a task may fail before the job has failed.
    pub max_attempts: u32,
    /// Its steps; empty once it is over, when its tasks are no longer kept.
    pub steps: Vec<StepStory>,
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepStory {
    /// The occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// How many tasks it has.
    pub count: u32,
    /// How many are done.
    pub done: u32,
    /// Steps that have to be done first.
    pub after: Vec<u16>,
    /// Tasks that were started and are not done.
    pub tasks: Vec<TaskStory>,
}

/// A task that was started and is not done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskStory {
    /// Its place in the step.
    pub index: u32,
    /// The number of its last run.
    pub run: u32,
    /// How often it has failed.
    pub failures: u32,
    /// The worker that may be running it.
    pub worker: Option<String>,
}
