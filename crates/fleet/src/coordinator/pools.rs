//! How many hosts each pool needs, and which host goes where.
//!
//! Queues peak in turn, far above what their pool holds, and lie nearly idle between: hosts follow the demand. It is
//! forecast from the work that arrived within the last second, so that hosts are on their way before tasks wait.

use std::collections::VecDeque;

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Coordinator, Host, HostDuty, Job, TaskState};
use crate::{HostState, JobSpec, Name};

/// The window over which arriving work is counted.
const ARRIVAL_MS: Millisecond = 1_000;

/// The newest job has at least this part of the mean of jobs.
const MEAN_JOBS: u64 = 64;

/// A pool is shrunk to the most that it needed within this time: arrivals have gaps.
const HOLD_MS: Millisecond = 1_500;

/// A host that was idle this long is given up when its pool has enough: a host that leaves and comes back costs as much
/// as about two seconds in a pool.
const IDLE_MS: Millisecond = 800;

/// Room beyond the expected demand, since tasks do not fill hosts evenly, in per cent.
const HEADROOM_PERCENT: u64 = 15;

/// How long a worker of a host that just came up may take until it answers.
const JOINING_MS: Millisecond = 2_500;

/// The fewest hosts that a pool keeps, so that the first jobs of a peak start at once.
const LEAST_HOSTS: u64 = 2;

/// What a pool is asked for.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// When work arrived, and how much in millicore-milliseconds.
    arrivals: VecDeque<(Moment, u64)>,
    /// The usual work of a job, in millicore-milliseconds.
    mean_work: u64,
    /// Jobs that the mean is made of.
    jobs: u64,
    /// Needs of the last while, each larger than those after it.
    needs: VecDeque<(Moment, u64)>,
}

impl Demand {
    fn note(&mut self, now: Moment, work: u64) {
        self.arrivals.push_back((now, work));
        self.jobs = (self.jobs + 1).min(MEAN_JOBS);
        let change = (work as i64 - self.mean_work as i64) / self.jobs as i64;
        self.mean_work = self.mean_work.saturating_add_signed(change);
    }

    /// The most hosts needed within the last while, with `need` as the newest.
    fn most_needed(&mut self, need: u64, now: Moment) -> u64 {
        while self.needs.back().is_some_and(|it| it.1 <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        while self.needs.front().is_some_and(|it| now.since(it.0) > HOLD_MS) {
            self.needs.pop_front();
        }
        self.needs.front().map_or(need, |it| it.1)
    }

    /// Processors that arrivals will keep busy when a host that is ordered now is there, in millicores: as many as in
    /// the last second, and what that second had more than the one before.
    fn expected(&mut self, now: Moment) -> u64 {
        while self.arrivals.front().is_some_and(|it| now.since(it.0) > 2 * ARRIVAL_MS) {
            self.arrivals.pop_front();
        }
        let is_recent = |it: &&(Moment, u64)| now.since(it.0) <= ARRIVAL_MS;
        let all = self.arrivals.len() as u64;
        let recent = self.arrivals.iter().filter(is_recent).count() as u64;
        let growth = (2 * recent).saturating_sub(all);
        (recent + growth) * self.mean_work / ARRIVAL_MS
    }
}

/// How large a pool is and has to be, and what that was decided from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// The pool.
    pub pool: Name,
    /// Hosts that are in it or on their way.
    pub hosts: u64,
    /// Hosts that it needs.
    pub wanted: u64,
    /// Processors for the work that is expected, in millicores.
    pub expected: u64,
    /// Processors for the work that is there, in millicores.
    pub present: u64,
    /// Hosts that may leave.
    pub idle: u64,
}

/// A pool as the plan sees it.
#[derive(Clone, Debug, Default)]
struct PoolView {
    /// What is told of it.
    need: PoolNeed,
    /// The most hosts that it needed lately.
    held: u64,
    /// Hosts that the tasks of one of its jobs need because they have to be apart.
    apart: u64,
    /// The processors of its largest worker, in millicores; 0 without one.
    host_millicores: u32,
    /// Hosts that may leave, longest idle first.
    idle: Vec<(Moment, Name)>,
}

impl Coordinator {
    /// Counts a new job's work as demand on its pool.
    pub(super) fn note_demand(&mut self, spec: &JobSpec, now: Moment) {
        if spec.schedule.is_some() || spec.lasts() {
            return;
        }
        let steps = spec.steps.iter().enumerate();
        let work: u64 = steps
            .map(|(number, it)| {
                let took = self.expected_ms(spec, number).max(1);
                u64::from(it.count) * u64::from(it.size.millicores) * took
            })
            .sum();
        let demand = self.demand.entry(spec.route.pool.clone()).or_default();
        demand.note(now, work);
    }

    /// Moves hosts to the pools that need them and idle ones to the spare pool.
    pub(super) fn plan_pools(&mut self, now: Moment) {
        let Some(spare) = self.config.spare_pool().map(|it| it.name.clone()) else { return };
        let mut views = self.pool_views(now);
        self.pool_needs = views.values().map(|it| it.need.clone()).collect();
        let mut free: Vec<Name> = self.spare_hosts(&spare, now);
        let mut short: Vec<Name> = views
            .iter()
            .filter(|(name, it)| **name != spare && it.need.wanted > it.need.hosts)
            .map(|(name, _)| name.clone())
            .collect();
        short.sort();
        for pool in short {
            let missing = views[&pool].need.wanted - views[&pool].need.hosts;
            for _ in 0..missing {
                let Some(host) = free.pop().or_else(|| take_idle(&mut views, &pool)) else { break };
                self.give_duty(&host, HostDuty::Move { pool: pool.clone() }, now);
            }
        }
        self.shrink(&mut views, &spare, now);
    }

    fn shrink(&mut self, views: &mut FastMap<Name, PoolView>, spare: &Name, now: Moment) {
        for (pool, view) in views.iter_mut() {
            if pool == spare {
                continue;
            }
            while view.need.hosts > view.held
                && let Some((since, host)) = view.idle.pop()
            {
                if now.since(since) < IDLE_MS {
                    break;
                }
                view.need.hosts -= 1;
                self.give_duty(&host, HostDuty::Move { pool: spare.clone() }, now);
            }
        }
    }

    fn spare_hosts(&self, spare: &Name, now: Moment) -> Vec<Name> {
        let is_spare =
            |name: &&Name| self.hosts[*name].seen.pool == *spare && self.is_free(name, now);
        let mut hosts: Vec<Name> = self.hosts.keys().filter(is_spare).cloned().collect();
        hosts.sort();
        hosts
    }

    fn pool_views(&mut self, now: Moment) -> FastMap<Name, PoolView> {
        let mut views = self.present_work();
        self.size_pools(&mut views, now);
        self.count_hosts(&mut views, now);
        views
    }

    /// The work that is there and the size of workers, by pool: one pass over jobs and workers for all pools.
    fn present_work(&self) -> FastMap<Name, PoolView> {
        let new = |pool: &Name| {
            let need = PoolNeed { pool: pool.clone(), ..PoolNeed::default() };
            (pool.clone(), PoolView { need, ..PoolView::default() })
        };
        let mut views: FastMap<Name, PoolView> = self.config.pools.keys().map(new).collect();
        for job in self.jobs.values().filter(|it| !it.stage.is_over()) {
            let Some(view) = views.get_mut(&job.spec.route.pool) else { continue };
            view.need.present += demand_of(job);
            view.apart = view.apart.max(apart_of(job));
        }
        for worker in self.workers.values() {
            let Some(view) = views.get_mut(&worker.seen.pool) else { continue };
            view.host_millicores = view.host_millicores.max(worker.seen.capacity.millicores);
        }
        views
    }

    /// Hosts for the work that is there and that is expected, and for tasks that have to be apart.
    fn size_pools(&mut self, views: &mut FastMap<Name, PoolView>, now: Moment) {
        let any = self.hosts.values().map(|it| it.seen.capacity.millicores).max().unwrap_or(0);
        for (pool, view) in views {
            let demand = self.demand.entry(pool.clone()).or_default();
            view.need.expected = demand.expected(now);
            let host = match view.host_millicores {
                0 => any.max(1),
                largest => largest,
            };
            let most = view.need.expected.max(view.need.present);
            let work = most * (100 + HEADROOM_PERCENT) / 100;
            view.need.wanted = work.div_ceil(host.into()).max(view.apart).max(LEAST_HOSTS);
            view.held = demand.most_needed(view.need.wanted, now);
        }
    }

    /// Hosts in each pool or on their way, and those that may leave.
    fn count_hosts(&self, views: &mut FastMap<Name, PoolView>, now: Moment) {
        for (name, host) in &self.hosts {
            let pool = match &host.duty {
                Some(it) => match &it.duty {
                    HostDuty::Move { pool } => pool,
                    HostDuty::Maintain { .. } => &host.seen.pool,
                },
                None => &host.seen.pool,
            };
            let Some(view) = views.get_mut(pool) else { continue };
            if !self.is_usable(name, host, now) {
                continue;
            }
            view.need.hosts += 1;
            if host.duty.is_none()
                && host.seen.state == HostState::Up
                && let Some(worker) = self.worker_on(name)
                && worker.live.is_empty()
                && !worker.reserved
                && self.may_order(name, now)
            {
                view.idle.push((worker.idle_since, name.clone()));
            }
        }
        for view in views.values_mut() {
            // The longest idle host is taken from the end.
            view.idle.sort_by(|a, b| b.cmp(a));
            view.need.idle = view.idle.len() as u64;
        }
    }

    /// Whether a host runs tasks of its pool, or will soon.
    fn is_usable(&self, name: &Name, host: &Host, now: Moment) -> bool {
        if host.duty.is_some() || matches!(host.seen.state, HostState::Moving | HostState::Upkeep) {
            return true;
        }
        match self.worker_on(name) {
            _ if host.seen.state == HostState::Down => false,
            Some(it) if it.answered => it.silent.is_none() && !it.gone && !it.is_leaving(),
            _ => now.since(host.up_since) < JOINING_MS,
        }
    }

    /// What each pool needs, as it was planned last.
    pub fn pool_needs(&self) -> &[PoolNeed] {
        &self.pool_needs
    }
}

fn take_idle(views: &mut FastMap<Name, PoolView>, for_pool: &Name) -> Option<Name> {
    let donor = views
        .iter_mut()
        .filter(|(name, it)| {
            *name != for_pool && it.need.hosts > it.need.wanted && !it.idle.is_empty()
        })
        .max_by_key(|(name, it)| (it.need.hosts - it.need.wanted, (*name).clone()))?;
    donor.1.need.hosts -= 1;
    donor.1.idle.pop().map(|(_, host)| host)
}

/// Processors of a job's tasks that run or could run, in millicores.
fn demand_of(job: &Job) -> u64 {
    let mut sum = 0;
    for (k, run) in job.occurrences.iter().enumerate() {
        for (s, step) in run.steps.iter().enumerate() {
            let live =
                step.tasks.iter().filter(|it| matches!(it.state, TaskState::Live(_))).count();
            let waiting = if job.is_open(k, s) { step.waiting as usize } else { 0 };
            sum += (live + waiting) as u64 * u64::from(job.spec.steps[s].room().millicores);
        }
    }
    sum
}

/// Hosts that a job's open steps need because of their tasks' distance.
fn apart_of(job: &Job) -> u64 {
    let steps =
        job.spec.steps.iter().filter_map(|it| Some(u64::from(it.count.div_ceil(it.per_worker?))));
    steps.max().unwrap_or(0)
}
