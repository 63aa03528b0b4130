//! What callers got, and what it cost.

use fuchsiamill_fleet::{JobSpec, coordinator::objective_ms};
use fuchsiamill_model::units::Millisecond;

use crate::load::Arrival;

/// A job that took more than this many times its objective was of no use.
const USEFUL: u64 = 3;

/// What a play gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Jobs that came.
    pub jobs: u64,
    /// Those that were done within their objective.
    pub in_time: u64,
    /// Those that were done later, but within three times their objective.
    pub late: u64,
    /// Those that were done still later, or not at all.
    pub lost: u64,
    /// Work of the jobs that were done in time, as a part of all work.
    pub work_in_time: f64,
    /// Seconds of hosts in pools that cost.
    pub host_s: f64,
    /// Processor seconds of tasks.
    pub core_s: f64,
    /// Hosts that changed their pool.
    pub moves: u64,
    /// Tasks that ran far from their data.
    pub far_tasks: u64,
    /// Runs that were ended before they were done.
    pub aborted_runs: u64,
    /// The longest time from a job's coming to its first start.
    pub longest_wait_ms: Millisecond,
}

impl Outcome {
    /// The part of the jobs that were done in time.
    pub fn fraction_in_time(&self) -> f64 {
        self.in_time as f64 / (self.jobs as f64).max(1.0)
    }

    pub(crate) fn count(&mut self, arrival: &Arrival, took: Option<Millisecond>) {
        self.jobs += 1;
        let objective = objective_ms(&arrival.spec, chain_ms(arrival));
        match took {
            Some(it) if it <= objective => self.in_time += 1,
            Some(it) if it <= USEFUL * objective => self.late += 1,
            _ => self.lost += 1,
        }
    }
}

/// The longest chain of a job's work, near its data.
fn chain_ms(arrival: &Arrival) -> Millisecond {
    // Each step of these jobs follows all before it.
    arrival.work.iter().map(|it| it.iter().copied().max().unwrap_or(0)).sum()
}

/// A job's work in millicore-milliseconds.
pub(crate) fn work_of(arrival: &Arrival) -> u64 {
    let JobSpec { steps, .. } = &*arrival.spec;
    let pairs = steps.iter().zip(&arrival.work);
    pairs.map(|(step, work)| u64::from(step.size.millicores) * work.iter().sum::<u64>()).sum()
}
