//! Ejects workers on which jobs fail in a row from new placements for a while.

use fuchsiamill_model::{FastMap, HostName, Millisecond, Moment};

/// Failures in a row on one worker after which it is ejected. Only the first failure of each job counts.
const FAILURES_TO_EJECT: u32 = 3;
/// The length of a worker's first ejection, in milliseconds; each further one lasts twice as long.
const FIRST_EJECTION: Millisecond = 10_000;
/// The longest ejection, in milliseconds.
const LONGEST_EJECTION: Millisecond = 600_000;
/// The largest part of a pool's workers that may be ejected at once, in percent; one worker always may.
const MAX_EJECTED_PERCENT: usize = 25;

/// What to do with a worker after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It stays in new placements.
    Keep,
    /// It is left out of new placements until its ejection ends.
    Eject,
}

/// What is kept of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
}

/// The failures and ejections of a pool's workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: FastMap<HostName, Record>,
}

impl Health {
    /// Records that a task finished on a worker; its failures and ejections so far no longer count.
    pub fn record_success(&mut self, host: &HostName) {
        if let Some(record) = self.records.get_mut(host) {
            record.failures = 0;
            record.ejections = 0;
        }
    }

    /// Records that a job which had failed nowhere before failed on a worker. `workers` is the size of the pool.
    pub fn record_failure(&mut self, host: &HostName, workers: usize, now: Moment) -> Verdict {
        let ejected = self.records.values().filter(|it| it.ejected_until.is_some()).count();
        let record = self.records.entry(host.clone()).or_default();
        record.failures += 1;
        let max_ejected = (workers * MAX_EJECTED_PERCENT / 100).max(1);
        if record.failures < FAILURES_TO_EJECT
            || record.ejected_until.is_some()
            || ejected >= max_ejected
        {
            return Verdict::Keep;
        }
        let span = FIRST_EJECTION.saturating_mul(1 << record.ejections.min(16));
        record.ejected_until = Some(now + span.min(LONGEST_EJECTION));
        record.ejections += 1;
        // After the worker's return, one more failure ejects it again.
        record.failures = FAILURES_TO_EJECT - 1;
        Verdict::Eject
    }

    /// Ends the ejections that are over and returns their workers.
    pub fn end_ejections(&mut self, now: Moment) -> Vec<HostName> {
        let is_over = |it: &Record| it.ejected_until.is_some_and(|until| until <= now);
        let mut returned = Vec::new();
        for (host, record) in self.records.iter_mut().filter(|(_, it)| is_over(it)) {
            record.ejected_until = None;
            returned.push(host.clone());
        }
        returned
    }

    /// Returns the workers that are ejected now.
    pub fn ejected(&self) -> impl Iterator<Item = &HostName> {
        self.records.iter().filter(|(_, it)| it.ejected_until.is_some()).map(|(host, _)| host)
    }
}
