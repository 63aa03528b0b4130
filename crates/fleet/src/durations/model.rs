//! What the runs of one key show: how their time follows from the estimate, and how far they are off that.

use fuchsiamill_model::units::Millisecond;

use super::sketch::Sketch;

/// The weight of the newest run in the means. Eight tasks of a step share the error of its estimate, so a weight of 1/20 made
/// the median error larger by a tenth. Larger changes are followed faster, see [`DRIFT_LIMITS`].
const MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// The weight of the newest run in the variances, which need more samples than the means.
const VARIANCE_WEIGHT: f64 = 1.0 / 256.0;

/// The weight of the newest run in the mean errors by which models are compared.
const ERROR_WEIGHT: f64 = 1.0 / 128.0;

/// Variance that is assumed to follow the estimate, divided by the number of samples. Without it the slope would be
/// undefined where all estimates are alike, and arbitrary after the first few runs.
const PRIOR_VARIANCE: f64 = 0.5;

/// The weight of the newest run in the drift, the mean signed residual.
const DRIFT_WEIGHT: f64 = 1.0 / 16.0;

/// A drift beyond [`DRIFT_FACTOR`] times the usual error, limited to this range, in the logarithm, shows that the work has
/// changed so much that what was known does not apply. The means would follow too slowly, and residuals from the meantime would
/// distort the quantiles. Without the upper limit, work that had no usual duration would be remembered for hundreds of runs.
const DRIFT_LIMITS: (f64, f64) = (0.7, 1.5);

/// Tasks of a step share the error of its estimate, so a few steps alone give a drift of twice the usual error.
const DRIFT_FACTOR: f64 = 2.5;

/// The number of samples that the means count as after such a change, so that they follow quickly.
const SAMPLES_AFTER_CHANGE: u32 = 8;

/// A finer model is used if its error is below this part of the coarser one's, after [`FINER_SAMPLES`] runs. Tasks of a step are
/// alike, so a model of few steps seems better than it is.
const BETTER_FACTOR: f64 = 0.9;

/// Runs that a finer key needs, eight steps of eight tasks. With eight runs, its predictions are worse than the queue's.
const FINER_SAMPLES: u32 = 64;

/// The largest slope: an estimate that is twice as long means at most a little more than twice the time.
const MAX_SLOPE: f64 = 1.2;

/// The longest time that is learned or predicted.
pub const MAX_MS: Millisecond = 3_600_000;

/// Returns the logarithm of a time, limited to the range from 1 ms to [`MAX_MS`].
pub fn log_ms(ms: Millisecond) -> f64 {
    (ms.clamp(1, MAX_MS) as f64).ln()
}

/// Returns the time with this logarithm, limited to the range from 1 ms to [`MAX_MS`].
pub fn exp_ms(log: f64) -> Millisecond {
    (log.exp().round() as Millisecond).clamp(1, MAX_MS)
}

/// A regression of the logarithm of the time on that of the estimate, and the distribution of what remains. A slope of 1
/// predicts by the ratio of actual to estimated time, a slope of 0 by the time alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// The runs that ended.
    pub samples: u32,
    /// The means of the logarithms of estimate and time.
    pub means: (f64, f64),
    /// The variance of the estimate's logarithm, and its covariance with the time's.
    pub variances: (f64, f64),
    /// The logarithms of actual to predicted time.
    pub residuals: Sketch,
    /// The mean absolute error of this model and of the coarser one that it competes with, in the logarithm.
    pub errors: (f64, f64),
    /// The mean ratio of actual to predicted time, which is kept because it takes a pass over all buckets.
    pub mean_ratio: f64,
    /// The mean signed residual of the last runs.
    pub drift: f64,
}

impl Model {
    /// Returns the model with its derived value set, after it was read from a row.
    pub fn restored(mut self) -> Self {
        self.mean_ratio = self.residuals.mean();
        self
    }

    /// Returns the logarithm of the time that the regression gives for an estimate.
    pub fn centre(&self, log_estimate: f64) -> f64 {
        if self.samples == 0 {
            return log_estimate;
        }
        self.means.1 + self.slope() * (log_estimate - self.means.0)
    }

    /// Returns by how much the time's logarithm follows the estimate's.
    pub fn slope(&self) -> f64 {
        let prior = PRIOR_VARIANCE / f64::from(self.samples.max(1));
        ((self.variances.1 + prior) / (self.variances.0 + prior)).clamp(0.0, MAX_SLOPE)
    }

    /// Returns the mean ratio of actual time to the regression's.
    pub fn mean_ratio(&self) -> f64 {
        self.mean_ratio
    }

    /// Returns whether it predicted clearly better than the coarser model that it competes with.
    pub fn is_better(&self) -> bool {
        self.samples >= FINER_SAMPLES && self.errors.0 < self.errors.1 * BETTER_FACTOR
    }

    /// Records a run that ended by itself. `coarse_error` is the error of the coarser model's prediction for it.
    pub fn note(&mut self, log_estimate: f64, log_time: f64, coarse_error: f64) {
        if self.samples > 0 {
            let residual = log_time - self.centre(log_estimate);
            let error = (residual - self.residuals.quantile(0.5)).abs();
            let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.samples));
            self.errors.0 += (error - self.errors.0) * weight;
            self.errors.1 += (coarse_error - self.errors.1) * weight;
            self.drift += (residual - self.drift) * DRIFT_WEIGHT;
            let limit = (DRIFT_FACTOR * self.errors.0).clamp(DRIFT_LIMITS.0, DRIFT_LIMITS.1);
            if self.drift.abs() > limit {
                self.restart(residual);
            } else {
                self.residuals.note(residual);
            }
            self.mean_ratio = self.residuals.mean();
        }
        self.samples = self.samples.saturating_add(1);
        self.follow(log_estimate, log_time);
    }

    /// Records a run that was stopped and would have taken longer than this.
    pub fn note_at_least(&mut self, log_estimate: f64, log_time: f64) {
        if self.samples > 0 {
            self.residuals.note_at_least(log_time - self.centre(log_estimate));
            self.mean_ratio = self.residuals.mean();
        }
    }

    /// Forgets what the runs before a change of the work showed; `residual` is that of the last run after it.
    fn restart(&mut self, residual: f64) {
        self.means.1 += residual;
        self.residuals = Sketch::default();
        self.samples = self.samples.min(SAMPLES_AFTER_CHANGE);
        self.drift = 0.0;
    }

    fn follow(&mut self, x: f64, y: f64) {
        let newest = 1.0 / f64::from(self.samples);
        let (of_mean, of_variance) = (newest.max(MEAN_WEIGHT), newest.max(VARIANCE_WEIGHT));
        let (dx, dy) = (x - self.means.0, y - self.means.1);
        self.means.0 += dx * of_mean;
        self.means.1 += dy * of_mean;
        let keep = 1.0 - of_variance;
        self.variances.0 = keep * (self.variances.0 + of_variance * dx * dx);
        self.variances.1 = keep * (self.variances.1 + of_variance * dx * dy);
    }
}
