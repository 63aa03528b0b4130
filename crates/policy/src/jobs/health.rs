//! Workers that fail what they start are left out for a while.

use fuchsiamill_model::{FastMap, HostName, Millisecond, Moment};

/// First failures of different jobs in a row after which a worker is ejected.
const FAILURES_IN_A_ROW: u32 = 3;
/// The first time out, in milliseconds; doubled at every further ejection.
const FIRST_EJECTION: Millisecond = 10_000;
const LONGEST_EJECTION: Millisecond = 600_000;
/// The largest part of a pool's workers that may be out, in percent; one may always be.
const MOST_EJECTED_PERCENT: usize = 25;

/// What to do with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go on.
    Keep,
    /// Leave it out of new placements.
    Eject,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    out_until: Option<Moment>,
}

/// The failures of a pool's workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: FastMap<HostName, Record>,
}

impl Health {
    /// A task finished there.
    pub fn finished(&mut self, host: &HostName) {
        if let Some(record) = self.records.get_mut(host) {
            record.failures = 0;
            record.ejections = 0;
        }
    }

    /// A job failed there that had failed nowhere before.
    pub fn failed(&mut self, host: &HostName, workers: usize, now: Moment) -> Verdict {
        let out = self.records.values().filter(|it| it.out_until.is_some()).count();
        let record = self.records.entry(host.clone()).or_default();
        record.failures += 1;
        let most = (workers * MOST_EJECTED_PERCENT / 100).max(1);
        if record.failures < FAILURES_IN_A_ROW || record.out_until.is_some() || out >= most {
            return Verdict::Keep;
        }
        let span = FIRST_EJECTION.saturating_mul(1 << record.ejections.min(16));
        record.out_until = Some(now + span.min(LONGEST_EJECTION));
        record.ejections += 1;
        // One more failure after its return is enough.
        record.failures = FAILURES_IN_A_ROW - 1;
        Verdict::Eject
    }

    /// The workers whose time out is over.
    pub fn returning(&mut self, now: Moment) -> Vec<HostName> {
        let over = |it: &Record| it.out_until.is_some_and(|until| until <= now);
        let mut back = Vec::new();
        for (host, record) in self.records.iter_mut().filter(|(_, it)| over(it)) {
            record.out_until = None;
            back.push(host.clone());
        }
        back
    }

    /// The workers that are out.
    pub fn ejected(&self) -> impl Iterator<Item = &HostName> {
        self.records.iter().filter(|(_, it)| it.out_until.is_some()).map(|(host, _)| host)
    }
}
