//! Payloads of the jobs that this entry host has accepted.

use std::{collections::VecDeque, sync::Arc};

use fuchsiamill_fleet::Name;
use fuchsiamill_model::FastMap;

/// The most bytes of payloads that are kept. The jobs that were accepted last are those whose tasks start next.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Keeps the payloads of the jobs that were accepted last.
#[derive(Debug, Default)]
pub struct Payloads {
    by_job: FastMap<Name, Arc<str>>,
    order: VecDeque<Name>,
    bytes: usize,
}

impl Payloads {
    /// Keeps the payload of a job, and drops the oldest ones beyond [`MAX_BYTES`].
    pub fn keep(&mut self, job: Name, payload: Arc<str>) {
        self.bytes += payload.len();
        match self.by_job.insert(job.clone(), payload) {
            Some(before) => self.bytes -= before.len(),
            None => self.order.push_back(job),
        }
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.by_job.remove(&oldest).map_or(0, |it| it.len());
        }
    }

    /// Returns the payload of a job, if it is kept.
    pub fn get(&self, job: &Name) -> Option<Arc<str>> {
        self.by_job.get(job).cloned()
    }
}
