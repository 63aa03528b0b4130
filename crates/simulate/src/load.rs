//! Jobs that callers send: queues whose demand peaks in turn.

use std::sync::Arc;

use fastrand::Rng;
use fuchsiamill_fleet::{JobSpec, Name, Step, job::RouteSettings};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, WallTime},
};

/// The real time at which each play begins.
pub const WALL: WallTime = WallTime(1_700_000_000_000);

/// A queue's demand between its peaks, as a part of its mean.
const BETWEEN_PEAKS: f64 = 0.05;

/// Logarithms of sizes are spread by this much around their mean.
const SPREAD: f64 = 0.5;

/// The largest size, in means.
const LARGEST: f64 = 4.0;

/// What a queue is asked for.
#[derive(Clone, Debug)]
pub struct QueueLoad {
    /// The pool that runs its jobs; the queue has the same name.
    pub pool: Name,
    /// Jobs a second, over the whole time.
    pub per_s: f64,
    /// Tasks of a step, on average.
    pub tasks: f64,
    /// What a task needs, on average.
    pub millicores: f64,
    /// How long a task takes, on average.
    pub task_ms: f64,
    /// The part of the steps that have their data in one of the racks of the site.
    pub near: f64,
}

/// What a site is asked for.
#[derive(Clone, Debug)]
pub struct Load {
    /// The queues, in the order of their peaks.
    pub queues: Vec<QueueLoad>,
    /// How long each queue's peak lasts.
    pub peak_ms: Millisecond,
    /// How long jobs come.
    pub length_ms: Millisecond,
    /// The objective of a job is this many times its longest chain of work, and `objective_ms` more.
    pub stretch: f64,
    /// The fixed part of a job's objective.
    pub objective_ms: Millisecond,
}

/// How long each step's tasks really take.
pub type Work = Vec<Vec<Millisecond>>;

/// A job that a caller sends.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, since the beginning.
    pub at: Millisecond,
    /// Its id.
    pub id: Name,
    /// What the caller says of it.
    pub spec: Arc<JobSpec>,
    /// What it really takes.
    pub work: Work,
}

impl Load {
    /// Two queues of many short jobs and two of fewer long ones, which peak in turn for five seconds; `times` the usual
    /// number of jobs, a part `near` of the steps with their data in a rack.
    pub fn four_queues(times: f64, near: f64, length_ms: Millisecond) -> Self {
        let queue = |pool: &str, per_s: f64, tasks: f64, millicores: f64, task_ms: f64| QueueLoad {
            pool: pool.into(),
            per_s: per_s * times,
            tasks,
            millicores,
            task_ms,
            near,
        };
        Self {
            queues: vec![
                queue("checks", 7.1, 6.0, 880.0, 800.0),
                queue("drafts", 1.4, 8.0, 1_900.0, 1_300.0),
                queue("notices", 8.9, 6.0, 880.0, 800.0),
                queue("plans", 1.7, 8.0, 1_900.0, 1_300.0),
            ],
            peak_ms: 5_000,
            length_ms,
            stretch: 1.6,
            objective_ms: 600,
        }
    }

    /// The jobs that come, by time; the same for the same seed.
    pub fn arrivals(&self, seed: u64, racks: u32) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        for place in 0..self.queues.len() {
            let mut at = 0.0;
            loop {
                let rate = self.rate(place, at as Millisecond).max(f64::MIN_POSITIVE);
                // Steps of a tenth of a second at most, so that a peak is not stepped over.
                let gap = -(1.0 - rng.f64()).ln() / rate * 1_000.0;
                if gap > STEP_MS {
                    at += STEP_MS;
                } else {
                    at += gap;
                    arrivals.push(self.arrival(place, at as Millisecond, racks, &mut rng));
                }
                if at >= self.length_ms as f64 {
                    break;
                }
            }
        }
        arrivals.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        arrivals
    }

    /// Jobs a second of a queue at a moment.
    fn rate(&self, place: usize, at: Millisecond) -> f64 {
        let turns = self.queues.len().max(1);
        let is_peak = (at / self.peak_ms.max(1)) as usize % turns == place;
        let peak = turns as f64 - BETWEEN_PEAKS * (turns - 1) as f64;
        self.queues[place].per_s * if is_peak { peak } else { BETWEEN_PEAKS }
    }

    fn arrival(&self, place: usize, at: Millisecond, racks: u32, rng: &mut Rng) -> Arrival {
        let queue = &self.queues[place];
        let count = if rng.f64() < 0.5 { 1 } else { 2 };
        let mut steps = Vec::new();
        let mut work = Vec::new();
        for number in 0..count {
            let tasks = spread(queue.tasks, rng).round().max(1.0) as u32;
            let millicores = spread(queue.millicores, rng).max(100.0) as u32;
            let usual = spread(queue.task_ms, rng);
            let rack = (rng.f64() < queue.near).then(|| rack_name(rng.u32(0..racks.max(1))));
            steps.push(Step {
                count: tasks,
                size: Resources { millicores, memory_mib: millicores, accelerators: 0 },
                estimate_ms: spread(usual, rng) as Millisecond + 1,
                after: (0..number).collect(),
                rack,
                ..Step::default()
            });
            let took = |rng: &mut Rng| (usual * (0.7 + 0.6 * rng.f64())) as Millisecond + 1;
            work.push((0..tasks).map(|_| took(rng)).collect());
        }
        let route = RouteSettings {
            pool: queue.pool.clone(),
            max_attempts: 3,
            stretch: self.stretch,
            objective_ms: self.objective_ms,
            ..RouteSettings::default()
        };
        let spec = JobSpec {
            queue: queue.pool.clone(),
            team: "team".into(),
            payload: "work".into(),
            steps,
            accepted: WallTime(WALL.0 + at),
            route,
            ..JobSpec::default()
        };
        Arrival { at, id: format!("{:016x}", rng.u64(..)).into(), spec: Arc::new(spec), work }
    }
}

/// The longest step in which the next job is looked for, in milliseconds.
const STEP_MS: f64 = 100.0;

/// The name of a rack of the site.
pub(crate) fn rack_name(number: u32) -> Name {
    format!("rack-{number}").into()
}

/// A size around its mean, none far above it.
fn spread(mean: f64, rng: &mut Rng) -> f64 {
    // The sum of twelve has about the normal distribution.
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (mean * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()).min(mean * LARGEST)
}
