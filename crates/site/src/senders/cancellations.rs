//! Cancellations that this entry host has answered.

use std::collections::VecDeque;

use fuchsiamill_fleet::{Cancellation, JobOwner, JobScope, Name};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

/// The most cancellations that are kept: 400 a second for [`KEEP_MS`], at some 100 bytes each.
const MAX_COUNT: usize = 4_096;

/// How long a cancellation is kept. The coordinator hands over no start by a copy of the jobs that is older.
const KEEP_MS: Millisecond = 10_000;

/// Keeps the cancellations that were answered last. The coordinator may not have heard of them yet.
#[derive(Debug, Default)]
pub struct Cancellations {
    noted: FastMap<Name, Vec<(JobScope, Moment)>>,
    order: VecDeque<(Cancellation, Moment)>,
}

impl Cancellations {
    /// Notes that a cancellation is stored.
    pub fn note(&mut self, request: Cancellation, now: Moment) {
        let scopes = self.noted.entry(request.job.clone()).or_default();
        scopes.retain(|it| it.0 != request.scope);
        scopes.push((request.scope.clone(), now));
        self.order.push_back((request, now));
        while let Some((oldest, noted)) = self.order.front()
            && (self.order.len() > MAX_COUNT || now.since(*noted) > KEEP_MS)
        {
            let (job, noted) = (oldest.job.clone(), *noted);
            self.order.pop_front();
            self.forget(&job, noted);
        }
    }

    fn forget(&mut self, job: &Name, upto: Moment) {
        if let Some(scopes) = self.noted.get_mut(job) {
            scopes.retain(|it| it.1 > upto);
            if scopes.is_empty() {
                self.noted.remove(job);
            }
        }
    }

    /// Returns whether a cancellation was noted lately that applies to the job of this id, whose owner is `None` if it is not
    /// known.
    pub fn contains(&self, job: &Name, owner: Option<&JobOwner>, now: Moment) -> bool {
        let applies = |(scope, noted): &(JobScope, Moment)| {
            now.since(*noted) <= KEEP_MS && owner.is_none_or(|it| scope.includes(it))
        };
        self.noted.get(job).is_some_and(|it| it.iter().any(applies))
    }
}
