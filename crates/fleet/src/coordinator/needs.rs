//! The hosts that each pool needs.
//!
//! The need is forecast from the jobs that arrived within the last second, so that hosts are on their way before tasks
//! wait. Work that needs a label, or has its data in a rack, asks for hosts that have the label or are in the rack.
//!
//! The forecast adds up what tasks need and so does not see that large tasks leave room unused. Tasks that run all the time
//! therefore ask for further hosts once they have waited for room.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, Host, HostDuty, Job, StepKey, Task, Tier,
    demand::{Demand, DemandKey, HostAffinity, Load},
    limits::LimitWait,
    packing::{self, HostRoom, with_headroom},
    pool_view::{AffinityView, PoolNeed, PoolView, RoomWait, Views, WaitUrgency},
    shares,
};
use crate::{HostState, JobSpec, Name, Step};

/// How long the worker of a host that just came up may take to answer.
const WORKER_JOIN_MS: Millisecond = 2_500;

/// The fewest hosts that a pool keeps, so that the first jobs of a peak start at once.
const MIN_HOSTS: u64 = 2;

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
        self.share_hosts(&mut views, now);
        views
    }

    /// Computes the share that each pool gets of the hosts that there are.
    fn share_hosts(&self, views: &mut Views, now: Moment) {
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let mut names: Vec<Name> = views.keys().cloned().collect();
        names.sort();
        names.retain(|it| Some(it) != spare.as_ref());
        let free = spare.map_or(0, |it| self.spare_hosts(&it, now).count());
        // A host that is drained for another pool counts in neither yet.
        let drained = self.draining_to.keys().filter(|it| self.may_be_drained(it)).count();
        let hosts =
            (free + drained) as u64 + names.iter().map(|it| views[it].need.hosts).sum::<u64>();
        let needs: Vec<_> = names.iter().map(|it| views[it].need.by_tier()).collect();
        for (name, share) in names.iter().zip(shares::divide(hosts, &needs)) {
            if let Some(view) = views.get_mut(name) {
                view.need.share = share;
            }
        }
    }

    /// Returns the present work and the size of workers by pool, in one pass over jobs and workers for all pools.
    fn present_work(&self, now: Moment) -> Views {
        let new = |pool: &Name| {
            let moves = self.pool_moves.get(pool).copied().unwrap_or(0);
            let need = PoolNeed { pool: pool.clone(), moves, ..PoolNeed::default() };
            (pool.clone(), PoolView { need, ..PoolView::default() })
        };
        let mut views: Views = self.config.pools.keys().map(new).collect();
        // The sizes of hosts come first, since memory counts as the processors of as many hosts.
        for worker in self.workers.values() {
            let Some(view) = views.get_mut(&worker.seen.pool) else { continue };
            if worker.seen.capacity.millicores > view.host.millicores {
                view.host = worker.seen.capacity;
            }
            if worker.takes_tasks(now) {
                view.present = view.present.plus(Load::of(worker.seen.capacity, 1));
            }
        }
        for job in self.jobs.values().filter(|it| !it.stage.is_over()) {
            let Some(view) = views.get_mut(&job.spec.route.pool) else { continue };
            self.add_work(view, job, now);
            self.add_flow(view, job, now);
            let spread = spread_hosts_of(job);
            view.spread_hosts = view.spread_hosts.max(spread);
            if job.tier == Tier::Standing {
                view.standing_spread = view.standing_spread.max(spread);
            }
        }
        views
    }

    /// Adds a job's tasks that run or could run to the present work.
    fn add_work(&self, view: &mut PoolView, job: &Job, now: Moment) {
        for (k, run) in job.open_occurrences() {
            for (s, step) in run.steps.iter().enumerate() {
                let step_spec = &job.spec.steps[s];
                let live = u64::from(step.tasks.live());
                let waiting = if job.is_open(k, s) { u64::from(step.waiting) } else { 0 };
                if live + waiting == 0 {
                    continue;
                }
                let startable = waiting.min(self.left_of_limit(&job.spec.team, step_spec.size));
                if let Some(wait) = step.wait.filter(|it| it.asks_for_room(now))
                    && startable > 0
                    && step_spec.long_running
                {
                    let key = StepKey { job: job.id.clone(), occurrence: k as u32, step: s as u16 };
                    let asks_for_hosts = wait.asks_for_hosts(now) && step_spec.label.is_none();
                    let priority = job.spec.route.priority;
                    let urgency = WaitUrgency { priority, since: wait.since };
                    let wait = RoomWait::new(key, urgency, startable, step_spec);
                    view.waits.push(RoomWait { asks_for_hosts, ..wait });
                }
                if let Some(wait) = step.wait.filter(|it| it.asks_for_limit(now))
                    && waiting > 0
                    && step_spec.long_running
                    && self.is_limited(&job.spec.team)
                {
                    let key = StepKey { job: job.id.clone(), occurrence: k as u32, step: s as u16 };
                    let priority = job.spec.route.priority;
                    let urgency = WaitUrgency { priority, since: wait.since };
                    let room = RoomWait::new(key, urgency, waiting, step_spec);
                    let team = job.spec.team.clone();
                    view.limit_waits.push(LimitWait { team, size: step_spec.size, room });
                }
                let is_beyond = step.wait.is_some_and(|it| it.is_beyond_hosts());
                let blocked = if is_beyond { waiting } else { waiting - startable };
                view.tasks.push((step_spec.room(), live + waiting - blocked));
                if step.wait.is_some_and(|it| it.asks_for_hosts(now)) && !step_spec.long_running {
                    view.waiting.push((step_spec.room(), startable));
                }
                let load = Load::of(step_spec.room(), live + waiting);
                let blocked = Load::of(step_spec.room(), blocked);
                view.load = view.load.plus(load);
                match job.tier {
                    Tier::Standing => {
                        view.standing = view.standing.plus(load.minus(blocked));
                        view.late = view.late.plus(blocked);
                    }
                    Tier::InTime => {}
                    Tier::Late => view.late = view.late.plus(load),
                    Tier::Excess => view.excess = view.excess.plus(load),
                }
                for affinity in HostAffinity::of_step(step_spec) {
                    // A task that already runs far from its data is not moved any more.
                    let live =
                        step.tasks.known().filter(|it| self.is_live_at(it.1, &affinity)).count();
                    let load = Load::of(step_spec.room(), live as u64 + waiting);
                    let standing = match job.tier {
                        Tier::Standing if startable > 0 && self.may_hold(&affinity, step_spec) => {
                            live as u64 + startable
                        }
                        Tier::Standing => live as u64,
                        _ => 0,
                    };
                    view.add(affinity, load, standing, step_spec);
                }
            }
        }
    }

    /// Returns whether a host that satisfies an affinity is large enough for a task of the step.
    fn may_hold(&self, affinity: &HostAffinity, step: &Step) -> bool {
        let may_hold = |it: &Host| {
            it.seen.state != HostState::Down
                && it.seen.capacity.fits(step.room())
                && affinity.is_met_by(&it.seen.labels)
        };
        self.hosts.values().any(may_hold)
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
                part.standing = part.standing.at_most(room);
                part.standing_spread = part.standing_spread.min(count);
                count > 0
            });
            view.load = view.load.minus(beyond);
        }
    }

    /// Computes the hosts for present and expected work, and for tasks that must not share a worker.
    fn size_pools(&mut self, views: &mut Views, now: Moment) {
        let far_percent = self.timing.far_percent;
        let is_on = self.timing.demand_pools;
        let all = self.hosts.values().map(|it| it.seen.capacity);
        let any = all.max_by_key(|it| it.millicores).unwrap_or_default();
        for (pool, view) in views {
            if view.host.millicores == 0 {
                view.host = any;
            }
            let host = view.host;
            view.waits.sort_by(|a, b| a.order().cmp(&b.order()));
            view.limit_waits.sort_by(|a, b| a.room.order().cmp(&b.room.order()));
            view.need.packed = packing::packed_hosts(&view.tasks, host);
            let room = match is_on {
                true => HostRoom::packed(&view.tasks, view.need.packed, host),
                false => HostRoom::with_headroom(host),
            };
            let demand = self.demand_for(pool, None);
            let expected = match is_on {
                true => demand.expected_at_rate(now),
                false => demand.expected(now),
            };
            view.need.expected = expected.millicores_on(host);
            view.need.present = view.load.millicores_on(host);
            let owed = view.load.minus(view.excess);
            let in_time = owed.minus(view.late).millicores_on(host);
            let owed = owed.millicores_on(host);
            let standing = view.standing.millicores_on(host);
            let mut least = view.spread_hosts.max(view.hosts_for_waits()).max(MIN_HOSTS);
            if is_on && !view.waiting.is_empty() {
                // Running tasks stay where they are, so that packed hosts may leave no room for those that wait.
                let busy = view.ready.saturating_sub(view.need.idle);
                least = least.max(busy + packing::packed_hosts(&view.waiting, host));
            }
            let hosts = |work: u64| room.hosts_for(work);
            view.need.present_hosts = hosts(view.need.present).max(least);
            view.need.wanted = hosts(view.need.expected.max(view.need.present)).max(least);
            view.need.owed = hosts(view.need.expected.max(owed)).max(least);
            view.need.pressing = hosts(owed).max(least);
            let claim = hosts(standing).max(view.standing_spread);
            view.need.claim = claim.max(view.standing_hosts_with_waits()).min(view.need.owed);
            let in_time = hosts(view.need.expected.max(in_time)).max(MIN_HOSTS);
            view.need.in_time = in_time.max(view.need.claim).min(view.need.owed);
            view.need.kept = match is_on {
                true => demand.most_needed(view.need.present_hosts, now).max(view.need.wanted),
                false => demand.most_needed(view.need.wanted, now),
            };
            for (affinity, part) in &mut view.affinities {
                let demand = self.demand_for(pool, Some(affinity));
                let expected = demand.expected(now).millicores_on(host);
                let work = with_headroom(expected.max(part.load.millicores_on(host)));
                let hosts_for = |work: u64| {
                    affinity.hosts_for(work, host.millicores.max(1).into(), far_percent)
                };
                let claim = hosts_for(with_headroom(part.standing.millicores_on(host)));
                part.claim = claim.max(part.standing_spread);
                part.wanted = hosts_for(work).max(part.claim);
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
                view.need.held += u64::from(worker.held_for.is_some());
            }
            if !self.is_usable(name, host, now) {
                continue;
            }
            view.add_host(&host.seen.labels);
            // The order to move here may still count as pending for a while.
            let has_come = || {
                host.duty.as_ref().is_none_or(|it| match &it.duty {
                    HostDuty::Move { pool } => it.confirmed.is_some() && host.seen.pool == *pool,
                    HostDuty::Maintain { .. } => false,
                })
            };
            let is_here = host.seen.state == HostState::Up && has_come();
            match self.worker_on(name).filter(|it| is_here && it.answered) {
                Some(it) if it.takes_tasks(now) => {
                    view.ready += 1;
                    view.need.standing += u64::from(it.has_long_running());
                }
                Some(_) => {}
                None => view.coming += 1,
            }
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
    pub(super) fn is_usable(&self, name: &Name, host: &Host, now: Moment) -> bool {
        if host.seen.state == HostState::Down
            || host.is_late(now, &self.timing)
            || self.evacuated.contains(&host.seen.data_centre)
        {
            return false;
        }
        if host.duty.is_some()
            || matches!(host.seen.state, HostState::Moving | HostState::Maintenance)
        {
            return true;
        }
        match self.worker_on(name) {
            Some(it) if it.answered => {
                it.silent_since.is_none() && !it.unlisted && !it.is_leaving()
            }
            _ => now.since(host.up_since) < WORKER_JOIN_MS,
        }
    }
}

/// Returns the hosts that a job's steps need because of their limits on tasks per worker.
fn spread_hosts_of(job: &Job) -> u64 {
    let steps =
        job.spec.steps.iter().filter_map(|it| Some(u64::from(it.count.div_ceil(it.per_worker?))));
    steps.max().unwrap_or(0)
}
