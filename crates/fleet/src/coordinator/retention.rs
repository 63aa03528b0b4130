//! What is kept for a while: ended jobs, and cancellations of jobs that have not come.

use fuchsiamill_model::units::Moment;

use super::{Coordinator, Job};
use crate::{Cancellation, JobOwner, JobScope, Name, RecordKey, Stage};

/// A job that has ended and has no live runs.
#[derive(Clone, Debug)]
pub(super) struct EndedJob {
    /// When that was noted.
    pub at: Moment,
    /// The number of rows of its progress.
    pub parts: u32,
    /// Whose job it is.
    pub owner: JobOwner,
}

impl EndedJob {
    pub fn new(job: &Job, at: Moment) -> Self {
        Self { at, parts: job.parts, owner: JobOwner::from(&*job.spec) }
    }
}

/// A cancellation of a job that was not accepted yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlyCancel {
    /// Since when it has been kept.
    since: Moment,
    /// Whether its row may be deleted already.
    may_be_deleted: bool,
}

impl Coordinator {
    /// Returns the number of jobs that have not ended, or whose last runs are being stopped.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns at most `most` ended jobs that were kept for `Timing::retention_ms`; their rows may be deleted.
    pub fn take_expired(&mut self, now: Moment, most: usize) -> Vec<Name> {
        let is_expired = |it: &EndedJob| now.since(it.at) >= self.timing.retention_ms;
        let expired = self
            .ended_jobs
            .iter()
            .filter(|(id, it)| is_expired(it) && !self.expiring.contains(*id));
        let expired: Vec<Name> = expired.take(most).map(|(id, _)| id.clone()).collect();
        self.expiring.extend(expired.iter().cloned());
        expired
    }

    /// Forgets these jobs: their rows were deleted. Returns the names of the rows of their progress, which are deleted next.
    pub fn rows_deleted(&mut self, jobs: &[Name]) -> Vec<Name> {
        let mut rows = Vec::new();
        for id in jobs {
            self.expiring.remove(id);
            let parts = self.ended_jobs.remove(id).map_or(1, |it| it.parts);
            rows.extend((0..parts).map(|part| RecordKey { job: id.clone(), part }.row_name()));
        }
        rows
    }

    /// Notes that the rows of these jobs may still exist, so that they are deleted later.
    pub fn rows_not_deleted(&mut self, jobs: &[Name]) {
        for id in jobs {
            self.expiring.remove(id);
        }
    }

    /// Returns the scopes of the cancellations that a job which has ended may have; of one that is not known, of those
    /// without a scope.
    pub fn cancel_scopes(&self, id: &Name) -> Vec<JobScope> {
        let ended = self.ended_jobs.get(id).map(|it| it.owner.scopes().to_vec());
        ended.unwrap_or_else(|| vec![JobScope::All])
    }

    /// Cancels the job with this id, whoever posted it, and stops its runs.
    pub fn cancel(&mut self, id: &Name, now: Moment) {
        self.cancel_in_scope(&Cancellation { job: id.clone(), scope: JobScope::All }, now);
    }

    /// Cancels a job that is in the scope of the request, and stops its runs. A cancellation that arrives before its job
    /// is kept for `Timing::retention_ms`.
    pub fn cancel_in_scope(&mut self, request: &Cancellation, now: Moment) {
        let id = &request.job;
        let open =
            self.jobs.get(id).filter(|it| request.scope.includes(&JobOwner::from(&*it.spec)));
        if let Some(job) = open {
            if !job.stage.is_over() {
                self.end_job(id, Stage::Cancelled, now);
            }
            return;
        }
        let ended = self.ended_jobs.get(id).filter(|it| request.scope.includes(&it.owner));
        // While the rows of a job are being deleted, the row of a new cancellation may outlast them.
        if ended.is_none() || self.expiring.contains(id) {
            self.note_early_cancel(request, now);
        }
    }

    /// Forgets the cancellations that came before a job of this owner. Returns whether there were any.
    pub(super) fn take_early_cancels(&mut self, id: &Name, owner: &JobOwner) -> bool {
        let key = |scope| Cancellation { job: id.clone(), scope };
        let found = owner.scopes().map(key).map(|it| self.early_cancels.remove(&it));
        found.iter().any(Option::is_some)
    }

    pub(super) fn note_early_cancel(&mut self, request: &Cancellation, now: Moment) {
        let new = EarlyCancel { since: now, may_be_deleted: false };
        let known = self.early_cancels.entry(request.clone()).or_insert(new);
        if known.may_be_deleted {
            *known = new;
        }
    }

    /// Returns at most `most` cancellations that were kept for `Timing::retention_ms` without their jobs; their rows may
    /// be deleted. Each is returned again after another such time unless it is told to be deleted.
    pub fn take_expired_cancels(&mut self, now: Moment, most: usize) -> Vec<Cancellation> {
        let retention_ms = self.timing.retention_ms;
        let kept = self.early_cancels.iter_mut();
        let expired = kept.filter(|(_, it)| now.since(it.since) >= retention_ms).take(most);
        let mut taken = Vec::new();
        for (request, cancel) in expired {
            *cancel = EarlyCancel { since: now, may_be_deleted: true };
            taken.push(request.clone());
        }
        taken
    }

    /// Forgets these cancellations: their rows were deleted. One that was made anew meanwhile is kept.
    pub fn cancels_deleted(&mut self, requests: &[Cancellation]) {
        for it in requests {
            if self.early_cancels.get(it).is_some_and(|known| known.may_be_deleted) {
                self.early_cancels.remove(it);
            }
        }
    }

    /// Returns the number of cancellations whose jobs were not accepted yet.
    pub fn early_cancels(&self) -> usize {
        self.early_cancels.len()
    }
}
