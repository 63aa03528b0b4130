//! Hosts that finish their tasks before they move to another pool.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{Move, STANDING, may_give, shortest, surplus};
use crate::{
    HostState, Name,
    coordinator::{
        Coordinator,
        pool_view::{PoolView, Views},
    },
};

/// How long a host stays in a pool before it is emptied for another one: longer than a move takes.
const MIN_STAY_MS: Millisecond = 2_000;

/// Hosts are emptied in a pool that has more than its share by more than this part of it, so that small changes of the
/// shares move none.
const SHARE_SLACK_DIVISOR: u64 = 16;

impl Coordinator {
    /// Returns moves of hosts that have finished their tasks for another pool. The host that is empty first goes to the pool that
    /// is shortest now, whichever it was drained for. Hosts stay where no other pool is shorter meanwhile, where their own pool lacks
    /// hosts for its long-running tasks, or where a task does not end.
    pub(super) fn move_drained(
        &mut self,
        views: &mut Views,
        spare: &Name,
        now: Moment,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut drained: Vec<(Option<Millisecond>, Name)> = std::mem::take(&mut self.draining_to)
            .into_keys()
            .map(|it| (self.worker_on(&it).and_then(|worker| self.busy_ms(worker, now)), it))
            .collect();
        drained.sort();
        for (busy_ms, host) in drained {
            // A host with another order stays reserved for that order.
            let own = self.hosts.get(&host).map(|it| it.seen.pool.clone());
            let pool = shortest(views, spare, pressing_tier).filter(|it| Some(it) != own.as_ref());
            let (true, Some(_), Some(pool)) = (self.may_be_drained(&host), busy_ms, pool) else {
                self.update_reserved(&host);
                continue;
            };
            if self.is_pool_below_claim(views, &host) {
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

    fn is_pool_below_claim(&self, views: &Views, host: &Name) -> bool {
        let pool = self.hosts.get(host).and_then(|it| views.get(&it.seen.pool));
        pool.is_some_and(|it| it.short_tier() == Some(STANDING))
    }

    /// Returns whether a host is up and has no order.
    pub(in crate::coordinator) fn may_be_drained(&self, host: &Name) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.duty.is_none() && host.seen.state == HostState::Up
    }

    /// Starts to drain hosts of pools that have more than their share, for present work of pools that have less.
    pub(super) fn drain_hosts(&mut self, views: &mut Views, spare: &Name, now: Moment) {
        if shortest(views, spare, pressing_tier).is_none() {
            return;
        }
        let mut drainable = self.drainable_hosts(views, spare, now);
        while let Some(pool) = shortest(views, spare, pressing_tier)
            && let Some(tier) = pressing_tier(&views[&pool])
            && let Some(host) = self.host_to_drain(&mut drainable, views, tier, now)
        {
            self.reassign_host(views, &host, &pool);
            self.draining_to.insert(host.clone(), pool);
            self.update_reserved(&host);
        }
    }

    /// Returns the hosts that may be drained, by pool, of pools that have more than their claim. Hosts with tasks of which no end
    /// is in sight are left out. Those whose tasks end soonest come last.
    fn drainable_hosts(
        &self,
        views: &Views,
        spare: &Name,
        now: Moment,
    ) -> FastMap<Name, Vec<Name>> {
        let mut drainable: FastMap<Name, Vec<(Millisecond, usize, Name)>> = FastMap::default();
        for (name, host) in &self.hosts {
            let pool = &host.seen.pool;
            if pool == spare || views.get(pool).is_none_or(|it| !may_give(it, STANDING)) {
                continue;
            }
            if let Some(worker) = self.worker_on(name)
                && self.may_be_drained(name)
                && worker.answered
                && !worker.is_leaving()
                && worker.held_for.is_none()
                && let Some(busy_ms) = self.busy_ms(worker, now)
            {
                let key = (busy_ms, worker.live.len(), name.clone());
                drainable.entry(pool.clone()).or_default().push(key);
            }
        }
        let sorted = |(pool, mut hosts): (Name, Vec<(Millisecond, usize, Name)>)| {
            hosts.sort_by(|a, b| b.cmp(a));
            (pool, hosts.into_iter().map(|it| it.2).collect())
        };
        drainable.into_iter().map(sorted).collect()
    }

    /// Takes the host whose tasks end soonest in the pool that has most beyond its share; for a claim, also in one that has
    /// its share.
    fn host_to_drain(
        &self,
        drainable: &mut FastMap<Name, Vec<Name>>,
        views: &Views,
        tier: usize,
        now: Moment,
    ) -> Option<Name> {
        let has_enough = |it: &PoolView| match tier {
            STANDING => may_give(it, tier),
            _ => it.beyond_share() > it.need.share / SHARE_SLACK_DIVISOR,
        };
        let mut donors: Vec<((u64, u64), &Name)> = drainable
            .keys()
            .filter(|it| has_enough(&views[*it]))
            .map(|it| (surplus(&views[it]), it))
            .collect();
        donors.sort_by(|a, b| b.cmp(a));
        let (pool, at) = donors.into_iter().find_map(|(_, pool)| {
            let may_go = |it: &Name| {
                let host = &self.hosts[it];
                (tier == STANDING || now.since(host.up_since) >= MIN_STAY_MS)
                    && views[pool].can_spare(&host.seen.labels)
            };
            Some((pool.clone(), drainable[pool].iter().rposition(may_go)?))
        })?;
        drainable.get_mut(&pool).map(|it| it.remove(at))
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
}

/// Returns the first tier for which a pool is short and has present work.
fn pressing_tier(view: &PoolView) -> Option<usize> {
    let tier = view.short_tier()?;
    (view.need.pressing.min(view.due(tier)) > view.need.hosts).then_some(tier)
}
