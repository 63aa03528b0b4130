//! The hosts that each pool needs.
//!
//! The need is forecast from the jobs that arrived within the last second, so that hosts are on their way before tasks
//! wait. Work that needs a label, or has its data in a rack, asks for hosts that have the label or are in the rack.
//!
//! The forecast adds up what tasks need and so does not see that large tasks leave room unused. Tasks that run all the time
//! therefore ask for further hosts once they have waited for room.

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, Host, HostDuty, Job, Task, WaitReason,
    demand::{Demand, DemandKey, HostAffinity, Load},
    job::StepRun,
};
use crate::{HostState, JobSpec, Name, Step};

/// Room beyond the expected demand, in per cent, since tasks do not fill hosts evenly.
const HEADROOM_PERCENT: u64 = 15;

/// How long the worker of a host that just came up may take to answer.
const WORKER_JOIN_MS: Millisecond = 2_500;

/// Long-running tasks that wait for room for this long ask for further hosts. Tasks that end meanwhile often make room.
const ROOM_WAIT_MS: Millisecond = 1_000;

/// The fewest hosts that a pool keeps, so that the first jobs of a peak start at once.
const MIN_HOSTS: u64 = 2;

/// How many hosts a pool has and needs, and what that was computed from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// The pool.
    pub pool: Name,
    /// Hosts that are in the pool or on their way to it.
    pub hosts: u64,
    /// Hosts that the pool needs.
    pub wanted: u64,
    /// Hosts that the pool needs without the jobs that teams sent beyond their weight.
    pub owed: u64,
    /// Hosts that the present work needs, without the jobs that teams sent beyond their weight.
    pub pressing: u64,
    /// Processors for the expected work, in millicores; memory counts as the processors of as many hosts.
    pub expected: u64,
    /// Processors for the present work, in millicores.
    pub present: u64,
    /// Hosts that may leave.
    pub idle: u64,
    /// Hosts that take no new tasks until theirs have ended, before a move or maintenance. They do not count as the pool's.
    pub drained: u64,
    /// Hosts with tasks that run until their job is cancelled.
    pub standing: u64,
    /// Affinities for which the pool has too few hosts.
    pub lacking: Vec<HostAffinity>,
}

/// A pool while hosts are planned.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolView {
    /// The needs that are reported for the pool.
    pub(super) need: PoolNeed,
    /// The present work.
    load: Load,
    /// The part of the present work that teams sent beyond their weight.
    excess: Load,
    /// The most hosts that the pool needed recently.
    pub(super) recent_peak: u64,
    /// Hosts that one of its jobs needs because a worker may have only some of its tasks.
    spread_hosts: u64,
    /// The steps whose long-running tasks have waited for room.
    waits: Vec<RoomWait>,
    /// Hosts whose workers take tasks.
    ready: u64,
    /// The capacity of its largest worker; zero without workers.
    host: Resources,
    /// Hosts that may leave, with the one that has been idle longest last.
    pub(super) idle: Vec<(Moment, Name)>,
    /// The parts of its work that ask for certain hosts.
    pub(super) affinities: FastMap<HostAffinity, AffinityView>,
}

/// Tasks of one step that wait for room.
#[derive(Clone, Copy, Debug)]
struct RoomWait {
    tasks: u64,
    size: Resources,
    /// The most tasks of the step that may share a worker.
    per_worker: u64,
}

impl RoomWait {
    /// Returns how many empty hosts of this capacity the tasks fill.
    fn hosts(self, host: Resources) -> u64 {
        self.tasks.div_ceil(host.times(self.size).clamp(1, self.per_worker.max(1)))
    }
}

/// The part of a pool's work that asks for certain hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityView {
    /// The present work.
    load: Load,
    /// Such hosts that it needs.
    pub(super) wanted: u64,
    /// The most such hosts that it needed recently.
    pub(super) recent_peak: u64,
    /// Such hosts that are in the pool or on their way to it.
    pub(super) hosts: u64,
}

impl PoolView {
    pub(super) fn is_short(&self) -> bool {
        self.need.wanted > self.need.hosts || !self.need.lacking.is_empty()
    }

    fn add(&mut self, affinity: HostAffinity, load: Load) {
        let part = self.affinities.entry(affinity).or_default();
        part.load = part.load.plus(load);
    }

    /// Returns the hosts with which the tasks that wait for room can start, where those on their way count.
    fn hosts_for_waits(&self, host: Resources) -> u64 {
        let more = self.waits.iter().map(|it| it.hosts(host)).max();
        more.map_or(0, |it| self.ready + it)
    }

    /// Counts a host as one of the pool's.
    pub(super) fn add_host(&mut self, labels: &[Name]) {
        self.need.hosts += 1;
        for (_, part) in self.affinities.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts += 1;
        }
    }

    /// Counts a host out of the pool. A host whose worker stopped answering meanwhile was not counted, so the counts
    /// may be zero.
    pub(super) fn remove_host(&mut self, labels: &[Name]) {
        self.need.hosts = self.need.hosts.saturating_sub(1);
        for (_, part) in self.affinities.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts = part.hosts.saturating_sub(1);
        }
    }

    /// Returns whether a host with these labels may leave without the pool becoming short of such hosts.
    pub(super) fn can_spare(&self, labels: &[Name]) -> bool {
        let mut met = self.affinities.iter().filter(|it| it.0.is_met_by(labels));
        met.all(|(_, it)| it.hosts > it.recent_peak)
    }
}

pub(super) type Views = FastMap<Name, PoolView>;

impl Coordinator {
    /// Counts a new job's work as demand on its pool, and on the pool's hosts with the labels that it asks for.
    pub(super) fn note_demand(&mut self, spec: &JobSpec, now: Moment) {
        if spec.schedule.is_some() || spec.long_running() {
            return;
        }
        let mut work: FastMap<Option<HostAffinity>, Load> = FastMap::default();
        let steps = spec.steps.iter().enumerate();
        for (number, step) in steps.filter(|it| !self.is_unplaceable(it.1)) {
            let took = self.expected_ms(spec, number).max(1);
            let load = Load::of(step.size, u64::from(step.count).saturating_mul(took));
            for affinity in HostAffinity::of_step(step).map(Some).chain([None]) {
                let sum = work.entry(affinity).or_default();
                *sum = sum.plus(load);
            }
        }
        for (affinity, work) in work {
            self.demand_for(&spec.route.pool, affinity.as_ref()).note(now, work);
        }
    }

    /// Returns whether a step needs a label that no host has.
    fn is_unplaceable(&self, step: &Step) -> bool {
        let is_had = |it: &Name| self.hosts.values().any(|host| host.seen.labels.contains(it));
        self.hosts_known && step.label.as_ref().is_some_and(|it| !is_had(it))
    }

    /// Returns every pool with the hosts that it has and needs.
    pub(super) fn pool_views(&mut self, now: Moment) -> Views {
        let mut views = self.present_work(now);
        self.demand.retain(|key, it| key.affinity.is_none() || !it.is_over(now));
        for key in self.demand.keys() {
            if let (Some(view), Some(affinity)) = (views.get_mut(&key.pool), &key.affinity) {
                view.affinities.entry(affinity.clone()).or_default();
            }
        }
        self.count_hosts(&mut views, now);
        self.cap_labelled(&mut views);
        self.size_pools(&mut views, now);
        views
    }

    /// Returns the present work and the size of workers by pool, in one pass over jobs and workers for all pools.
    fn present_work(&self, now: Moment) -> Views {
        let new = |pool: &Name| {
            let need = PoolNeed { pool: pool.clone(), ..PoolNeed::default() };
            (pool.clone(), PoolView { need, ..PoolView::default() })
        };
        let mut views: Views = self.config.pools.keys().map(new).collect();
        for job in self.jobs.values().filter(|it| !it.stage.is_over()) {
            let Some(view) = views.get_mut(&job.spec.route.pool) else { continue };
            self.add_work(view, job, now);
            view.spread_hosts = view.spread_hosts.max(spread_hosts_of(job));
        }
        for worker in self.workers.values() {
            let Some(view) = views.get_mut(&worker.seen.pool) else { continue };
            if worker.seen.capacity.millicores > view.host.millicores {
                view.host = worker.seen.capacity;
            }
        }
        views
    }

    /// Adds a job's tasks that run or could run to the present work.
    fn add_work(&self, view: &mut PoolView, job: &Job, now: Moment) {
        for (k, run) in job.occurrences.iter().enumerate() {
            for (s, step) in run.steps.iter().enumerate() {
                let step_spec = &job.spec.steps[s];
                let live = step.tasks.iter().filter_map(Task::live).count() as u64;
                let waiting = if job.is_open(k, s) { u64::from(step.waiting) } else { 0 };
                if live + waiting == 0 {
                    continue;
                }
                if waiting > 0 && step_spec.long_running && has_waited_for_room(step, now) {
                    let per_worker = step_spec.per_worker.map_or(u64::MAX, u64::from);
                    let size = step_spec.room();
                    view.waits.push(RoomWait { tasks: waiting, size, per_worker });
                }
                let load = Load::of(step_spec.room(), live + waiting);
                view.load = view.load.plus(load);
                if job.excess {
                    view.excess = view.excess.plus(load);
                }
                for affinity in HostAffinity::of_step(step_spec) {
                    // A task that already runs far from its data is not moved any more.
                    let live =
                        step.tasks.iter().filter(|it| self.is_live_at(it, &affinity)).count();
                    view.add(affinity, Load::of(step_spec.room(), live as u64 + waiting));
                }
            }
        }
    }

    fn is_live_at(&self, task: &Task, affinity: &HostAffinity) -> bool {
        let worker = task.live().and_then(|it| self.workers.get(&it.worker));
        worker.is_some_and(|it| affinity.is_met_by(&it.seen.labels))
    }

    /// Limits work that asks for certain hosts to what the existing hosts of that kind hold.
    fn cap_labelled(&self, views: &mut Views) {
        for view in views.values_mut() {
            let mut beyond = Load::default();
            view.affinities.retain(|affinity, part| {
                let met = self.hosts.values().filter(|it| affinity.is_met_by(&it.seen.labels));
                let (count, room) = met.fold((0, Load::default()), |(count, room), it| {
                    (count + 1, room.plus(Load::of(it.seen.capacity, 1)))
                });
                if matches!(affinity, HostAffinity::Label(_)) {
                    beyond = beyond.plus(part.load.minus(room));
                }
                part.load = part.load.at_most(room);
                count > 0
            });
            view.load = view.load.minus(beyond);
        }
    }

    /// Computes the hosts for present and expected work, and for tasks that must not share a worker.
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
            let least = view.spread_hosts.max(view.hosts_for_waits(host)).max(MIN_HOSTS);
            let hosts = |work: u64| {
                let hosts = with_headroom(work).div_ceil(u64::from(host.millicores.max(1)));
                hosts.max(least)
            };
            view.need.wanted = hosts(view.need.expected.max(view.need.present));
            view.need.owed = hosts(view.need.expected.max(owed));
            view.need.pressing = hosts(owed);
            view.recent_peak = demand.most_needed(view.need.wanted, now);
            for (affinity, part) in &mut view.affinities {
                let demand = self.demand_for(pool, Some(affinity));
                let expected = demand.expected(now).millicores_on(host);
                let work = with_headroom(expected.max(part.load.millicores_on(host)));
                part.wanted = affinity.hosts_for(work, host.millicores.max(1).into(), far_percent);
                part.recent_peak = demand.most_needed(part.wanted, now);
            }
            let is_lacking = |it: &(&HostAffinity, &AffinityView)| it.1.wanted > it.1.hosts;
            let lacking = view.affinities.iter().filter(is_lacking);
            view.need.lacking = lacking.map(|(affinity, _)| affinity.clone()).collect();
            view.need.lacking.sort();
        }
    }

    fn demand_for(&mut self, pool: &Name, affinity: Option<&HostAffinity>) -> &mut Demand {
        let key = DemandKey { pool: pool.clone(), affinity: affinity.cloned() };
        self.demand.entry(key).or_default()
    }

    /// Counts the hosts in each pool or on their way to it, and collects those that may leave.
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
            if let Some(worker) = self.worker_on(name) {
                view.need.drained += u64::from(worker.reserved && host.duty.is_none());
                view.need.standing += u64::from(worker.has_long_running());
            }
            if !self.is_usable(name, host, now) {
                continue;
            }
            view.add_host(&host.seen.labels);
            view.ready += u64::from(self.worker_on(name).is_some_and(|it| it.takes_tasks(now)));
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
            // The host that has been idle longest is taken first, from the end.
            view.idle.sort_by(|a, b| b.cmp(a));
            view.need.idle = view.idle.len() as u64;
        }
    }

    /// Returns whether a host runs tasks of its pool, or will soon.
    fn is_usable(&self, name: &Name, host: &Host, now: Moment) -> bool {
        if host.duty.is_some()
            || matches!(host.seen.state, HostState::Moving | HostState::Maintenance)
        {
            return true;
        }
        match self.worker_on(name) {
            _ if host.seen.state == HostState::Down => false,
            Some(it) if it.answered => {
                it.silent_since.is_none() && !it.unlisted && !it.is_leaving()
            }
            _ => now.since(host.up_since) < WORKER_JOIN_MS,
        }
    }
}

/// Returns whether tasks of a step were not placed for a while because the workers of its pool are too full, or have too many
/// of its tasks.
fn has_waited_for_room(step: &StepRun, now: Moment) -> bool {
    step.wait.is_some_and(|it| {
        matches!(it.reason, WaitReason::Room | WaitReason::PerWorker)
            && now.since(it.since) >= ROOM_WAIT_MS
    })
}

fn with_headroom(millicores: u64) -> u64 {
    millicores.saturating_mul(100 + HEADROOM_PERCENT) / 100
}

/// Returns the hosts that a job's steps need because of their limits on tasks per worker.
fn spread_hosts_of(job: &Job) -> u64 {
    let steps =
        job.spec.steps.iter().filter_map(|it| Some(u64::from(it.count.div_ceil(it.per_worker?))));
    steps.max().unwrap_or(0)
}
