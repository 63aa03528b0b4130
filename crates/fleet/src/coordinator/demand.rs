//! How much work a pool gets, and how much it is about to get.

use std::collections::VecDeque;

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use crate::{Name, Step};

/// The window over which arriving jobs are counted.
const ARRIVAL_MS: Millisecond = 1_000;

/// The newest job has at least this part of the mean of jobs.
const MEAN_JOBS: u64 = 64;

/// A pool is shrunk to the most that it needed within this time: arrivals have gaps.
const HOLD_MS: Millisecond = 1_500;

/// A rack is asked for a host by as much work as loses this much of a host's time far away, in per cent.
const RACK_EXTRA_PERCENT: u64 = 25;

/// What work takes: sums of sizes, or sizes times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Load {
    /// What `count` times a size takes.
    pub fn of(size: Resources, count: u64) -> Self {
        Self {
            millicores: u64::from(size.millicores).saturating_mul(count),
            memory_mib: u64::from(size.memory_mib).saturating_mul(count),
            accelerators: u64::from(size.accelerators).saturating_mul(count),
        }
    }

    /// The sum.
    pub fn plus(self, other: Load) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, zero where `other` is larger.
    pub fn minus(self, other: Load) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The smaller amount in every dimension.
    pub fn at_most(self, other: Load) -> Self {
        self.minus(self.minus(other))
    }

    /// The processors of the hosts that it needs, in millicores: memory and accelerators count as the processors of the
    /// hosts that have as much.
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

    /// The mean of `count` loads of which `newest` is the last and `self` the mean of the others.
    fn with_newest(self, newest: Load, count: u64) -> Self {
        let part = |mean: u64, newest: u64| mean - mean / count + newest / count;
        Self {
            millicores: part(self.millicores, newest.millicores),
            memory_mib: part(self.memory_mib, newest.memory_mib),
            accelerators: part(self.accelerators, newest.accelerators),
        }
    }
}

/// The hosts that a step asks for among those of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Wish {
    /// Hosts with a label: it runs on no others.
    Label(Name),
    /// Hosts in the rack of its data: it is slow on others.
    Rack(Name),
}

impl Wish {
    /// What a step asks for.
    pub fn all_of(step: &Step) -> impl Iterator<Item = Wish> {
        let label = step.label.clone().map(Wish::Label);
        label.into_iter().chain(step.rack.clone().map(Wish::Rack))
    }

    /// Whether a host with these labels will do.
    pub fn is_met_by(&self, labels: &[Name]) -> bool {
        let (Wish::Label(wanted) | Wish::Rack(wanted)) = self;
        labels.contains(wanted)
    }

    /// Hosts of `host` millicores to ask for, where work far from its data takes `far_percent` of its time near it. A rack
    /// is asked for a host that will be full enough: less work is done far away at a lower price than the host's.
    pub fn hosts_for(&self, millicores: u64, host: u64, far_percent: u64) -> u64 {
        match self {
            Wish::Label(_) => millicores.div_ceil(host),
            Wish::Rack(_) => {
                let extra = far_percent.saturating_sub(100).max(RACK_EXTRA_PERCENT);
                millicores.saturating_add(host - host * RACK_EXTRA_PERCENT / extra) / host
            }
        }
    }
}

/// Whose demand is kept: a whole pool's, or that of the part which asks for certain hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DemandKey {
    /// The pool.
    pub pool: Name,
    /// The part.
    pub wish: Option<Wish>,
}

/// What a pool, or a part of its work, asks for.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// When jobs arrived.
    arrivals: VecDeque<Moment>,
    /// The usual work of a job, in sizes times milliseconds.
    mean_work: Load,
    /// Jobs that the mean is made of.
    jobs: u64,
    /// Needs of the last while, each larger than those after it.
    needs: VecDeque<(Moment, u64)>,
}

impl Demand {
    /// A job has arrived.
    pub fn note(&mut self, now: Moment, work: Load) {
        self.arrivals.push_back(now);
        self.jobs = (self.jobs + 1).min(MEAN_JOBS);
        self.mean_work = self.mean_work.with_newest(work, self.jobs);
    }

    /// The most hosts needed within the last while, with `need` as the newest.
    pub fn most_needed(&mut self, need: u64, now: Moment) -> u64 {
        while self.needs.back().is_some_and(|it| it.1 <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        while self.needs.front().is_some_and(|it| now.since(it.0) > HOLD_MS) {
            self.needs.pop_front();
        }
        self.needs.front().map_or(need, |it| it.1)
    }

    /// What arrivals will keep in use when a host that is ordered now is there: as many jobs as in the last second, and
    /// what that second had more than the one before, each of the usual work. Large jobs are no growth.
    pub fn expected(&mut self, now: Moment) -> Load {
        while self.arrivals.front().is_some_and(|it| now.since(*it) > 2 * ARRIVAL_MS) {
            self.arrivals.pop_front();
        }
        let all = self.arrivals.len() as u64;
        let is_recent = |it: &&Moment| now.since(**it) <= ARRIVAL_MS;
        let recent = self.arrivals.iter().filter(is_recent).count() as u64;
        let growth = (2 * recent).saturating_sub(all);
        self.mean_work.map(|it| (recent + growth).saturating_mul(it) / ARRIVAL_MS)
    }

    /// Whether nothing has arrived or was needed lately.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_old = |at: Moment| now.since(at) > 2 * ARRIVAL_MS;
        self.arrivals.back().is_none_or(|it| is_old(*it))
            && self.needs.back().is_none_or(|it| is_old(it.0))
    }
}
