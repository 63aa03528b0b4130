//! Moves of hosts between pools.
//!
//! Queues peak in turn, far above what their pool holds, and are nearly idle in between. Therefore hosts follow the
//! demand.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{
    Coordinator, HostDuty,
    demand::HostAffinity,
    needs::{PoolNeed, PoolView, Views},
};
use crate::{HostState, Name, TaskId};

/// How long a host is idle before it leaves a pool that has enough hosts. A host that leaves and comes back costs as
/// much as about two seconds in a pool.
const IDLE_MS: Millisecond = 800;

impl Coordinator {
    /// Moves hosts to the pools that need them, and idle ones to the spare pool.
    pub(super) fn plan_pools(&mut self, now: Moment) {
        let Some(spare) = self.config.spare_pool().map(|it| it.name.clone()) else { return };
        let mut views = self.pool_views(now);
        self.pool_needs = views.values().map(|it| it.need.clone()).collect();
        let mut moves = self.move_drained(&mut views, now);
        moves.extend(self.grow(&mut views, &spare, now));
        self.drain_hosts(&mut views, &spare);
        moves.extend(self.shrink(&mut views, &spare, now));
        for (host, pool) in moves {
            self.give_duty(&host, HostDuty::Move { pool }, now);
        }
    }

    /// Returns moves of hosts to pools that are short of them. Affinities that lack hosts come first, since no other
    /// hosts will do.
    fn grow(&self, views: &mut Views, spare: &Name, now: Moment) -> Vec<(Name, Name)> {
        let mut free = self.spare_hosts(spare, now);
        let short = pools_where(views, |name, it| name != spare && it.is_short());
        let mut moves = Vec::new();
        for pool in &short {
            for affinity in views[pool].need.lacking.clone() {
                while views[pool].affinities[&affinity].wanted
                    > views[pool].affinities[&affinity].hosts
                    && let Some(host) = self.take_host(&mut free, views, pool, Some(&affinity))
                {
                    moves.push((host, pool.clone()));
                }
            }
        }
        // Jobs within the weights of teams come first, in every pool; then the jobs beyond them.
        for need in [|it: &PoolNeed| it.owed, |it: &PoolNeed| it.wanted] {
            for pool in &short {
                while need(&views[pool].need) > views[pool].need.hosts
                    && let Some(host) = self.take_host(&mut free, views, pool, None)
                {
                    moves.push((host, pool.clone()));
                }
            }
        }
        moves
    }

    /// Takes a spare host for a pool, or a host that another pool can do without.
    fn take_host(
        &self,
        free: &mut Vec<Name>,
        views: &mut Views,
        pool: &Name,
        affinity: Option<&HostAffinity>,
    ) -> Option<Name> {
        let suits =
            |it: &Name| affinity.is_none_or(|affinity| affinity.is_met_by(self.labels_of(it)));
        let host = match free.iter().rposition(suits) {
            Some(at) => free.remove(at),
            None => self.take_idle(views, pool, suits)?,
        };
        views.get_mut(pool)?.add_host(self.labels_of(&host));
        Some(host)
    }

    /// Takes an idle host from the pool that has most beyond its need.
    fn take_idle(
        &self,
        views: &mut Views,
        for_pool: &Name,
        suits: impl Fn(&Name) -> bool,
    ) -> Option<Name> {
        let may_go = |view: &PoolView| {
            let can_leave =
                |it: &(Moment, Name)| suits(&it.1) && view.can_spare(self.labels_of(&it.1));
            view.idle.iter().rposition(can_leave)
        };
        let surplus = |it: &PoolView| it.need.hosts.saturating_sub(it.need.wanted);
        let (_, view, at) = views
            .iter_mut()
            .filter(|(name, it)| *name != for_pool && surplus(it) > 0)
            .filter_map(|(name, it)| may_go(it).map(|at| (name, it, at)))
            .max_by_key(|(name, it, _)| (surplus(it), (*name).clone()))?;
        let (_, host) = view.idle.remove(at);
        view.remove_host(self.labels_of(&host));
        Some(host)
    }

    /// Returns moves to the spare pool, of hosts that were idle for long in pools that have enough.
    fn shrink(&self, views: &mut Views, spare: &Name, now: Moment) -> Vec<(Name, Name)> {
        let mut moves = Vec::new();
        for (_, view) in views.iter_mut().filter(|it| it.0 != spare) {
            while view.need.hosts > view.recent_peak {
                let may_go = |it: &(Moment, Name)| {
                    now.since(it.0) >= IDLE_MS && view.can_spare(self.labels_of(&it.1))
                };
                let Some(at) = view.idle.iter().rposition(may_go) else { break };
                let (_, host) = view.idle.remove(at);
                view.remove_host(self.labels_of(&host));
                moves.push((host, spare.clone()));
            }
        }
        moves
    }

    /// Returns moves of hosts that have finished their tasks for another pool. Hosts stay where that pool has enough
    /// meanwhile.
    fn move_drained(&mut self, views: &mut Views, now: Moment) -> Vec<(Name, Name)> {
        let mut moves = Vec::new();
        let mut draining_to: Vec<(Name, Name)> =
            std::mem::take(&mut self.draining_to).into_iter().collect();
        draining_to.sort();
        for (host, pool) in draining_to {
            // A host with another order stays reserved for that order.
            if !self.may_be_drained(&host) {
                self.update_reserved(&host);
                continue;
            }
            if views.get(&pool).is_none_or(|it| it.need.pressing <= it.need.hosts) {
                self.update_reserved(&host);
                continue;
            }
            // Its own pool no longer counts it.
            if let Some(to) = views.get_mut(&pool) {
                to.add_host(self.labels_of(&host));
            }
            match self.is_free(&host, now) {
                true => moves.push((host, pool)),
                false => drop(self.draining_to.insert(host, pool)),
            }
        }
        moves
    }

    /// Returns whether a host is up and has no order.
    fn may_be_drained(&self, host: &Name) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.duty.is_none() && host.seen.state == HostState::Up
    }

    /// Starts to drain hosts of pools that have more than their `owed` hosts, for pools with fewer than their
    /// `pressing` hosts.
    fn drain_hosts(&mut self, views: &mut Views, spare: &Name) {
        let is_short = |it: &PoolView| it.need.pressing > it.need.hosts;
        for pool in pools_where(views, |name, it| name != spare && is_short(it)) {
            while views[&pool].need.pressing > views[&pool].need.hosts
                && let Some(host) = self.host_to_drain(views, spare)
            {
                self.reassign_host(views, &host, &pool);
                self.draining_to.insert(host.clone(), pool.clone());
                self.update_reserved(&host);
            }
        }
    }

    /// Returns the host with the fewest tasks in the pool that has most beyond its `owed` hosts. Hosts with
    /// long-running tasks are left out.
    fn host_to_drain(&self, views: &Views, spare: &Name) -> Option<Name> {
        let surplus = |it: &PoolView| it.need.hosts.saturating_sub(it.need.owed);
        let donors = views.iter().filter(|(name, it)| *name != spare && surplus(it) > 0);
        let (donor, view) = donors.max_by_key(|(name, it)| (surplus(it), (*name).clone()))?;
        let may_go = |host: &&Name| {
            let Some(worker) = self.worker_on(host) else { return false };
            let long_running = |it: &TaskId| self.step_of(it).is_some_and(|step| step.long_running);
            self.hosts[*host].seen.pool == *donor
                && self.may_be_drained(host)
                && worker.answered
                && !worker.is_leaving()
                && !worker.live.keys().any(long_running)
                && view.can_spare(self.labels_of(host))
        };
        let hosts = self.hosts.keys().filter(may_go);
        hosts.min_by_key(|it| (self.task_count_on(it), (*it).clone())).cloned()
    }

    /// Counts a host for the pool that it will move to, instead of its own pool.
    fn reassign_host(&self, views: &mut Views, host: &Name, pool: &Name) {
        let labels = self.labels_of(host);
        if let Some(from) = self.hosts.get(host).and_then(|it| views.get_mut(&it.seen.pool)) {
            from.remove_host(labels);
        }
        if let Some(to) = views.get_mut(pool) {
            to.add_host(labels);
        }
    }

    fn labels_of(&self, host: &Name) -> &[Name] {
        self.hosts.get(host).map_or(&[], |it| &it.seen.labels)
    }

    fn spare_hosts(&self, spare: &Name, now: Moment) -> Vec<Name> {
        let is_spare =
            |name: &&Name| self.hosts[*name].seen.pool == *spare && self.is_free(name, now);
        let mut hosts: Vec<Name> = self.hosts.keys().filter(is_spare).cloned().collect();
        hosts.sort();
        hosts
    }

    /// Returns what each pool needs according to the last plan.
    pub fn pool_needs(&self) -> &[PoolNeed] {
        &self.pool_needs
    }
}

/// Returns the names of the matching pools, in a fixed order.
fn pools_where(views: &Views, is_meant: impl Fn(&Name, &PoolView) -> bool) -> Vec<Name> {
    let meant = views.iter().filter(|(name, it)| is_meant(name, it));
    let mut names: Vec<Name> = meant.map(|(name, _)| name.clone()).collect();
    names.sort();
    names
}
