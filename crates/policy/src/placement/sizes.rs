//! Learns the sizes and run times of tasks from their usage, because declared ones are far off.

use fuchsiamill_model::{FastMap, JobKind, Millisecond, Resources, TeamName, task::Usage};

/// Number of buckets of a histogram; each covers a quarter of a doubling.
const BUCKETS: usize = 128;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Fraction of its weight that a sample keeps each time a new one is recorded.
const DECAY: f32 = 0.98;
/// Weight of samples from which the learned size replaces the declared one.
const MIN_WEIGHT: f32 = 5.0;
/// Quantile of the samples that is taken as a task's expected usage and run time.
const QUANTILE: f32 = 0.95;
/// Upper limit of learned pairs of team and job kind; the one recorded least recently is removed first.
const MAX_KINDS: usize = 4096;

#[derive(Clone, Debug)]
struct Histogram {
    weights: Vec<f32>,
    total: f32,
}

impl Histogram {
    fn new() -> Self {
        Self { weights: vec![0.0; BUCKETS], total: 0.0 }
    }

    fn record(&mut self, value: u64) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[bucket_of(value)] += 1.0;
        self.total = self.total * DECAY + 1.0;
    }

    fn quantile(&self, quantile: f32) -> u64 {
        let mut remaining = self.total * quantile;
        for (weight, bucket) in self.weights.iter().zip(0..) {
            remaining -= weight;
            if remaining <= 0.0 && *weight > 0.0 {
                return upper_bound(bucket);
            }
        }
        self.weights.iter().rposition(|it| *it > 0.0).map_or(0, upper_bound)
    }
}

fn bucket_of(value: u64) -> usize {
    let bucket = ((value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
}

#[derive(Clone, Debug)]
struct Learned {
    millicores: Histogram,
    memory_mib: Histogram,
    run_time: Histogram,
    recorded_at: u64,
}

/// Learned sizes and run times, by team and job kind.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    learned: FastMap<(TeamName, JobKind), Learned>,
    clock: u64,
}

impl Sizes {
    /// Records the usage of a task that has ended.
    pub fn record(&mut self, team: &TeamName, kind: &JobKind, usage: Usage) {
        self.clock += 1;
        let key = (team.clone(), kind.clone());
        if !self.learned.contains_key(&key) && self.learned.len() >= MAX_KINDS {
            self.remove_oldest();
        }
        let learned = self.learned.entry(key).or_insert_with(|| Learned {
            millicores: Histogram::new(),
            memory_mib: Histogram::new(),
            run_time: Histogram::new(),
            recorded_at: 0,
        });
        learned.recorded_at = self.clock;
        learned.millicores.record(usage.peak.millicores.into());
        learned.memory_mib.record(usage.peak.memory_mib.into());
        learned.run_time.record(usage.run_time);
    }

    /// Returns the size to place a task with: the learned size, at most `largest`, or the declared one while too few
    /// samples are known.
    ///
    /// Accelerators are whole units and always as declared.
    pub fn expected(
        &self,
        team: &TeamName,
        kind: &JobKind,
        declared: Resources,
        largest: Resources,
    ) -> Resources {
        let Some(learned) = self.known(team, kind) else { return declared };
        Resources {
            millicores: quantile_of(&learned.millicores).min(largest.millicores),
            memory_mib: quantile_of(&learned.memory_mib).min(largest.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// Returns how long a task is expected to run.
    pub fn run_time(&self, team: &TeamName, kind: &JobKind, declared: Millisecond) -> Millisecond {
        self.known(team, kind).map_or(declared, |it| it.run_time.quantile(QUANTILE))
    }

    fn known(&self, team: &TeamName, kind: &JobKind) -> Option<&Learned> {
        let learned = self.learned.get(&(team.clone(), kind.clone()))?;
        // Through decay, the weight of five samples stays just below five.
        (learned.millicores.total >= MIN_WEIGHT - 0.5).then_some(learned)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.learned.iter().min_by_key(|(_, it)| it.recorded_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.learned.remove(&key);
        }
    }
}

fn quantile_of(histogram: &Histogram) -> u32 {
    u32::try_from(histogram.quantile(QUANTILE)).unwrap_or(u32::MAX)
}
