//! Demand on pools: the work that arrives, and a forecast of the work to come.

use std::collections::VecDeque;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use crate::{Name, Step};

/// The window over which arriving jobs are counted.
const ARRIVAL_WINDOW_MS: Millisecond = 1_000;

/// The mean work of a job follows about this many jobs: the newest weighs at least one in this many.
const MEAN_WINDOW_JOBS: u64 = 64;

/// The fewest jobs within a quarter of the window that show a rise: two may come together by chance while a queue is
/// nearly idle, and hosts for four times their number would move for nothing.
const MIN_RISE_JOBS: u64 = 3;

/// A pool keeps the most hosts that it needed within this time, since arrivals have gaps.
const PEAK_WINDOW_MS: Millisecond = 1_500;

/// One more host in a rack is requested once its work would lose this share of a host's time if it ran far away, in per
/// cent.
const RACK_MIN_LOSS_PERCENT: u64 = 25;

/// The resources that work takes: sums of sizes, or of sizes times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Load {
    /// Returns what `count` times a size takes.
    pub fn of(size: Resources, count: u64) -> Self {
        Self {
            millicores: u64::from(size.millicores).saturating_mul(count),
            memory_mib: u64::from(size.memory_mib).saturating_mul(count),
            accelerators: u64::from(size.accelerators).saturating_mul(count),
        }
    }

    /// Returns the sum.
    pub fn plus(self, other: Load) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, zero where `other` is larger.
    pub fn minus(self, other: Load) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the smaller amount in every dimension.
    pub fn at_most(self, other: Load) -> Self {
        self.minus(self.minus(other))
    }

    /// Returns the processors of the hosts that the load needs, in millicores. Memory and accelerators count as the
    /// processors of the hosts that have as much of them.
    pub fn millicores_on(self, host: Resources) -> u64 {
        let as_processors = |part: u64, of: u32| match of {
            0 => 0,
            of => part.saturating_mul(host.millicores.into()) / u64::from(of),
        };
        self.millicores
            .max(as_processors(self.memory_mib, host.memory_mib))
            .max(as_processors(self.accelerators, host.accelerators))
    }

    fn map(self, f: impl Fn(u64) -> u64) -> Self {
        Self {
            millicores: f(self.millicores),
            memory_mib: f(self.memory_mib),
            accelerators: f(self.accelerators),
        }
    }

    /// Returns the mean of `count` loads, where `newest` is the last and `self` the mean of the others.
    fn with_newest(self, newest: Load, count: u64) -> Self {
        let part = |mean: u64, newest: u64| mean - mean / count + newest / count;
        Self {
            millicores: part(self.millicores, newest.millicores),
            memory_mib: part(self.memory_mib, newest.memory_mib),
            accelerators: part(self.accelerators, newest.accelerators),
        }
    }
}

/// Hosts that a step asks for among those of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostAffinity {
    /// Hosts with a label; the step runs on no others.
    Label(Name),
    /// Hosts in the rack of the step's data; the step is slow on others.
    Rack(Name),
}

impl HostAffinity {
    /// Returns the affinities of a step.
    pub fn of_step(step: &Step) -> impl Iterator<Item = HostAffinity> {
        let label = step.label.clone().map(HostAffinity::Label);
        label.into_iter().chain(step.rack.clone().map(HostAffinity::Rack))
    }

    /// Returns whether a host with these labels satisfies the affinity.
    pub fn is_met_by(&self, labels: &[Name]) -> bool {
        let (HostAffinity::Label(wanted) | HostAffinity::Rack(wanted)) = self;
        labels.contains(wanted)
    }

    /// Returns how many hosts of `host` millicores to request, where work far from its data takes `far_percent` of its
    /// time near it. A host in a rack is requested only if it will be full enough, because running less work far from
    /// its data costs less than the host.
    pub fn hosts_for(&self, millicores: u64, host: u64, far_percent: u64) -> u64 {
        match self {
            HostAffinity::Label(_) => millicores.div_ceil(host),
            HostAffinity::Rack(_) => {
                let extra = far_percent.saturating_sub(100).max(RACK_MIN_LOSS_PERCENT);
                millicores.saturating_add(host - host * RACK_MIN_LOSS_PERCENT / extra) / host
            }
        }
    }
}

/// Identifies a demand: that of a whole pool, or of the part of its work that asks for certain hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DemandKey {
    /// The pool.
    pub pool: Name,
    /// The hosts that the part asks for; `None` for the whole pool.
    pub affinity: Option<HostAffinity>,
}

/// The demand of a pool, or of a part of its work.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// When jobs arrived recently.
    arrivals: VecDeque<Moment>,
    /// The mean work of a job, in sizes times milliseconds.
    mean_work: Load,
    /// The number of jobs that the mean is taken over.
    jobs: u64,
    /// Numbers of hosts needed recently, each larger than those after it.
    recent_needs: VecDeque<(Moment, u64)>,
}

/// The numbers of jobs that arrived recently.
struct Arrivals {
    /// Within two windows.
    all: u64,
    /// Within the last window.
    recent: u64,
    /// Within the last half of a window.
    latest: u64,
    /// Within the last quarter of a window.
    newest: u64,
}

impl Demand {
    /// Records the arrival of a job.
    pub fn note(&mut self, now: Moment, work: Load) {
        self.arrivals.push_back(now);
        self.jobs = (self.jobs + 1).min(MEAN_WINDOW_JOBS);
        self.mean_work = self.mean_work.with_newest(work, self.jobs);
    }

    /// Returns the most hosts needed within `PEAK_WINDOW_MS`, with `need` as the newest number.
    pub fn most_needed(&mut self, need: u64, now: Moment) -> u64 {
        while self.recent_needs.back().is_some_and(|it| it.1 <= need) {
            self.recent_needs.pop_back();
        }
        self.recent_needs.push_back((now, need));
        while self.recent_needs.front().is_some_and(|it| now.since(it.0) > PEAK_WINDOW_MS) {
            self.recent_needs.pop_front();
        }
        self.recent_needs.front().map_or(need, |it| it.1)
    }

    /// Returns the load that arrivals will cause when a host that is ordered now is available: as many jobs as in the
    /// last second, plus the growth of that second over the one before, each with the mean work. Larger jobs do not
    /// count as growth.
    pub fn expected(&mut self, now: Moment) -> Load {
        let Arrivals { recent, all, .. } = self.count_arrivals(now);
        let growth = (2 * recent).saturating_sub(all);
        self.load_of(recent + growth)
    }

    /// Returns the load that arrivals will cause, where a rise is continued up to its rate and not beyond: growth counts
    /// up to the rate of the last half second, since after a sudden rise it would lead to twice the new rate. At the start
    /// of a rise the last quarter of a second shows the rate before the growth of a second does.
    pub fn expected_at_rate(&mut self, now: Moment) -> Load {
        let Arrivals { recent, latest, newest, all } = self.count_arrivals(now);
        let growth = (2 * recent).saturating_sub(all);
        let latest_rate = 2 * (latest + latest.isqrt());
        let newest_rate = 4 * newest;
        let rises = newest >= MIN_RISE_JOBS && newest_rate > 2 * recent;
        let rate = (recent + growth).min(latest_rate).max(recent);
        self.load_of(if rises { rate.max(newest_rate) } else { rate })
    }

    fn count_arrivals(&mut self, now: Moment) -> Arrivals {
        while self.arrivals.front().is_some_and(|it| now.since(*it) > 2 * ARRIVAL_WINDOW_MS) {
            self.arrivals.pop_front();
        }
        let within = |ms: Millisecond| {
            self.arrivals.iter().rev().take_while(|it| now.since(**it) <= ms).count() as u64
        };
        Arrivals {
            all: self.arrivals.len() as u64,
            recent: within(ARRIVAL_WINDOW_MS),
            latest: within(ARRIVAL_WINDOW_MS / 2),
            newest: within(ARRIVAL_WINDOW_MS / 4),
        }
    }

    fn load_of(&self, jobs_per_window: u64) -> Load {
        self.mean_work.map(|it| jobs_per_window.saturating_mul(it) / ARRIVAL_WINDOW_MS)
    }

    /// Returns whether nothing has arrived or was needed recently.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_old = |at: Moment| now.since(at) > 2 * ARRIVAL_WINDOW_MS;
        self.arrivals.back().is_none_or(|it| is_old(*it))
            && self.recent_needs.back().is_none_or(|it| is_old(it.0))
    }
}
