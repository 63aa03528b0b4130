//! Which long-running tasks could run, as the true state of the fleet shows it: see `any_pool`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{HostState, JobSpec, Name, Step, TaskId};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use super::{PoolFleet, PoolHost, Run, SPARE};

/// Wait of a task until hosts are asked for.
const WAIT_MS: Millisecond = 1_000;

/// Time until the next plan.
const PLAN_MS: Millisecond = 100;

/// Move of a host, and the first answer of its worker.
const MOVE_MS: Millisecond = 1_500;

/// Placement of a task, its record and the order.
const START_MS: Millisecond = 500;

/// Maintenance of a host.
const MAINTENANCE_MS: Millisecond = 2_000;

/// Headroom of a pool for the sum of its long-running tasks, in per cent.
const HEADROOM_PERCENT: u64 = 15;

/// Since when each long-running task could run and does not.
#[derive(Default)]
pub struct Watch {
    since: BTreeMap<TaskId, Moment>,
    /// When a wave was under way last.
    wave: Option<Moment>,
}

/// The steps of long-running tasks of open jobs.
pub(super) struct Lasting<'a> {
    id: &'a Name,
    number: u16,
    pub spec: &'a JobSpec,
    step: &'a Step,
    /// The tasks that do not run.
    pub idle: Vec<TaskId>,
}

impl Watch {
    /// Checks that no long-running task that could run has waited for too long.
    pub fn check(&mut self, fleet: &PoolFleet) -> Result<(), String> {
        let now = fleet.bench.now;
        let is_maintained = |it: &PoolHost| it.state == HostState::Maintenance;
        if !fleet.are_waves_completed() || fleet.hosts.iter().any(is_maintained) {
            self.wave = Some(now);
        }
        let before = std::mem::take(&mut self.since);
        let lasting = fleet.lasting();
        for it in &lasting {
            if it.idle.is_empty() || !fleet.could_run(it, &lasting) {
                continue;
            }
            for task in &it.idle {
                let since = *before.get(task).unwrap_or(&now);
                let bound = fleet.start_bound_ms(self.wave.is_some_and(|it| it >= since));
                if now.since(since) > bound {
                    let (waited, step) = (now.since(since), it.step);
                    return Err(format!("{task:?} could run for {waited} ms, {bound}: {step:?}"));
                }
                self.since.insert(task.clone(), since);
            }
        }
        Ok(())
    }
}

impl PoolFleet {
    /// Returns how long a long-running task that could run may wait.
    fn start_bound_ms(&self, has_wave: bool) -> Millisecond {
        let short = self.specs.values().flat_map(|it| &it.steps).filter(|it| !it.long_running);
        let longest = short.map(|it| it.estimate_ms).max().unwrap_or(0);
        // A wave may take the host that was emptied, so that another one has to finish its tasks.
        let maintenance = if has_wave { MAINTENANCE_MS + longest } else { 0 };
        WAIT_MS + PLAN_MS + longest + MOVE_MS + START_MS + maintenance
    }

    pub(super) fn lasting(&self) -> Vec<Lasting<'_>> {
        let mut found = Vec::new();
        for (id, spec) in self.specs.iter().filter(|it| !self.is_cancelled(it.0)) {
            for (number, step) in spec.steps.iter().enumerate().filter(|it| it.1.long_running) {
                let tasks = (0..step.count).map(|it| crate::common::task(id, number as u16, it));
                let idle = tasks.filter(|it| !self.runs_anywhere(it)).collect();
                found.push(Lasting { id, number: number as u16, spec, step, idle });
            }
        }
        found
    }

    fn runs_anywhere(&self, task: &TaskId) -> bool {
        self.hosts.iter().any(|it| it.running.contains_key(task))
    }

    /// Returns whether a host of its own pool could be freed for a task of the step, a spare one be moved, or one that another
    /// pool has beyond its claim.
    fn could_run(&self, it: &Lasting, lasting: &[Lasting]) -> bool {
        if !self.is_within_limit(it) {
            return false;
        }
        let suits = |host: &&PoolHost| {
            host.state == HostState::Up
                && it.step.label.as_ref().is_none_or(|label| host.labels.contains(label))
                && self.places(host, it) > 0
        };
        let mut hosts = self.hosts.iter().filter(suits);
        hosts.any(|host| {
            let own = *it.spec.route.pool == *host.pool;
            own || host.pool == SPARE
                || self.is_free_of_lasting(host) && self.is_beyond_claim(&host.pool, lasting)
        })
    }

    fn is_within_limit(&self, it: &Lasting) -> bool {
        let team = &it.spec.team;
        let limit = self.config.teams.get(team).map(|it| it.limit).unwrap_or_default();
        let running = self.hosts.iter().flat_map(|it| it.running.keys());
        let own = running.filter(|it| self.specs[&it.job].team == *team);
        let used = own.fold(it.step.size, |used, it| used.plus(self.step_of(it).size));
        let within = |limit: u32, used: u32| limit == 0 || used <= limit;
        within(limit.millicores, used.millicores) && within(limit.memory_mib, used.memory_mib)
    }

    /// Returns how many tasks of a step a host has room for once its short tasks have ended.
    fn places(&self, host: &PoolHost, it: &Lasting) -> u64 {
        let mut free = host.capacity;
        let mut siblings = 0;
        for (task, (_, ends, _)) in &host.running {
            let step = self.step_of(task);
            if step.long_running || ends.is_none() {
                free = free.minus(step.room());
            }
            siblings += u32::from(task.job == *it.id && task.step == it.number);
        }
        let most = it.step.per_worker.map_or(u32::MAX, |most| most.saturating_sub(siblings));
        free.times(it.step.room()).min(most.into())
    }

    /// Returns whether neither a long-running task nor one that hangs is on a host.
    fn is_free_of_lasting(&self, host: &PoolHost) -> bool {
        let stays = |(task, it): (&TaskId, &Run)| self.step_of(task).long_running || it.1.is_none();
        !host.running.iter().any(stays)
    }

    /// Returns whether a pool has more hosts than its own long-running tasks can ask for, each on a host of its own.
    fn is_beyond_claim(&self, pool: &str, lasting: &[Lasting]) -> bool {
        let here = || self.hosts.iter().filter(|it| it.pool == pool && it.has_worker());
        let numbers = (0..self.hosts.len()).filter(|it| self.hosts[*it].pool == pool);
        let kept =
            numbers.filter(|it| self.hosts[*it].has_worker() && !self.has_to_be_maintained(*it));
        let smallest = here().map(|it| it.capacity).reduce(Resources::min_of).unwrap_or_default();
        let own = || lasting.iter().filter(|it| *it.spec.route.pool == *pool);
        let sum = |part: fn(Resources) -> u32| {
            let of = |it: &Lasting| u64::from(it.step.count) * u64::from(part(it.step.room()));
            let sum: u64 = own().map(of).sum();
            (sum * (100 + HEADROOM_PERCENT) / 100).div_ceil(u64::from(part(smallest)).max(1))
        };
        let by_sum = sum(|it| it.millicores).max(sum(|it| it.memory_mib));
        let spread =
            |it: &Lasting| it.step.per_worker.map_or(0, |most| it.step.count.div_ceil(most));
        let spread = own().map(spread).max().unwrap_or(0);
        let standing = here().filter(|it| !self.is_free_of_lasting(it)).count();
        let idle: usize = own().map(|it| it.idle.len()).sum();
        kept.count() as u64 > by_sum.max(spread.into()).max((standing + idle) as u64)
    }
}
