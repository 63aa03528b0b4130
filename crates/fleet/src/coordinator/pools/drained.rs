//! Hosts that finish their tasks before they move to another pool.

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use super::{Move, Part, STANDING, may_give, shortest, surplus};
use crate::{
    HostState, Name,
    coordinator::{
        Coordinator,
        demand::HostAffinity,
        pool_view::{AffinityView, PoolView, Views},
    },
};

/// How long a host stays in a pool before it is emptied for another one: longer than a move takes.
const MIN_STAY_MS: Millisecond = 2_000;

/// Hosts are emptied in a pool that has more than its share by more than this part of it, so that small changes of the
/// shares move none.
const SHARE_SLACK_DIVISOR: u64 = 16;

/// Drained hosts, those first whose tasks end first, with the time until then if it is known.
type Drained = Vec<(Option<Millisecond>, Name)>;

impl Coordinator {
    /// Takes the hosts that are drained for other pools: those that may be moved now, and the others.
    pub(super) fn take_drained(&mut self, now: Moment) -> (Drained, Drained) {
        let mut drained: Drained = std::mem::take(&mut self.draining_to)
            .into_keys()
            .map(|it| (self.worker_on(&it).and_then(|worker| self.busy_ms(worker, now)), it))
            .collect();
        drained.sort();
        drained.into_iter().partition(|it| self.is_free(&it.1, now))
    }

    /// Returns moves of hosts that have finished their tasks for another pool. Those with labels that a claim lacks go there, since
    /// no others will do; of the rest the host that is empty first goes to the pool that is shortest now, whichever it was drained
    /// for. Hosts stay where no other pool is shorter meanwhile, where their own pool lacks hosts for its long-running tasks, or
    /// where a task does not end.
    pub(super) fn move_drained(
        &mut self,
        views: &mut Views,
        spare: &Name,
        drained: Drained,
        now: Moment,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut others = Vec::new();
        for (busy_ms, host) in drained {
            match lacking_label(views, spare, |_, it| it.is_met_by(self.labels_of(&host))) {
                Some((pool, _)) if self.pool_of(&host) != Some(&pool) => {
                    self.move_or_keep(views, &mut moves, busy_ms, host, pool, now);
                }
                _ => others.push((busy_ms, host)),
            }
        }
        for (busy_ms, host) in others {
            match shortest(views, spare, pressing_tier) {
                Some(pool) if self.pool_of(&host) != Some(&pool) => {
                    self.move_or_keep(views, &mut moves, busy_ms, host, pool, now);
                }
                _ => self.keep_in_pool(views, &host, now),
            }
        }
        moves
    }

    /// Moves a drained host to a pool, or drains it on for that one, if it may leave its own pool.
    fn move_or_keep(
        &mut self,
        views: &mut Views,
        moves: &mut Vec<Move>,
        busy_ms: Option<Millisecond>,
        host: Name,
        pool: Name,
        now: Moment,
    ) {
        // A host with another order stays reserved for that order. One that stays counts for its own pool, which would
        // otherwise have another host drained.
        let may_leave = self.may_be_drained(&host) && busy_ms.is_some();
        if !may_leave || self.is_needed_by_claim(views, &host) {
            return self.keep_in_pool(views, &host, now);
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

    /// Lets a drained host take tasks again, and counts it as its own pool's unless it was counted already because its new
    /// worker has not answered yet.
    fn keep_in_pool(&mut self, views: &mut Views, host: &Name, now: Moment) {
        let was_counted = self.hosts.get(host).is_some_and(|it| self.is_usable(host, it, now));
        self.update_reserved(host);
        if let Some(seen) = self.hosts.get(host)
            && !was_counted
            && self.may_be_drained(host)
            && self.is_usable(host, seen, now)
            && let Some(own) = views.get_mut(&seen.seen.pool)
        {
            own.add_host(&seen.seen.labels);
        }
    }

    fn pool_of(&self, host: &Name) -> Option<&Name> {
        self.hosts.get(host).map(|it| &it.seen.pool)
    }

    /// Returns whether the claim of a host's own pool lacks hosts, or ones with its labels.
    fn is_needed_by_claim(&self, views: &Views, host: &Name) -> bool {
        let own = self.pool_of(host).and_then(|it| views.get(it));
        own.is_some_and(|it| {
            let lacks = |(affinity, part): (&HostAffinity, &AffinityView)| {
                lacks_label(affinity, part) && affinity.is_met_by(self.labels_of(host))
            };
            it.short_tier() == Some(STANDING) || it.affinities.iter().any(lacks)
        })
    }

    /// Returns whether a host is up and has no order.
    pub(in crate::coordinator) fn may_be_drained(&self, host: &Name) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.duty.is_none() && host.seen.state == HostState::Up
    }

    /// Starts to drain hosts with the labels that claims lack, then hosts of pools that have more than their share, for present
    /// work of pools that have less.
    pub(super) fn drain_hosts(&mut self, views: &mut Views, spare: &Name, now: Moment) {
        if lacking_label(views, spare, |_, _| true).is_none()
            && shortest(views, spare, pressing_tier).is_none()
        {
            return;
        }
        let mut drainable = self.drainable_hosts(views, spare, now);
        let mut given_up: FastSet<(Name, HostAffinity)> = FastSet::default();
        while let Some((pool, label)) =
            lacking_label(views, spare, |pool, it| !given_up.contains(&(pool.clone(), it.clone())))
        {
            let suits = |it: &Name| label.is_met_by(self.labels_of(it));
            match self.host_to_drain(&mut drainable, views, (&pool, STANDING), suits, now) {
                Some(host) => self.drain_to(views, host, pool),
                None => drop(given_up.insert((pool, label))),
            }
        }
        while let Some(pool) = shortest(views, spare, pressing_tier)
            && let Some(tier) = pressing_tier(&views[&pool])
            && let Some(host) =
                self.host_to_drain(&mut drainable, views, (&pool, tier), |_| true, now)
        {
            self.drain_to(views, host, pool);
        }
    }

    fn drain_to(&mut self, views: &mut Views, host: Name, pool: Name) {
        self.reassign_host(views, &host, &pool);
        self.draining_to.insert(host.clone(), pool);
        self.update_reserved(&host);
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

    /// Takes the host that suits and whose tasks end soonest in the pool that has most beyond its share; for a claim, also in one
    /// that has its share.
    fn host_to_drain(
        &self,
        drainable: &mut FastMap<Name, Vec<Name>>,
        views: &Views,
        (for_pool, tier): (&Name, usize),
        suits: impl Fn(&Name) -> bool,
        now: Moment,
    ) -> Option<Name> {
        let has_enough = |it: &PoolView| match tier {
            STANDING => may_give(it, tier),
            _ => it.beyond_share() > it.need.share / SHARE_SLACK_DIVISOR,
        };
        let mut donors: Vec<((u64, u64), &Name)> = drainable
            .keys()
            .filter(|it| *it != for_pool && has_enough(&views[*it]))
            .map(|it| (surplus(&views[it]), it))
            .collect();
        donors.sort_by(|a, b| b.cmp(a));
        let (pool, at) = donors.into_iter().find_map(|(_, pool)| {
            let may_go = |it: &Name| {
                let host = &self.hosts[it];
                suits(it)
                    && (tier == STANDING || now.since(host.up_since) >= MIN_STAY_MS)
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

/// Returns whether a claim lacks hosts with a label. Work runs without a host in the rack of its data.
fn lacks_label(affinity: &HostAffinity, part: &AffinityView) -> bool {
    matches!(affinity, HostAffinity::Label(_)) && part.hosts < part.claim
}

/// Returns the pool and the label that its claim lacks most, of those that may be served.
fn lacking_label(
    views: &Views,
    spare: &Name,
    may_get: impl Fn(&Name, &HostAffinity) -> bool,
) -> Option<(Name, HostAffinity)> {
    let pools = views.iter().filter(|it| it.0 != spare);
    let parts = pools.flat_map(|(pool, it)| it.affinities.iter().map(move |it| (pool, it)));
    let lacking = parts
        .filter(|(pool, (affinity, part))| lacks_label(affinity, part) && may_get(pool, affinity));
    let part = |it: &AffinityView| Part { has: it.hosts, of: it.claim };
    let first = lacking.min_by_key(|(pool, (affinity, it))| (part(it), *pool, *affinity));
    first.map(|(pool, (affinity, _))| (pool.clone(), affinity.clone()))
}
