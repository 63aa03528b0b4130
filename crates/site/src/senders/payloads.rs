//! Payloads of the jobs that this entry host has accepted.

use std::{collections::VecDeque, sync::Arc};

use fuchsiamill_fleet::{JobOwner, JobSpec, Name};
use fuchsiamill_model::FastMap;

/// The most bytes of payloads that are kept. The jobs that were accepted last are those whose tasks start next.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// What is kept of a job.
#[derive(Clone, Debug)]
pub struct KeptJob {
    /// The payload.
    pub payload: Arc<str>,
    /// Whose job it is.
    pub owner: JobOwner,
}

/// Keeps the payloads of the jobs that were accepted last.
#[derive(Debug, Default)]
pub struct Payloads {
    by_job: FastMap<Name, KeptJob>,
    order: VecDeque<Name>,
    bytes: usize,
}

impl Payloads {
    /// Keeps the payload of a job that is stored, and drops the oldest ones beyond [`MAX_BYTES`].
    pub fn keep(&mut self, job: Name, spec: &JobSpec) {
        let kept = KeptJob { payload: spec.payload.clone(), owner: JobOwner::from(spec) };
        self.bytes += kept.payload.len();
        match self.by_job.insert(job.clone(), kept) {
            Some(before) => self.bytes -= before.payload.len(),
            None => self.order.push_back(job),
        }
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.by_job.remove(&oldest).map_or(0, |it| it.payload.len());
        }
    }

    /// Returns what is kept of a job.
    pub fn get(&self, job: &Name) -> Option<KeptJob> {
        self.by_job.get(job).cloned()
    }
}
