//! How many hosts each pool needs, and which.
//!
//! The need is forecast from the jobs that arrived within the last second, so that hosts are on their way before tasks
//! wait. Work that needs a label, or has its data in a rack, asks for hosts that have it.

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, Host, HostDuty, Job, Task,
    demand::{Demand, DemandKey, Load, Wish},
};
use crate::{HostState, JobSpec, Name, Step};

/// Room beyond the expected demand, since tasks do not fill hosts evenly, in per cent.
const HEADROOM_PERCENT: u64 = 15;

/// How long a worker of a host that just came up may take until it answers.
const JOINING_MS: Millisecond = 2_500;

/// The fewest hosts that a pool keeps, so that the first jobs of a peak start at once.
const LEAST_HOSTS: u64 = 2;

/// How large a pool is and has to be, and what that was decided from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// The pool.
    pub pool: Name,
    /// Hosts that are in it or on their way.
    pub hosts: u64,
    /// Hosts that it needs.
    pub wanted: u64,
    /// Hosts that it needs without the jobs that teams sent beyond their weight.
    pub owed: u64,
    /// The part of those for work that is there.
    pub pressing: u64,
    /// Processors for the work that is expected, in millicores; memory counts as the processors of as many hosts.
    pub expected: u64,
    /// Processors for the work that is there, in millicores.
    pub present: u64,
    /// Hosts that may leave.
    pub idle: u64,
    /// What it has too few hosts of.
    pub lacking: Vec<Wish>,
}

/// A pool as the plan sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolView {
    /// What is told of it.
    pub(super) need: PoolNeed,
    /// The work that is there.
    load: Load,
    /// The part of it that teams sent beyond their weight.
    excess: Load,
    /// The most hosts that it needed lately.
    pub(super) held: u64,
    /// Hosts that the tasks of one of its jobs need because they have to be apart.
    apart: u64,
    /// The largest of its workers; nothing without one.
    host: Resources,
    /// Hosts that may leave, longest idle last.
    pub(super) idle: Vec<(Moment, Name)>,
    /// The parts of its work that ask for certain hosts.
    pub(super) wishes: FastMap<Wish, WishView>,
}

/// The part of a pool's work that asks for certain hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct WishView {
    /// The work that is there.
    load: Load,
    /// Such hosts that it needs.
    pub(super) wanted: u64,
    /// The most that it needed lately.
    pub(super) held: u64,
    /// Such hosts that are in the pool or on their way.
    pub(super) hosts: u64,
}

impl PoolView {
    pub(super) fn is_short(&self) -> bool {
        self.need.wanted > self.need.hosts || !self.need.lacking.is_empty()
    }

    fn add(&mut self, wish: Wish, load: Load) {
        let part = self.wishes.entry(wish).or_default();
        part.load = part.load.plus(load);
    }

    /// Counts a host as one of the pool's.
    pub(super) fn count(&mut self, labels: &[Name]) {
        self.need.hosts += 1;
        for (_, part) in self.wishes.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts += 1;
        }
    }

    /// Takes a host out of the pool. One whose worker fell silent meanwhile was not counted.
    pub(super) fn discount(&mut self, labels: &[Name]) {
        self.need.hosts = self.need.hosts.saturating_sub(1);
        for (_, part) in self.wishes.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts = part.hosts.saturating_sub(1);
        }
    }

    /// Whether a host with these labels may leave without the pool becoming short of such hosts.
    pub(super) fn can_spare(&self, labels: &[Name]) -> bool {
        let mut met = self.wishes.iter().filter(|it| it.0.is_met_by(labels));
        met.all(|(_, it)| it.hosts > it.held)
    }
}

pub(super) type Views = FastMap<Name, PoolView>;

impl Coordinator {
    /// Counts a new job's work as demand on its pool, and on the pool's hosts with the labels that it asks for.
    pub(super) fn note_demand(&mut self, spec: &JobSpec, now: Moment) {
        if spec.schedule.is_some() || spec.long_running() {
            return;
        }
        let mut work: FastMap<Option<Wish>, Load> = FastMap::default();
        let steps = spec.steps.iter().enumerate();
        for (number, step) in steps.filter(|it| !self.is_hopeless(it.1)) {
            let took = self.expected_ms(spec, number).max(1);
            let load = Load::of(step.size, u64::from(step.count).saturating_mul(took));
            for wish in Wish::all_of(step).map(Some).chain([None]) {
                let sum = work.entry(wish).or_default();
                *sum = sum.plus(load);
            }
        }
        for (wish, work) in work {
            self.demand_for(&spec.route.pool, wish.as_ref()).note(now, work);
        }
    }

    /// Whether a step needs a label that no host has.
    fn is_hopeless(&self, step: &Step) -> bool {
        let is_had = |it: &Name| self.hosts.values().any(|host| host.seen.labels.contains(it));
        self.hosts_known && step.label.as_ref().is_some_and(|it| !is_had(it))
    }

    /// Every pool, what it has and what it needs.
    pub(super) fn pool_views(&mut self, now: Moment) -> Views {
        let mut views = self.present_work();
        self.demand.retain(|key, it| key.wish.is_none() || !it.is_over(now));
        for key in self.demand.keys() {
            if let (Some(view), Some(wish)) = (views.get_mut(&key.pool), &key.wish) {
                view.wishes.entry(wish.clone()).or_default();
            }
        }
        self.count_hosts(&mut views, now);
        self.cap_labelled(&mut views);
        self.size_pools(&mut views, now);
        views
    }

    /// The work that is there and the size of workers, by pool: one pass over jobs and workers for all pools.
    fn present_work(&self) -> Views {
        let new = |pool: &Name| {
            let need = PoolNeed { pool: pool.clone(), ..PoolNeed::default() };
            (pool.clone(), PoolView { need, ..PoolView::default() })
        };
        let mut views: Views = self.config.pools.keys().map(new).collect();
        for job in self.jobs.values().filter(|it| !it.stage.is_over()) {
            let Some(view) = views.get_mut(&job.spec.route.pool) else { continue };
            self.add_work(view, job);
            view.apart = view.apart.max(apart_of(job));
        }
        for worker in self.workers.values() {
            let Some(view) = views.get_mut(&worker.seen.pool) else { continue };
            if worker.seen.capacity.millicores > view.host.millicores {
                view.host = worker.seen.capacity;
            }
        }
        views
    }

    /// Adds a job's tasks that run or could run.
    fn add_work(&self, view: &mut PoolView, job: &Job) {
        for (k, run) in job.occurrences.iter().enumerate() {
            for (s, step) in run.steps.iter().enumerate() {
                let wanted = &job.spec.steps[s];
                let live = step.tasks.iter().filter_map(Task::live).count() as u64;
                let waiting = if job.is_open(k, s) { u64::from(step.waiting) } else { 0 };
                if live + waiting == 0 {
                    continue;
                }
                let load = Load::of(wanted.room(), live + waiting);
                view.load = view.load.plus(load);
                if job.excess {
                    view.excess = view.excess.plus(load);
                }
                for wish in Wish::all_of(wanted) {
                    // A task that runs far from its data does not move any more.
                    let live = step.tasks.iter().filter(|it| self.is_live_at(it, &wish)).count();
                    view.add(wish, Load::of(wanted.room(), live as u64 + waiting));
                }
            }
        }
    }

    fn is_live_at(&self, task: &Task, wish: &Wish) -> bool {
        let worker = task.live().and_then(|it| self.workers.get(&it.worker));
        worker.is_some_and(|it| wish.is_met_by(&it.seen.labels))
    }

    /// Work that needs a label asks for no more hosts than there are with it.
    fn cap_labelled(&self, views: &mut Views) {
        for view in views.values_mut() {
            let mut beyond = Load::default();
            view.wishes.retain(|wish, part| {
                let met = self.hosts.values().filter(|it| wish.is_met_by(&it.seen.labels));
                let (count, room) = met.fold((0, Load::default()), |(count, room), it| {
                    (count + 1, room.plus(Load::of(it.seen.capacity, 1)))
                });
                if matches!(wish, Wish::Label(_)) {
                    beyond = beyond.plus(part.load.minus(room));
                }
                part.load = part.load.at_most(room);
                count > 0
            });
            view.load = view.load.minus(beyond);
        }
    }

    /// Hosts for the work that is there and that is expected, and for tasks that have to be apart.
    fn size_pools(&mut self, views: &mut Views, now: Moment) {
        let far_percent = self.timing.far_percent;
        let all = self.hosts.values().map(|it| it.seen.capacity);
        let any = all.max_by_key(|it| it.millicores).unwrap_or_default();
        for (pool, view) in views {
            let host = if view.host.millicores == 0 { any } else { view.host };
            let demand = self.demand_for(pool, None);
            view.need.expected = demand.expected(now).millicores_on(host);
            view.need.present = view.load.millicores_on(host);
            let owed = view.load.minus(view.excess).millicores_on(host);
            let least = view.apart.max(LEAST_HOSTS);
            let hosts = |work: u64| {
                let hosts = with_headroom(work).div_ceil(u64::from(host.millicores.max(1)));
                hosts.max(least)
            };
            view.need.wanted = hosts(view.need.expected.max(view.need.present));
            view.need.owed = hosts(view.need.expected.max(owed));
            view.need.pressing = hosts(owed);
            view.held = demand.most_needed(view.need.wanted, now);
            for (wish, part) in &mut view.wishes {
                let demand = self.demand_for(pool, Some(wish));
                let expected = demand.expected(now).millicores_on(host);
                let work = with_headroom(expected.max(part.load.millicores_on(host)));
                part.wanted = wish.hosts_for(work, host.millicores.max(1).into(), far_percent);
                part.held = demand.most_needed(part.wanted, now);
            }
            let is_lacking = |it: &(&Wish, &WishView)| it.1.wanted > it.1.hosts;
            let lacking = view.wishes.iter().filter(is_lacking);
            view.need.lacking = lacking.map(|(wish, _)| wish.clone()).collect();
            view.need.lacking.sort();
        }
    }

    fn demand_for(&mut self, pool: &Name, wish: Option<&Wish>) -> &mut Demand {
        let key = DemandKey { pool: pool.clone(), wish: wish.cloned() };
        self.demand.entry(key).or_default()
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
            view.count(&host.seen.labels);
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
        if host.duty.is_some()
            || matches!(host.seen.state, HostState::Moving | HostState::Maintenance)
        {
            return true;
        }
        match self.worker_on(name) {
            _ if host.seen.state == HostState::Down => false,
            Some(it) if it.answered => it.silent.is_none() && !it.gone && !it.is_leaving(),
            _ => now.since(host.up_since) < JOINING_MS,
        }
    }
}

fn with_headroom(millicores: u64) -> u64 {
    millicores.saturating_mul(100 + HEADROOM_PERCENT) / 100
}

/// Hosts that a job's open steps need because of their tasks' distance.
fn apart_of(job: &Job) -> u64 {
    let steps =
        job.spec.steps.iter().filter_map(|it| Some(u64::from(it.count.div_ceil(it.per_worker?))));
    steps.max().unwrap_or(0)
}
