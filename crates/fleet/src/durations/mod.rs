//! Durations of tasks, learned from runs that ended.
//!
//! Callers state an estimate that may be far off. For each queue, step, size class and team a [`Model`] learns how the
//! time of a run follows from its estimate. A finer key is used once it has enough runs and its predictions were better
//! than those of the next coarser one. The number of keys is bounded, and nothing here reads a clock.

mod model;
mod sketch;
mod stored;

use fuchsiamill_model::{FastMap, Resources, units::Millisecond};

pub use model::MAX_MS;
pub use sketch::BUCKETS as SKETCH_BUCKETS;
pub use stored::{ROW_VERSION, RejectedRow, StoredDurations, StoredKey};

use crate::Name;
use model::{Model, exp_ms, log_ms};

/// Runs of a key that have to end before it is used.
pub const MIN_SAMPLES: u32 = 8;

/// The most keys that are kept.
pub const MAX_KEYS: usize = 4_096;

/// The keys that are dropped at once, least recently used first, when there are too many: a scan of all keys is then
/// needed only once for so many new ones.
const DROPPED_KEYS: usize = MAX_KEYS / 16;

/// The number of levels of keys, from the queue to the team.
const LEVELS: usize = 4;

/// The upper ends of the buckets of the ratio of actual to predicted time, in per cent; the last bucket has none.
pub const RATIO_BOUNDS: [u64; 8] = [25, 50, 75, 90, 110, 150, 200, 400];

/// The part of a task's description by which its duration is predicted.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile<'a> {
    /// The queue of the task's job.
    pub queue: &'a Name,
    /// The number of the task's step.
    pub step: u16,
    /// What the task takes of a worker.
    pub size: Resources,
    /// The team of the task's job.
    pub team: &'a Name,
    /// The run time that the caller states.
    pub estimate_ms: Millisecond,
}

/// What a model is learned for; fields that are `None` stand for all values.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Key {
    queue: Name,
    step: Option<u16>,
    size: Option<u8>,
    team: Option<Name>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    model: Model,
    /// The number of the last run that was recorded for the key.
    last_used: u64,
}

/// The durations of a site's tasks.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    entries: FastMap<Key, Entry>,
    /// The number of runs that were recorded.
    runs: u64,
    totals: Totals,
}

/// How the predictions compared to the runs that ended since the coordinator took over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Runs that ended and count.
    pub samples: u64,
    /// Those of them for which a coarser key than the finest was used.
    pub fallbacks: u64,
    /// Those of them for which no key had enough runs.
    pub unpredicted: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Predicted runs by the ratio of actual to predicted time; see [`RATIO_BOUNDS`].
    pub ratios: [u64; RATIO_BOUNDS.len() + 1],
}

/// The predicted duration of a task.
#[derive(Clone, Copy, Debug)]
pub struct Prediction<'a> {
    model: &'a Model,
    centre: f64,
    level: usize,
}

impl Totals {
    /// Returns what was added since `before`.
    pub fn since(&self, before: &Totals) -> Totals {
        let ratios = std::array::from_fn(|it| self.ratios[it].saturating_sub(before.ratios[it]));
        Totals {
            samples: self.samples.saturating_sub(before.samples),
            fallbacks: self.fallbacks.saturating_sub(before.fallbacks),
            unpredicted: self.unpredicted.saturating_sub(before.unpredicted),
            stopped: self.stopped.saturating_sub(before.stopped),
            ratios,
        }
    }

    /// Returns the runs that took at most this part of the predicted time, in per cent; one of [`RATIO_BOUNDS`].
    pub fn ratios_upto(&self, percent: u64) -> u64 {
        let buckets = self.ratios.iter().zip(RATIO_BOUNDS);
        buckets.filter(|it| it.1 <= percent).map(|it| it.0).sum()
    }

    /// Returns the runs that took more than this part of the predicted time, in per cent; one of [`RATIO_BOUNDS`].
    pub fn ratios_above(&self, percent: u64) -> u64 {
        self.ratios.iter().sum::<u64>() - self.ratios_upto(percent)
    }
}

impl Prediction<'_> {
    /// Returns the mean time.
    pub fn expected_ms(&self) -> Millisecond {
        exp_ms(self.centre + self.model.mean_ratio().ln())
    }

    /// Returns the time within which the fraction `rank` of such tasks ends.
    pub fn quantile_ms(&self, rank: f64) -> Millisecond {
        exp_ms(self.centre + self.model.residuals.quantile(rank))
    }

    /// Returns the mean time left of a task that has run for so long. One that has run longer than all known ones is
    /// expected to run as long again.
    pub fn left_ms(&self, ran: Millisecond) -> Millisecond {
        let ran = ran.min(MAX_MS);
        if ran == 0 {
            return self.expected_ms();
        }
        match self.model.residuals.mean_above(log_ms(ran) - self.centre) {
            Some(ratio) => exp_ms(self.centre + ratio.ln()).saturating_sub(ran).max(1),
            None => ran,
        }
    }

    /// Returns the number of runs that the prediction was learned from.
    pub fn samples(&self) -> u32 {
        self.model.samples
    }
}

impl Durations {
    /// Records a run that ended by itself after `took`.
    pub fn note_done(&mut self, task: &TaskProfile, took: Millisecond) {
        let (estimate, time) = (log_ms(task.estimate_ms), log_ms(took));
        self.count_run(task, time);
        let mut coarse_error = f64::INFINITY;
        for level in 0..LEVELS {
            let model = &mut self.entry(task, level).model;
            let before = model.clone();
            model.note(estimate, time, if level == 0 { 0.0 } else { coarse_error });
            if before.samples >= MIN_SAMPLES || level == 0 {
                let predicted = before.centre(estimate) + before.residuals.quantile(0.5);
                let is_used = level == 0 || before.is_better();
                coarse_error = if is_used { (time - predicted).abs() } else { coarse_error };
            }
        }
    }

    /// Records a run that was stopped after `ran`; it would have taken longer.
    pub fn note_stopped(&mut self, task: &TaskProfile, ran: Millisecond) {
        self.totals.stopped += 1;
        let (estimate, time) = (log_ms(task.estimate_ms), log_ms(ran));
        for level in 0..LEVELS {
            if let Some(entry) = self.entries.get_mut(&Key::new(task, level)) {
                entry.model.note_at_least(estimate, time);
            }
        }
    }

    /// Predicts the duration of a task; `None` while too few runs of its queue have ended.
    pub fn predict(&self, task: &TaskProfile) -> Option<Prediction<'_>> {
        let mut found = None;
        for level in 0..LEVELS {
            let Some(Entry { model, .. }) = self.entries.get(&Key::new(task, level)) else { break };
            let is_better = level == 0 || model.is_better();
            if model.samples >= MIN_SAMPLES && is_better {
                found = Some((model, level));
            }
        }
        let (model, level) = found?;
        Some(Prediction { model, centre: model.centre(log_ms(task.estimate_ms)), level })
    }

    /// Returns how the predictions compared to the runs that ended.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of runs that were recorded, those before the takeover included as far as they are known.
    pub fn runs(&self) -> u64 {
        self.runs
    }

    fn count_run(&mut self, task: &TaskProfile, log_time: f64) {
        self.runs += 1;
        self.totals.samples += 1;
        let Some(prediction) = self.predict(task) else {
            self.totals.unpredicted += 1;
            return;
        };
        let (level, predicted) = (prediction.level, log_ms(prediction.quantile_ms(0.5)));
        let percent = ((log_time - predicted).exp() * 100.0) as u64;
        let bucket = RATIO_BOUNDS.iter().position(|it| percent <= *it);
        self.totals.ratios[bucket.unwrap_or(RATIO_BOUNDS.len())] += 1;
        self.totals.fallbacks += u64::from(level + 1 < LEVELS);
    }

    fn entry(&mut self, task: &TaskProfile, level: usize) -> &mut Entry {
        let key = Key::new(task, level);
        if self.entries.len() >= MAX_KEYS && !self.entries.contains_key(&key) {
            self.drop_least_used();
        }
        let entry = self.entries.entry(key).or_default();
        entry.last_used = self.runs;
        entry
    }

    fn drop_least_used(&mut self) {
        let mut used: Vec<u64> = self.entries.values().map(|it| it.last_used).collect();
        let (_, last_dropped, _) = used.select_nth_unstable(DROPPED_KEYS - 1);
        let last_dropped = *last_dropped;
        self.entries.retain(|_, it| it.last_used > last_dropped);
    }
}

impl Key {
    fn new(task: &TaskProfile, level: usize) -> Self {
        Self {
            queue: task.queue.clone(),
            step: (level >= 1).then_some(task.step),
            size: (level >= 2).then(|| size_class(task.size)),
            team: (level >= 3).then(|| task.team.clone()),
        }
    }
}

/// Returns the class of a size: sizes of a class differ by less than a factor of two in processors.
fn size_class(size: Resources) -> u8 {
    u32::BITS as u8 - size.millicores.leading_zeros() as u8
}
