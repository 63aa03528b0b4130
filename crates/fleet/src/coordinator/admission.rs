//! The capacities of pools that entry hosts admit jobs by; see [`crate::admission`].

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{
    Coordinator, Host, Job, Tier,
    demand::Load,
    limits::EXCESS_WINDOW_MS,
    pool_view::{PoolView, Views},
};
use crate::{
    HostState, JobSpec,
    admission::{Capacities, HeldPools, LATE_WORK, PoolCapacity, RecentPosts},
};

/// The least part of its weight that a team has used before entry hosts are told, in per cent: they cannot let it exceed its
/// weight before the next data.
const TEAM_SHOWN_PERCENT: u64 = 50;

/// The time within which workers have answered a new coordinator. Until then pools seem to have no hosts, and entry hosts
/// would refuse everything.
const ANSWER_MS: Millisecond = 1_000;

/// A job that ends after so many times its objective is worth nothing.
const WORTHLESS_FACTOR: u64 = 3;

/// What the coordinator keeps for admission.
#[derive(Default)]
pub(super) struct AdmissionState {
    is_on: bool,
    posts: RecentPosts,
    /// Since when pools have been short, and full.
    short: HeldPools,
    full: HeldPools,
    is_limited: bool,
    capacities: Capacities,
}

impl Coordinator {
    /// Sets whether the capacities of pools are computed.
    pub fn set_admission(&mut self, is_on: bool) {
        self.admission.is_on = is_on;
    }

    /// Returns whether any pool is full, or about to be, so that entry hosts need [`Self::capacities`].
    pub fn is_limited_by_pools(&self) -> bool {
        self.admission.is_limited
    }

    /// Returns the capacities of the full pools as of the last plan; `None` while the workers that a new coordinator has taken
    /// over are still to answer.
    pub fn capacities(&self, now: Moment) -> Option<&Capacities> {
        let is_known = now.since(self.takeover.at) >= ANSWER_MS;
        is_known.then_some(&self.admission.capacities)
    }

    /// Notes which entry host accepted a new job.
    pub(super) fn note_post(&mut self, spec: &JobSpec, now: Moment) {
        if self.admission.is_on && !spec.is_standing() {
            self.admission.posts.note(&spec.accepted_by, now);
        }
    }

    /// Adds a job's waiting work and the room of its runs to what its pool's capacity is computed from.
    pub(super) fn add_flow(&self, view: &mut PoolView, job: &Job, now: Moment) {
        if !self.admission.is_on {
            return;
        }
        let is_standing = job.tier == Tier::Standing;
        let is_late = job.tier == Tier::Late;
        let is_worthless = is_late && self.is_worthless(job, now);
        let (mut left, mut ahead) = (0u64, 0u64);
        for (k, run) in job.open_occurrences() {
            for (s, step) in run.steps.iter().enumerate().filter(|it| !it.1.is_done()) {
                let spec = &job.spec.steps[s];
                let live = u64::from(step.tasks.live());
                let running = Load::of(spec.room(), live);
                if is_standing {
                    view.standing_runs = view.standing_runs.plus(running);
                    continue;
                }
                view.short_runs = view.short_runs.plus(running);
                let expected = self.expected_ms(&job.spec, s);
                let work = |tasks: u64| {
                    Load::of(spec.room(), tasks.saturating_mul(expected)).millicores_on(view.host)
                };
                left = work(live + u64::from(step.waiting)).saturating_add(left);
                if is_worthless || step.waiting == 0 {
                    continue;
                }
                if !job.is_open(k, s) {
                    ahead = work(step.waiting.into()).saturating_add(ahead);
                    continue;
                }
                // What waits for the team's limit, or for hosts that there are not, takes no room from others.
                if !step.wait.is_some_and(|it| it.is_beyond_hosts()) {
                    let startable = self.left_of_limit(&job.spec.team, spec.size);
                    let startable = work(startable.min(step.waiting.into()));
                    if !is_late {
                        view.startable = view.startable.saturating_add(startable);
                    }
                    ahead = startable.saturating_add(ahead);
                }
            }
        }
        if is_late {
            left = LATE_WORK;
        }
        view.capacity.add(job.spec.route.priority, job.tier == Tier::Excess, left, ahead);
    }

    /// Returns whether a late job can no longer be worth anything.
    fn is_worthless(&self, job: &Job, now: Moment) -> bool {
        let objective = self.due(job).since(job.accepted);
        let (path, _) = self.remaining_work(job);
        now + path > job.accepted + objective.saturating_mul(WORTHLESS_FACTOR)
    }

    /// Returns whether the pools need more hosts than there are. Otherwise each of them gets what it needs within some seconds,
    /// and work that waits meanwhile is late at most.
    fn is_short_of_hosts(&self, views: &Views) -> bool {
        let is_there = |it: &&Host| {
            it.seen.state != HostState::Down && !self.evacuated.contains(&it.seen.data_centre)
        };
        let hosts = self.hosts.values().filter(is_there).count() as u64;
        views.values().map(|it| it.need.wanted).sum::<u64>() > hosts
    }

    /// Computes the capacities of the full pools.
    pub(super) fn note_capacities(&mut self, views: &Views, now: Moment) {
        if !self.admission.is_on {
            return;
        }
        let mut capacities = Capacities::default();
        let mut is_limited = false;
        let spare = self.config.spare_pool().map(|it| &it.name);
        let is_short_of_hosts = self.is_short_of_hosts(views);
        for (pool, view) in views.iter().filter(|it| Some(it.0) != spare) {
            let host = view.host;
            let on_host = |it: Load| it.millicores_on(host);
            let about_to_get = view.need.share.saturating_sub(view.need.hosts);
            let coming = view.need.hosts.saturating_sub(view.ready) + about_to_get;
            let capacity = PoolCapacity::new(
                host,
                view.present.millicores_on(host),
                on_host(view.standing_runs),
                on_host(view.short_runs),
                coming.saturating_mul(host.millicores.into()),
            );
            let capacity = PoolCapacity { ahead: view.capacity.ahead.clone(), ..capacity };
            let is_full = is_short_of_hosts && capacity.is_full(view.startable);
            let is_short = is_full || view.need.expected > capacity.rate;
            is_limited |= self.admission.short.note(pool, is_short, now);
            if self.admission.full.note(pool, is_full, now) {
                capacities.pools.insert(pool.clone(), capacity);
            }
        }
        self.admission.is_limited = is_limited || now.since(self.takeover.at) < ANSWER_MS;
        if is_limited {
            capacities.shares = self.admission.posts.shares(now);
            for (team, jobs) in &self.recent_jobs {
                let Some(weight) = self.config.teams.get(team).map(|it| it.weight) else {
                    continue;
                };
                let is_recent = |it: &&Moment| now.since(**it) <= EXCESS_WINDOW_MS;
                let jobs = jobs.iter().filter(is_recent).count() as u32;
                if f64::from(jobs) * 100.0 >= weight * TEAM_SHOWN_PERCENT as f64 {
                    capacities.teams.insert(team.clone(), jobs);
                }
            }
        }
        self.admission.capacities = capacities;
    }
}
