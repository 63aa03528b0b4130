//! Sizes and run times learned from usage, because declared ones are far off.

use fuchsiamill_model::{FastMap, JobKind, Millisecond, Resources, TeamName, task::Usage};

/// Buckets of a histogram; each is a quarter of a power of two wide.
const BUCKETS: usize = 128;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Part of its weight that an old sample keeps when a new one comes.
const DECAY: f32 = 0.98;
/// Weight of samples from which the learned size replaces the declared one.
const ENOUGH_WEIGHT: f32 = 5.0;
/// Quantile of the samples that a task is placed for.
const QUANTILE: f32 = 0.95;
/// Kinds remembered at once; the one least recently seen makes room.
const MOST_KINDS: usize = 4096;

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
        let mut left = self.total * quantile;
        for (weight, bucket) in self.weights.iter().zip(0..) {
            left -= weight;
            if left <= 0.0 && *weight > 0.0 {
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
    seen: u64,
}

/// Learned sizes by team and kind of work.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    learned: FastMap<(TeamName, JobKind), Learned>,
    clock: u64,
}

impl Sizes {
    /// Takes in what a task used until it ended.
    pub fn record(&mut self, team: &TeamName, kind: &JobKind, usage: Usage) {
        self.clock += 1;
        let key = (team.clone(), kind.clone());
        if !self.learned.contains_key(&key) && self.learned.len() >= MOST_KINDS {
            self.forget_oldest();
        }
        let learned = self.learned.entry(key).or_insert_with(|| Learned {
            millicores: Histogram::new(),
            memory_mib: Histogram::new(),
            run_time: Histogram::new(),
            seen: 0,
        });
        learned.seen = self.clock;
        learned.millicores.record(usage.peak.millicores.into());
        learned.memory_mib.record(usage.peak.memory_mib.into());
        learned.run_time.record(usage.run_time);
    }

    /// What to place a task for: learned where enough is known, else declared; never more than `largest`.
    ///
    /// Accelerators are whole and always as declared.
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

    /// How long a task is expected to run.
    pub fn run_time(&self, team: &TeamName, kind: &JobKind, declared: Millisecond) -> Millisecond {
        self.known(team, kind).map_or(declared, |it| it.run_time.quantile(QUANTILE))
    }

    fn known(&self, team: &TeamName, kind: &JobKind) -> Option<&Learned> {
        let learned = self.learned.get(&(team.clone(), kind.clone()))?;
        (learned.millicores.total >= ENOUGH_WEIGHT - 0.5).then_some(learned)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.learned.iter().min_by_key(|(_, it)| it.seen);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.learned.remove(&key);
        }
    }
}

fn quantile_of(histogram: &Histogram) -> u32 {
    u32::try_from(histogram.quantile(QUANTILE)).unwrap_or(u32::MAX)
}
