//! The jobs that a caller's request concerns.

use serde::{Deserialize, Serialize};

use crate::{JobSpec, Name};

/// The jobs that a caller may see and cancel. Ids are chosen by callers, so that an id alone does not tell whose job is
/// meant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobScope {
    /// All jobs. Former versions stored cancellations without a scope.
    #[default]
    All,
    /// The jobs of a team.
    Team(Name),
    /// The jobs that were posted to an open queue.
    Queue(Name),
}

/// What decides whether a job is in a [`JobScope`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobOwner {
    /// Team that posted the job; empty on a queue that needs no API key.
    pub team: Name,
    /// Name of the queue to which the job was posted.
    pub queue: Name,
}

impl JobScope {
    /// Returns whether a job of this owner is in the scope.
    pub fn includes(&self, owner: &JobOwner) -> bool {
        match self {
            Self::All => true,
            Self::Team(team) => *team == owner.team,
            Self::Queue(queue) => *queue == owner.queue,
        }
    }
}

impl JobOwner {
    /// Returns all scopes that include jobs of this owner.
    pub fn scopes(&self) -> [JobScope; 3] {
        [JobScope::All, JobScope::Team(self.team.clone()), JobScope::Queue(self.queue.clone())]
    }
}

impl From<&JobSpec> for JobOwner {
    fn from(spec: &JobSpec) -> Self {
        Self { team: spec.team.clone(), queue: spec.queue.clone() }
    }
}

/// A request to cancel the job with an id, if it is in a scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cancellation {
    /// The id of the job.
    pub job: Name,
    /// The jobs that the caller may cancel.
    pub scope: JobScope,
}
