//! How far predictions of run times are off: the candidates for the model of durations, on seeded loads.

mod candidates;
mod uses;

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_fleet::{Name, durations::TaskProfile};
use fuchsiamill_model::units::Millisecond;
use fuchsiamill_simulate::{Arrival, Load, Variation};

use candidates::Candidate;
pub use uses::{UsesArgs, run as run_uses};

/// Seeds that are played one after the other.
const SEEDS: u64 = 5;

/// How long jobs come: five peaks of each queue.
const LENGTH_MS: Millisecond = 100_000;

/// The teams that jobs come from.
const TEAMS: u64 = 20;

/// The time after which running tasks are predicted again.
const CHECKED_AT_MS: Millisecond = 1_500;

/// compare predictions of run times
#[derive(FromArgs)]
#[argh(subcommand, name = "durations")]
pub struct DurationsArgs {
    /// how many seeds are played (5)
    #[argh(option, default = "SEEDS")]
    seeds: u64,

    /// how many times as long the tasks of a queue take from the middle on (1)
    #[argh(option, default = "1.0")]
    change: f64,
}

/// A task as a candidate sees it.
pub(crate) struct Task {
    queue: Name,
    team: Name,
    step: u16,
    arrival: usize,
    estimate_ms: Millisecond,
    took_ms: Millisecond,
}

/// The errors of a candidate: of all tasks, and of those that still run after [`CHECKED_AT_MS`].
#[derive(Default)]
struct Errors {
    all: Vec<f64>,
    running: Vec<f64>,
}

/// Prints one table for each load.
pub fn run(args: &DurationsArgs) -> Result<()> {
    for estimate in [0.2, 0.5, 0.9] {
        for tasks in [0.15, 0.3] {
            for slow in [0.0, 0.03] {
                let variation = Variation { estimate, tasks: Some(tasks), slow };
                println!("\nestimates {estimate}, tasks {tasks}, slow tasks {slow}:");
                print_table(args, variation);
            }
        }
    }
    print_memory();
    Ok(())
}

fn print_table(args: &DurationsArgs, variation: Variation) {
    println!("| Candidate | Median | 95 % | Running, median | Running, 95 % |");
    println!("|---|---|---|---|---|");
    let load = Load { variation, ..Load::four_queues(1.0, 0.0, LENGTH_MS) };
    let plays: Vec<Vec<Arrival>> = (0..args.seeds).map(|it| load.arrivals(it, 1)).collect();
    for make in candidates::ALL {
        let mut errors = Errors::default();
        let mut name = "";
        for arrivals in &plays {
            let mut candidate = make();
            name = candidate.name();
            play(arrivals, args.change, candidate.as_mut(), &mut errors);
        }
        let [a, b] = quantiles(&mut errors.all);
        let [c, d] = quantiles(&mut errors.running);
        println!("| {name} | {a:.3} | {b:.3} | {c:.3} | {d:.3} |");
    }
}

/// Predicts each task when its job arrives, and learns from it when it would end without waiting.
fn play(arrivals: &[Arrival], change: f64, candidate: &mut dyn Candidate, errors: &mut Errors) {
    let mut ends: Vec<(Millisecond, Task)> = Vec::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let mut at = arrival.at;
        let factor = if number >= arrivals.len() / 2 { change } else { 1.0 };
        for (step, times) in arrival.work.iter().enumerate() {
            let times = times.iter().map(|it| (*it as f64 * factor) as Millisecond + 1);
            let times: Vec<Millisecond> = times.collect();
            for took_ms in &times {
                let task = Task {
                    queue: arrival.spec.queue.clone(),
                    team: format!("team-{}", number as u64 % TEAMS).into(),
                    step: step as u16,
                    arrival: number,
                    estimate_ms: arrival.spec.steps[step].estimate_ms,
                    took_ms: *took_ms,
                };
                ends.push((at + took_ms, task));
            }
            at += times.iter().max().copied().unwrap_or(0);
        }
    }
    ends.sort_by_key(|it| it.0);
    let mut ends = ends.into_iter().peekable();
    for (number, arrival) in arrivals.iter().enumerate() {
        while let Some((_, task)) = ends.next_if(|it| it.0 <= arrival.at) {
            candidate.learn(&profile(&task, arrivals), task.took_ms);
        }
        let factor = if number >= arrivals.len() / 2 { change } else { 1.0 };
        for (step, times) in arrival.work.iter().enumerate() {
            let team = Name::from(format!("team-{}", number as u64 % TEAMS));
            let spec = &arrival.spec;
            let profile = TaskProfile {
                queue: &spec.queue,
                step: step as u16,
                size: spec.steps[step].size,
                team: &team,
                estimate_ms: spec.steps[step].estimate_ms,
            };
            let first = candidate.predict(&profile, 0);
            let later = candidate.predict(&profile, CHECKED_AT_MS).max(CHECKED_AT_MS as f64);
            for took in times.iter().map(|it| *it as f64 * factor + 1.0) {
                errors.all.push((took / first).ln().abs());
                if took > CHECKED_AT_MS as f64 {
                    errors.running.push((took / later).ln().abs());
                }
            }
        }
    }
}

fn profile<'a>(task: &'a Task, arrivals: &'a [Arrival]) -> TaskProfile<'a> {
    TaskProfile {
        queue: &task.queue,
        step: task.step,
        size: arrivals[task.arrival].spec.steps[usize::from(task.step)].size,
        team: &task.team,
        estimate_ms: task.estimate_ms,
    }
}

/// Returns the median and the 95 % quantile.
fn quantiles(values: &mut [f64]) -> [f64; 2] {
    values.sort_by(f64::total_cmp);
    let at = |rank: f64| values.get((values.len() as f64 * rank) as usize).copied();
    [0.5, 0.95].map(|it| at(it).unwrap_or(f64::NAN))
}

/// Prints the memory of one distribution of times.
fn print_memory() {
    let buckets = candidates::new_histogram().distinct_values();
    println!("\nhdrhistogram, 2 digits: {buckets} counters of 4 bytes a key");
    let own = std::mem::size_of::<f32>() * fuchsiamill_fleet::durations::SKETCH_BUCKETS;
    println!("logarithmic buckets: {own} bytes a key");
}
