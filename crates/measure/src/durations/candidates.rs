//! The candidates for the model of durations.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_fleet::{
    Name,
    durations::{Durations, TaskProfile},
};
use fuchsiamill_model::units::Millisecond;
use hdrhistogram::Histogram;

/// The runs over which the candidates with a window take their quantiles and regressions.
const WINDOW: usize = 64;

/// The samples below which the estimate is used.
const MIN_SAMPLES: usize = 8;

/// A way to predict run times.
pub trait Candidate {
    fn name(&self) -> &'static str;
    fn learn(&mut self, task: &TaskProfile, took: Millisecond);
    /// Returns the expected whole run time of a task that has run for so long.
    fn predict(&self, task: &TaskProfile, ran: Millisecond) -> f64;
}

type Make = fn() -> Box<dyn Candidate>;

/// A queue, and a team if teams are told apart.
type WindowKey = (Name, Option<Name>);

pub const ALL: [Make; 11] = [
    || Box::new(Declared),
    || Box::<Mean>::default(),
    || Box::new(Window::new("median of time", |_| 0.0, false)),
    || Box::<Histograms>::default(),
    || Box::new(Window::new("median of ratio", log_estimate, false)),
    || Box::<RatioOrTime>::default(),
    || Box::new(Regression::new("regression on size", log_size, false)),
    || Box::new(Regression::new("regression on estimate", log_estimate, false)),
    || Box::new(Regression::new("regression on estimate, per team", log_estimate, true)),
    || Box::new(Model { durations: Durations::default(), survives: false }),
    || Box::new(Model { durations: Durations::default(), survives: true }),
];

fn log_estimate(task: &TaskProfile) -> f64 {
    (task.estimate_ms.max(1) as f64).ln()
}

fn log_size(task: &TaskProfile) -> f64 {
    f64::from(task.size.millicores.max(1)).ln()
}

/// The declared estimate.
struct Declared;

impl Candidate for Declared {
    fn name(&self) -> &'static str {
        "declared estimate"
    }

    fn learn(&mut self, _: &TaskProfile, _: Millisecond) {}

    fn predict(&self, task: &TaskProfile, _: Millisecond) -> f64 {
        task.estimate_ms.max(1) as f64
    }
}

/// The queue's mean where estimates are off by more than 0.4, as the coordinator does without learned durations.
#[derive(Default)]
struct Mean(BTreeMap<Name, (f64, f64, usize)>);

impl Candidate for Mean {
    fn name(&self) -> &'static str {
        "mean, as before"
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        let took = took.max(1) as f64;
        let error = (took.ln() - log_estimate(task)).abs();
        let it = self.0.entry(task.queue.clone()).or_default();
        it.2 += 1;
        let weight = if it.2 == 1 { 1.0 } else { 0.25 };
        it.0 += (took - it.0) * weight;
        it.1 += (error - it.1) * weight;
    }

    fn predict(&self, task: &TaskProfile, _: Millisecond) -> f64 {
        match self.0.get(task.queue) {
            Some((mean, error, samples)) if *samples >= MIN_SAMPLES && *error > 0.4 => *mean,
            _ => task.estimate_ms.max(1) as f64,
        }
    }
}

/// The median of the last times, divided by what `scale` gives.
struct Window {
    name: &'static str,
    scale: fn(&TaskProfile) -> f64,
    per_team: bool,
    values: BTreeMap<WindowKey, VecDeque<f64>>,
}

impl Window {
    fn new(name: &'static str, scale: fn(&TaskProfile) -> f64, per_team: bool) -> Self {
        Self { name, scale, per_team, values: BTreeMap::new() }
    }

    fn key(&self, task: &TaskProfile) -> WindowKey {
        (task.queue.clone(), self.per_team.then(|| task.team.clone()))
    }

    /// Returns the median and the standard deviation.
    fn spread(&self, task: &TaskProfile) -> Option<(f64, f64)> {
        let values = self.values.get(&self.key(task)).filter(|it| it.len() >= MIN_SAMPLES)?;
        let mut sorted: Vec<f64> = values.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let mean = sorted.iter().sum::<f64>() / sorted.len() as f64;
        let variance = sorted.iter().map(|it| (it - mean) * (it - mean)).sum::<f64>();
        Some((sorted[sorted.len() / 2], (variance / sorted.len() as f64).sqrt()))
    }
}

impl Candidate for Window {
    fn name(&self) -> &'static str {
        self.name
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        let value = (took.max(1) as f64).ln() - (self.scale)(task);
        push(self.values.entry(self.key(task)).or_default(), value);
    }

    fn predict(&self, task: &TaskProfile, _: Millisecond) -> f64 {
        let log = self.spread(task).map(|it| it.0 + (self.scale)(task));
        log.unwrap_or(log_estimate(task)).exp()
    }
}

fn push<T>(values: &mut VecDeque<T>, value: T) {
    values.push_back(value);
    if values.len() > WINDOW {
        values.pop_front();
    }
}

/// The median of time or that of the ratio, whichever spreads less.
struct RatioOrTime {
    ratio: Window,
    time: Window,
}

impl Default for RatioOrTime {
    fn default() -> Self {
        let ratio = Window::new("", log_estimate, false);
        Self { ratio, time: Window::new("", |_| 0.0, false) }
    }
}

impl Candidate for RatioOrTime {
    fn name(&self) -> &'static str {
        "median of ratio or of time"
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        self.ratio.learn(task, took);
        self.time.learn(task, took);
    }

    fn predict(&self, task: &TaskProfile, ran: Millisecond) -> f64 {
        match (self.ratio.spread(task), self.time.spread(task)) {
            (Some(ratio), Some(time)) if time.1 < ratio.1 => self.time.predict(task, ran),
            _ => self.ratio.predict(task, ran),
        }
    }
}

/// The median of all times in a histogram of two significant digits.
#[derive(Default)]
struct Histograms(BTreeMap<Name, Histogram<u32>>);

pub fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, 3_600_000, 2).expect("the bounds are valid")
}

impl Candidate for Histograms {
    fn name(&self) -> &'static str {
        "median of time, hdrhistogram"
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        let histogram = self.0.entry(task.queue.clone()).or_insert_with(new_histogram);
        histogram.saturating_record(took.max(1));
    }

    fn predict(&self, task: &TaskProfile, _: Millisecond) -> f64 {
        match self.0.get(task.queue).filter(|it| it.len() >= MIN_SAMPLES as u64) {
            Some(it) => it.value_at_quantile(0.5) as f64,
            None => task.estimate_ms.max(1) as f64,
        }
    }
}

/// A regression of the logarithm of time on what `of` gives.
struct Regression {
    name: &'static str,
    of: fn(&TaskProfile) -> f64,
    per_team: bool,
    pairs: BTreeMap<WindowKey, VecDeque<(f64, f64)>>,
}

impl Regression {
    fn new(name: &'static str, of: fn(&TaskProfile) -> f64, per_team: bool) -> Self {
        Self { name, of, per_team, pairs: BTreeMap::new() }
    }

    fn key(&self, task: &TaskProfile) -> WindowKey {
        (task.queue.clone(), self.per_team.then(|| task.team.clone()))
    }
}

impl Candidate for Regression {
    fn name(&self) -> &'static str {
        self.name
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        let pair = ((self.of)(task), (took.max(1) as f64).ln());
        push(self.pairs.entry(self.key(task)).or_default(), pair);
    }

    fn predict(&self, task: &TaskProfile, _: Millisecond) -> f64 {
        let pairs = self.pairs.get(&self.key(task)).filter(|it| it.len() >= MIN_SAMPLES);
        let Some(pairs) = pairs else { return task.estimate_ms.max(1) as f64 };
        let count = pairs.len() as f64;
        let (x, y) = pairs.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let (x, y) = (x / count, y / count);
        let xx: f64 = pairs.iter().map(|it| (it.0 - x) * (it.0 - x)).sum();
        let xy: f64 = pairs.iter().map(|it| (it.0 - x) * (it.1 - y)).sum();
        let slope = if xx > 1e-9 { xy / xx } else { 0.0 };
        (y + slope * ((self.of)(task) - x)).exp()
    }
}

/// The model of the fleet crate.
struct Model {
    durations: Durations,
    survives: bool,
}

impl Candidate for Model {
    fn name(&self) -> &'static str {
        if self.survives { "model, given the time run" } else { "model" }
    }

    fn learn(&mut self, task: &TaskProfile, took: Millisecond) {
        self.durations.note_done(task, took);
    }

    fn predict(&self, task: &TaskProfile, ran: Millisecond) -> f64 {
        let Some(prediction) = self.durations.predict(task) else {
            return task.estimate_ms.max(1) as f64;
        };
        match ran {
            ran if ran > 0 && self.survives => (ran + prediction.left_ms(ran)) as f64,
            _ => prediction.quantile_ms(0.5) as f64,
        }
    }
}
