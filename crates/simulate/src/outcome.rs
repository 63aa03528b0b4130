//! The measurements of a simulation: job completion and cost.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{JobSpec, Name, coordinator::objective_ms};
use fuchsiamill_model::units::Millisecond;

use crate::{load::Arrival, pool_meter::PoolTime};

/// A job that takes more than this many times its objective counts as lost, as its result is of no use.
const MAX_LATENESS_FACTOR: u64 = 3;

/// The result of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Jobs that arrived.
    pub jobs: u64,
    /// Jobs that were completed within their objective.
    pub in_time: u64,
    /// Jobs that were completed later, but within three times their objective.
    pub late: u64,
    /// Jobs that were completed still later or not at all.
    pub lost: u64,
    /// The work of the jobs that were completed in time, as a fraction of all work.
    pub work_in_time: f64,
    /// Host seconds in pools other than the spare pool, while jobs arrive.
    pub host_s: f64,
    /// The host seconds of each pool other than the spare pool, and what they were held for.
    pub pools: BTreeMap<Name, PoolTime>,
    /// Processor seconds of all started runs, without long-running ones.
    pub core_s: f64,
    /// Moves of hosts to another pool.
    pub moves: u64,
    /// Runs that were started outside the rack of their data.
    pub far_tasks: u64,
    /// Runs that the coordinator stopped, or ended by moving or maintaining their host, before completion.
    pub aborted_runs: u64,
    /// The longest time from a job's arrival to the first start of one of its tasks.
    pub longest_wait_ms: Millisecond,
    /// The times from arrival to completion of the jobs that were completed, in ascending order.
    pub times: Vec<Millisecond>,
}

impl Outcome {
    /// Returns the fraction of jobs that were completed in time.
    pub fn fraction_in_time(&self) -> f64 {
        self.in_time as f64 / (self.jobs as f64).max(1.0)
    }

    /// Returns the time within which this fraction of the completed jobs was completed.
    pub fn time_ms(&self, rank: f64) -> Millisecond {
        let at = (self.times.len() as f64 * rank) as usize;
        self.times.get(at.min(self.times.len().saturating_sub(1))).copied().unwrap_or(0)
    }

    /// Counts a job by the time that it took, which is `None` if it was not completed.
    pub(crate) fn count(&mut self, arrival: &Arrival, took: Option<Millisecond>) {
        self.jobs += 1;
        let objective = objective_ms(&arrival.spec, chain_ms(arrival));
        match took {
            Some(it) if it <= objective => self.in_time += 1,
            Some(it) if it <= MAX_LATENESS_FACTOR * objective => self.late += 1,
            _ => self.lost += 1,
        }
    }
}

/// Returns the run time of the longest chain of tasks, if all of them run near their data.
fn chain_ms(arrival: &Arrival) -> Millisecond {
    // In generated jobs, each step depends on all earlier steps.
    arrival.work.iter().map(|it| it.iter().copied().max().unwrap_or(0)).sum()
}

/// Returns the total work of a job in millicore-milliseconds.
pub(crate) fn work_of(arrival: &Arrival) -> u64 {
    let JobSpec { steps, .. } = &*arrival.spec;
    let pairs = steps.iter().zip(&arrival.work);
    pairs.map(|(step, work)| u64::from(step.size.millicores) * work.iter().sum::<u64>()).sum()
}
