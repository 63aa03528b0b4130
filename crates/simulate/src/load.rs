//! Generates the jobs that callers submit: queues whose demand peaks in turn.

use std::sync::Arc;

use fastrand::Rng;
use fuchsiamill_fleet::{JobSpec, Name, Step, job::RouteSettings};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, WallTime},
};

/// The wall-clock time at which each simulation begins.
pub const START_WALL_TIME: WallTime = WallTime(1_700_000_000_000);

/// A queue's demand between its peaks, as a fraction of its mean.
const OFF_PEAK_FRACTION: f64 = 0.05;

/// The standard deviation of the logarithm of sizes and estimates, where a load states no other.
const SIZE_LOG_DEVIATION: f64 = 0.5;

/// The maximum size, as a multiple of the mean.
const MAX_SIZE_FACTOR: f64 = 4.0;

/// How many times as long a slow task takes.
const SLOW_FACTOR: f64 = 7.0;

/// The load of one queue.
#[derive(Clone, Debug)]
pub struct QueueLoad {
    /// The pool that runs the queue's jobs; the queue has the same name.
    pub pool: Name,
    /// The mean arrival rate over the whole simulation, in jobs per second.
    pub per_s: f64,
    /// The mean number of tasks per step.
    pub tasks: f64,
    /// The mean processor demand of a task; its memory in MiB is the same number.
    pub millicores: f64,
    /// The mean run time of a task.
    pub task_ms: f64,
    /// The fraction of steps whose data is in one of the site's racks.
    pub near: f64,
    /// The priority of its jobs; 0 comes first.
    pub priority: u32,
}

/// How much jobs differ: standard deviations of logarithms.
#[derive(Clone, Debug)]
pub struct Spread {
    /// Of the number of tasks of a step.
    pub tasks: f64,
    /// Of the size and the mean run time of tasks between steps.
    pub size: f64,
}

/// The load of a site.
#[derive(Clone, Debug)]
pub struct Load {
    /// The queues, in the order of their peaks.
    pub queues: Vec<QueueLoad>,
    /// The duration of each queue's peak.
    pub peak_ms: Millisecond,
    /// The time during which jobs arrive.
    pub length_ms: Millisecond,
    /// A job's objective is `stretch` times its longest chain of work, plus `objective_ms`.
    pub stretch: f64,
    /// The fixed part of a job's objective.
    pub objective_ms: Millisecond,
    /// How run times differ from their estimates and from each other.
    pub variation: Variation,
    /// How much jobs differ.
    pub spread: Spread,
    /// The fraction of jobs with two steps; the others have one.
    pub two_steps: f64,
    /// The long-running tasks of each queue. They are one job that arrives first and runs until the end.
    pub lasting_tasks: u32,
}

/// How run times differ from their estimates and from each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Variation {
    /// The standard deviation of the logarithm of a step's estimate around its mean run time.
    pub estimate: f64,
    /// The standard deviation of the logarithm of the run times in a step; `None` for times that are distributed evenly
    /// within 30 % of the step's mean.
    pub tasks: Option<f64>,
    /// The fraction of tasks that take [`SLOW_FACTOR`] times as long.
    pub slow: f64,
}

impl Default for Variation {
    fn default() -> Self {
        Self { estimate: SIZE_LOG_DEVIATION, tasks: None, slow: 0.0 }
    }
}

impl Variation {
    /// Draws the run time of a task of a step with this mean.
    fn run_ms(&self, mean_ms: f64, rng: &mut Rng) -> Millisecond {
        let usual = match self.tasks {
            Some(deviation) => mean_ms * random_factor(deviation, rng),
            None => mean_ms * (0.7 + 0.6 * rng.f64()),
        };
        let is_slow = self.slow > 0.0 && rng.f64() < self.slow;
        (if is_slow { usual * SLOW_FACTOR } else { usual }) as Millisecond + 1
    }
}

/// The actual run times: for each step, one per task.
pub type Work = Vec<Vec<Millisecond>>;

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The arrival time, since the start of the simulation.
    pub at: Millisecond,
    /// The job id.
    pub id: Name,
    /// The job as the caller specifies it, with estimated run times.
    pub spec: Arc<JobSpec>,
    /// The actual run times of the job's tasks.
    pub work: Work,
}

impl Arrival {
    /// Returns whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.spec.long_running()
    }
}

impl Load {
    /// Returns a load of two queues with many short jobs and two with fewer long ones, which peak in turn for five
    /// seconds. `times` scales the arrival rates; `near` is the fraction of steps with their data in a rack.
    pub fn four_queues(times: f64, near: f64, length_ms: Millisecond) -> Self {
        let queue = |pool: &str, per_s: f64, tasks: f64, millicores: f64, task_ms: f64| QueueLoad {
            pool: pool.into(),
            per_s: per_s * times,
            tasks,
            millicores,
            task_ms,
            near,
            priority: 0,
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
            spread: Spread { tasks: SIZE_LOG_DEVIATION, size: SIZE_LOG_DEVIATION },
            two_steps: 0.5,
            lasting_tasks: 0,
            variation: Variation::default(),
        }
    }

    /// Returns a load of four queues of a site with hosts of `cores` cores, of which each queue's peak asks for more than its
    /// pool holds. Sizes are in millicores; the rates suit pools of 16 such hosts.
    pub fn hard(cores: u32, length_ms: Millisecond) -> Self {
        let is_large = cores >= 64;
        let (small, large) = if is_large { (6_500.0, 12_000.0) } else { (3_500.0, 6_500.0) };
        let (short_ms, long_ms) = if is_large { (1_000.0, 1_300.0) } else { (850.0, 1_100.0) };
        let queue = |pool: &str, millicores: f64, task_ms: f64| {
            // A peak asks for 1.2 times the room of the pool; see `Load::rate`.
            let job_ms = 1.5 * 8.0 * millicores * task_ms;
            let per_s = 1.2 * 16.0 * f64::from(cores) * 1e6 / job_ms / 3.85;
            QueueLoad {
                pool: pool.into(),
                per_s,
                tasks: 8.0,
                millicores,
                task_ms,
                near: 0.0,
                priority: 0,
            }
        };
        Self {
            queues: vec![
                queue("checks", small, short_ms),
                queue("drafts", large, long_ms),
                queue("notices", small, short_ms),
                queue("plans", large, long_ms),
            ],
            peak_ms: 5_000,
            length_ms,
            stretch: 1.6,
            objective_ms: 600,
            spread: Spread { tasks: SIZE_LOG_DEVIATION, size: SIZE_LOG_DEVIATION },
            two_steps: 0.5,
            lasting_tasks: 0,
            variation: Variation::default(),
        }
    }

    /// Returns the load of [`SiteSize::uneven_pools`](crate::SiteSize::uneven_pools): the peak of each queue asks for a
    /// fifth more than its pool holds, beside long-running tasks. `times` scales the arrival rates.
    pub fn uneven_queues(times: f64, length_ms: Millisecond) -> Self {
        let queue = |pool: &str, per_s: f64, cores: f64, task_ms: f64, priority: u32| QueueLoad {
            pool: pool.into(),
            per_s: per_s * times,
            tasks: 8.0,
            millicores: cores * 1_000.0,
            task_ms,
            near: 0.0,
            priority,
        };
        Self {
            queues: vec![
                queue("plans", 7.0, 13.0, 1_300.0, 1),
                queue("drafts", 8.9, 10.0, 1_200.0, 1),
                queue("notices", 11.0, 8.0, 1_100.0, 0),
                queue("checks", 14.3, 6.0, 1_000.0, 0),
            ],
            peak_ms: 5_000,
            length_ms,
            stretch: 1.6,
            objective_ms: 600,
            spread: Spread { tasks: 0.0, size: 0.15 },
            two_steps: 0.8,
            lasting_tasks: 24,
            variation: Variation { estimate: 0.35, ..Variation::default() },
        }
    }

    /// Generates the arriving jobs, ordered by time. The result is the same for the same seed.
    pub fn arrivals(&self, seed: u64, racks: u32) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        if self.lasting_tasks > 0 {
            arrivals.extend(self.queues.iter().map(|it| self.lasting_job(it)));
        }
        for index in 0..self.queues.len() {
            let mut at = 0.0;
            loop {
                let rate = self.rate(index, at as Millisecond).max(f64::MIN_POSITIVE);
                // Advances by at most a tenth of a second at a time, so that no peak is skipped.
                let gap = -(1.0 - rng.f64()).ln() / rate * 1_000.0;
                if gap > MAX_STEP_MS {
                    at += MAX_STEP_MS;
                } else {
                    at += gap;
                    arrivals.push(self.arrival(index, at as Millisecond, racks, &mut rng));
                }
                if at >= self.length_ms as f64 {
                    break;
                }
            }
        }
        arrivals.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        arrivals
    }

    /// Returns the arrival rate of the queue `index` at the time `at`, in jobs per second.
    fn rate(&self, index: usize, at: Millisecond) -> f64 {
        let turns = self.queues.len().max(1);
        let is_peak = (at / self.peak_ms.max(1)) as usize % turns == index;
        let peak = turns as f64 - OFF_PEAK_FRACTION * (turns - 1) as f64;
        self.queues[index].per_s * if is_peak { peak } else { OFF_PEAK_FRACTION }
    }

    fn arrival(&self, index: usize, at: Millisecond, racks: u32, rng: &mut Rng) -> Arrival {
        let queue = &self.queues[index];
        let count = if rng.f64() < 1.0 - self.two_steps { 1 } else { 2 };
        let mut steps = Vec::new();
        let mut work = Vec::new();
        for number in 0..count {
            let tasks = random_size(queue.tasks, self.spread.tasks, rng).round().max(1.0) as u32;
            let millicores = random_size(queue.millicores, self.spread.size, rng).max(100.0) as u32;
            let mean_ms = random_size(queue.task_ms, self.spread.size, rng);
            let rack = (rng.f64() < queue.near).then(|| rack_name(rng.u32(0..racks.max(1))));
            steps.push(Step {
                count: tasks,
                size: Resources { millicores, memory_mib: millicores, accelerators: 0 },
                estimate_ms: random_size(mean_ms, self.variation.estimate, rng) as Millisecond + 1,
                after: (0..number).collect(),
                rack,
                ..Step::default()
            });
            work.push((0..tasks).map(|_| self.variation.run_ms(mean_ms, rng)).collect());
        }
        let id = format!("{:016x}", rng.u64(..)).into();
        Arrival { at, id, spec: Arc::new(self.spec(queue, steps, at)), work }
    }

    /// Returns the job of a queue's long-running tasks, of which a fifth may be unavailable at the same time.
    fn lasting_job(&self, queue: &QueueLoad) -> Arrival {
        let count = self.lasting_tasks;
        let millicores = LASTING_MILLICORES;
        let step = Step {
            count,
            size: Resources { millicores, memory_mib: millicores, accelerators: 0 },
            long_running: true,
            max_unavailable: Some(count.div_ceil(5)),
            ..Step::default()
        };
        Arrival {
            at: 0,
            id: format!("lasting-{}", queue.pool).into(),
            spec: Arc::new(self.spec(queue, vec![step], 0)),
            work: vec![vec![LASTING_MS; count as usize]],
        }
    }

    fn spec(&self, queue: &QueueLoad, steps: Vec<Step>, at: Millisecond) -> JobSpec {
        let route = RouteSettings {
            pool: queue.pool.clone(),
            max_attempts: 3,
            stretch: self.stretch,
            objective_ms: self.objective_ms,
            priority: queue.priority,
            ..RouteSettings::default()
        };
        JobSpec {
            queue: queue.pool.clone(),
            team: "team".into(),
            payload: "work".into(),
            steps,
            accepted: WallTime(START_WALL_TIME.0 + at),
            route,
            ..JobSpec::default()
        }
    }
}

/// The processor demand of a long-running task.
const LASTING_MILLICORES: u32 = 4_000;

/// The run time of a long-running task: beyond the end of any simulation.
const LASTING_MS: Millisecond = 1_000_000_000;

/// The longest step of virtual time when the next arrival is drawn, in milliseconds.
const MAX_STEP_MS: f64 = 100.0;

/// Returns the name of a rack.
pub(crate) fn rack_name(number: u32) -> Name {
    format!("rack-{number}").into()
}

/// Draws a log-normally distributed size with this mean and this standard deviation of its logarithm, limited to
/// [`MAX_SIZE_FACTOR`] times the mean.
fn random_size(mean: f64, deviation: f64, rng: &mut Rng) -> f64 {
    (mean * random_factor(deviation, rng)).min(mean * MAX_SIZE_FACTOR)
}

/// Draws a log-normally distributed factor with the mean 1.
fn random_factor(deviation: f64, rng: &mut Rng) -> f64 {
    // The sum of twelve uniform values, less 6, is approximately a standard normal value.
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (deviation * normal - deviation * deviation / 2.0).exp()
}
