//! A distribution of ratios in a small fixed set of logarithmic buckets.

/// The number of buckets.
pub const BUCKETS: usize = 64;

/// The width of a bucket in the natural logarithm: a quantile is off by at most 6 %.
const WIDTH: f64 = 0.125;

/// The logarithm at the lower end of the first bucket. Ratios from 1/54 to 54 are told apart.
const LOWEST: f64 = -4.0;

/// All counts are halved at this sum, so that a distribution follows a change of the work within about as many samples.
const HALVING_SUM: f32 = 256.0;

/// The counts of logarithms of ratios. Counts are fractions because older ones are halved and those of runs that did not
/// end are spread over several buckets.
#[derive(Clone, Debug, PartialEq)]
pub struct Sketch {
    counts: [f32; BUCKETS],
    sum: f32,
}

impl Default for Sketch {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], sum: 0.0 }
    }
}

impl Sketch {
    /// Rebuilds a distribution from its counts; `None` if one is not a valid count.
    pub fn from_counts(pairs: &[(u8, f32)]) -> Option<Self> {
        let mut sketch = Self::default();
        for (bucket, count) in pairs {
            let slot = sketch.counts.get_mut(usize::from(*bucket))?;
            if !(0.0..=HALVING_SUM).contains(count) {
                return None;
            }
            *slot = *count;
        }
        sketch.sum = sketch.counts.iter().sum();
        (sketch.sum <= HALVING_SUM).then_some(sketch)
    }

    /// Returns the counts that are not 0, each with its bucket.
    pub fn counts(&self) -> impl Iterator<Item = (u8, f32)> + '_ {
        let counts = self.counts.iter().enumerate().filter(|it| *it.1 > 0.0);
        counts.map(|(bucket, count)| (bucket as u8, *count))
    }

    /// Adds the logarithm of a ratio.
    pub fn note(&mut self, log_ratio: f64) {
        self.counts[bucket_of(log_ratio)] += 1.0;
        self.count_one();
    }

    /// Adds a ratio of which only a lower bound is known: it is spread over what lies above in proportion to the counts.
    pub fn note_at_least(&mut self, log_ratio: f64) {
        let above = self.mass_above(log_ratio);
        if above <= f64::EPSILON {
            return self.note(log_ratio);
        }
        let first = bucket_of(log_ratio);
        let kept = part_above(first, log_ratio);
        for (bucket, count) in self.counts.iter_mut().enumerate().skip(first) {
            let part = if bucket == first { kept } else { 1.0 };
            *count += *count * (part / above) as f32;
        }
        self.count_one();
    }

    fn count_one(&mut self) {
        self.sum += 1.0;
        if self.sum >= HALVING_SUM {
            self.counts.iter_mut().for_each(|it| *it /= 2.0);
            self.sum = self.counts.iter().sum();
        }
    }

    /// Returns the logarithm below which the fraction `rank` of the samples lies; 0 without samples.
    pub fn quantile(&self, rank: f64) -> f64 {
        let mut left = rank.clamp(0.0, 1.0) * f64::from(self.sum);
        for (bucket, count) in self.counts.iter().enumerate().filter(|it| *it.1 > 0.0) {
            let count = f64::from(*count);
            if left <= count {
                return lower_end(bucket) + WIDTH * left / count;
            }
            left -= count;
        }
        let last = self.counts.iter().rposition(|it| *it > 0.0);
        last.map_or(0.0, |it| lower_end(it + 1))
    }

    /// Returns the mean ratio; 1 without samples.
    pub fn mean(&self) -> f64 {
        self.mean_above(f64::NEG_INFINITY).unwrap_or(1.0)
    }

    /// Returns the mean of the ratios above one with this logarithm; `None` if there are none.
    pub fn mean_above(&self, log_ratio: f64) -> Option<f64> {
        let first = bucket_of(log_ratio);
        let (mut sum, mut total) = (0.0, 0.0);
        for (bucket, count) in self.counts.iter().enumerate().skip(first) {
            let part = if bucket == first { part_above(first, log_ratio) } else { 1.0 };
            let (count, end) = (f64::from(*count) * part, lower_end(bucket + 1));
            sum += count;
            total += count * (end - WIDTH / 2.0 * part).exp();
        }
        (sum > f64::EPSILON).then(|| total / sum)
    }

    fn mass_above(&self, log_ratio: f64) -> f64 {
        let first = bucket_of(log_ratio);
        let whole: f32 = self.counts.iter().skip(first + 1).sum();
        f64::from(self.counts[first]) * part_above(first, log_ratio) + f64::from(whole)
    }
}

fn bucket_of(log_ratio: f64) -> usize {
    (((log_ratio - LOWEST) / WIDTH).max(0.0) as usize).min(BUCKETS - 1)
}

fn lower_end(bucket: usize) -> f64 {
    LOWEST + WIDTH * bucket as f64
}

/// Returns which part of a bucket lies above a logarithm.
fn part_above(bucket: usize, log_ratio: f64) -> f64 {
    ((lower_end(bucket + 1) - log_ratio) / WIDTH).clamp(0.0, 1.0)
}
