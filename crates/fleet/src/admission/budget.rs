//! The room that a pool leaves for a job, and an entry host's share of it.

use std::collections::VecDeque;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use super::capacity::{PoolCapacity, size_class};
use crate::{JobSpec, coordinator::objective_ms};

/// How long a job may wait for room, in per cent of the time that its objective leaves beyond its longest chain of work. With 60,
/// half as many jobs again were accepted in a surge and worth nothing; with 40, bursts of a load that leaves two thirds of the
/// site free were refused.
const WAIT_PERCENT: u64 = 50;

/// Each entry host may use so many times its share of the room. A share is one or two jobs, so that most shares stay unused
/// while a few entry hosts get several jobs by chance. With a factor of 1, a tenth of the jobs of a load without any surge
/// were refused; with 8, a surge of seven times let in a half more jobs that were worth nothing.
const SHARE_FACTOR: f64 = 4.0;

/// The mean time until a host that is about to come takes tasks. A move takes 1.5 s, of which some have waited a part.
const COMING_MS: Millisecond = 900;

/// The time from the acceptance of a job until the coordinator knows it: an insertion and the feed, each some 20 ms, on an
/// entry host with a full link.
const KNOWN_MS: Millisecond = 150;

/// What a job asks of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Whether the team has used up its weight.
    pub is_excess: bool,
    /// The job's work in millicore-milliseconds.
    pub work: u64,
    /// The longest chain of its work.
    pub path: Millisecond,
    /// The time within which it should be completed.
    pub objective: Millisecond,
}

impl Demand {
    /// Returns what a job asks of a pool with such hosts, going by its own estimates.
    pub fn of(spec: &JobSpec, host: Resources, is_excess: bool) -> Self {
        let path = spec.path_ms(|step| spec.steps[step].estimate_ms);
        Self {
            priority: spec.route.priority,
            is_excess,
            work: spec.work_on(host, |step| spec.steps[step].estimate_ms),
            path,
            objective: objective_ms(spec, path),
        }
    }

    /// Returns what orders jobs of teams within their weight: the smallest gets room first.
    fn order(&self) -> (u32, u32) {
        (self.priority, size_class(self.work))
    }
}

/// The work that an entry host has accepted for one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Accepted {
    jobs: VecDeque<(Moment, Demand)>,
}

/// What an entry host lacks to admit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fit {
    /// There is room for the job.
    Fits,
    /// The room of the whole pool lacks this much work.
    Lacks(u64),
}

impl Accepted {
    pub(super) fn note(&mut self, demand: Demand, now: Moment) {
        self.jobs.push_back((now, demand));
    }

    /// Forgets jobs that data computed at `at` includes.
    pub(super) fn forget_known(&mut self, at: Moment) {
        while self.jobs.front().is_some_and(|it| it.0 + KNOWN_MS < at) {
            self.jobs.pop_front();
        }
    }

    /// Returns the accepted work that comes before a job.
    fn ahead_of(&self, demand: &Demand) -> u64 {
        let is_ahead = |it: &Demand| match demand.is_excess {
            true => true,
            false => !it.is_excess && it.order() <= demand.order(),
        };
        let ahead = self.jobs.iter().filter(|it| is_ahead(&it.1)).map(|it| it.1.work);
        ahead.fold(0, u64::saturating_add)
    }

    /// Returns all accepted work.
    pub(super) fn work(&self) -> u64 {
        self.jobs.iter().map(|it| it.1.work).fold(0, u64::saturating_add)
    }

    /// Returns whether a job fits into this entry host's share of the room, which the data described `age` ago.
    pub(super) fn fits(
        &self,
        capacity: &PoolCapacity,
        age: Millisecond,
        share: f64,
        demand: &Demand,
    ) -> Fit {
        let room = room(capacity, age, demand);
        let factor = if room > 0.0 { SHARE_FACTOR } else { 1.0 };
        let own_room = room * factor * share - self.ahead_of(demand) as f64;
        let work = demand.work as f64;
        match own_room >= work.max(1.0) {
            true => Fit::Fits,
            // Where only this entry host's share is used up, other entry hosts have room.
            false => Fit::Lacks((work - room).max(0.0) as u64),
        }
    }
}

/// Returns the work that the pool can still accept before a job would wait for too long; negative if more than that waits
/// already.
fn room(capacity: &PoolCapacity, age: Millisecond, demand: &Demand) -> f64 {
    let slack = demand.objective.saturating_sub(demand.path);
    let wait = slack.saturating_mul(WAIT_PERCENT) / 100;
    let work = |millicores: u64, ms: Millisecond| millicores as f64 * ms as f64;
    let ahead = capacity.ahead_of(demand.priority, demand.is_excess, demand.work);
    work(capacity.rate, wait.saturating_add(age))
        + work(capacity.free, demand.path)
        + work(capacity.coming, slack.saturating_add(age).saturating_sub(COMING_MS))
        - ahead as f64
}
