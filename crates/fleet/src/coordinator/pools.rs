//! Moves of hosts between pools.
//!
//! Queues peak in turn, far above what their pool holds, and are nearly idle in between. Therefore hosts follow the
//! demand.

use std::cmp::Ordering;

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, HostDuty,
    demand::HostAffinity,
    pool_view::{PoolNeed, PoolView, Views},
    shares::TIERS,
};
use crate::{HostState, Name};

/// How long a host is idle before it leaves a pool that has enough hosts. A host that leaves and comes back costs as
/// much as about two seconds in a pool.
const IDLE_MS: Millisecond = 800;

/// How long a host stays in a pool before it is emptied for another one: longer than a move takes.
const MIN_STAY_MS: Millisecond = 2_000;

/// Hosts are emptied in a pool that has more than its share by more than this part of it, so that small changes of the
/// shares move none.
const SHARE_SLACK_DIVISOR: u64 = 16;

/// The tier of tasks that run all the time or at a time of day. Hosts for it are taken without regard to the slack and to how
/// long they have been in their pool.
const STANDING: usize = 0;

/// A host and the pool that it is moved to.
pub(super) type Move = (Name, Name);

impl Coordinator {
    /// Moves hosts to the pools that need them, and idle ones to the spare pool.
    pub(super) fn plan_pools(&mut self, now: Moment) {
        let mut views = self.pool_views(now);
        self.pool_needs = views.values().map(|it| it.need.clone()).collect();
        let Some(spare) = self.config.spare_pool().map(|it| it.name.clone()) else {
            return self.hold_room(&views, &[], now);
        };
        let mut moves = self.move_drained(&mut views, &spare, now);
        moves.extend(self.grow(&mut views, &spare, now));
        self.drain_hosts(&mut views, &spare, now);
        moves.extend(self.shrink(&mut views, &spare, now));
        self.hold_room(&views, &moves, now);
        for (host, pool) in moves {
            self.give_duty(&host, HostDuty::Move { pool }, now);
        }
    }

    /// Returns moves of hosts to pools that are short of them. Affinities that lack hosts come first, since no other
    /// hosts will do.
    fn grow(&self, views: &mut Views, spare: &Name, now: Moment) -> Vec<Move> {
        let mut free: Vec<Name> = self.spare_hosts(spare, now).cloned().collect();
        // Hosts that are to be maintained are taken last, from the front.
        free.sort_by_cached_key(|it| (!self.due.has_host(it), it.clone()));
        let mut moves = Vec::new();
        for is_claim in [true, false] {
            let mut given_up: FastSet<(Name, HostAffinity)> = FastSet::default();
            while let Some((pool, affinity)) = most_lacking(views, spare, is_claim, &given_up) {
                let tier = if is_claim { STANDING } else { TIERS - 1 };
                match self.take_host(&mut free, views, &pool, tier, Some(&affinity)) {
                    Some(host) => moves.push((host, pool)),
                    None => drop(given_up.insert((pool, affinity))),
                }
            }
        }
        while let Some(pool) = shortest(views, spare, |it| it.short_tier())
            && let Some(tier) = views[&pool].short_tier()
            && let Some(host) = self.take_host(&mut free, views, &pool, tier, None)
        {
            moves.push((host, pool));
        }
        moves
    }

    /// Takes a spare host for a pool, or a host that another pool can do without.
    fn take_host(
        &self,
        free: &mut Vec<Name>,
        views: &mut Views,
        pool: &Name,
        tier: usize,
        affinity: Option<&HostAffinity>,
    ) -> Option<Name> {
        let suits =
            |it: &Name| affinity.is_none_or(|affinity| affinity.is_met_by(self.labels_of(it)));
        let host = match free.iter().rposition(suits) {
            Some(at) => free.remove(at),
            None => self.take_idle(views, pool, tier, suits)?,
        };
        views.get_mut(pool)?.add_host(self.labels_of(&host));
        Some(host)
    }

    /// Takes an idle host from the pool that has most beyond its share; for a claim, also from one that has its share.
    fn take_idle(
        &self,
        views: &mut Views,
        for_pool: &Name,
        tier: usize,
        suits: impl Fn(&Name) -> bool,
    ) -> Option<Name> {
        let may_go = |view: &PoolView| {
            let can_leave =
                |it: &(Moment, Name)| suits(&it.1) && view.can_spare(self.labels_of(&it.1));
            view.idle.iter().rposition(can_leave)
        };
        let (_, view, at) = views
            .iter_mut()
            .filter(|(name, it)| *name != for_pool && may_give(it, tier))
            .filter_map(|(name, it)| may_go(it).map(|at| (name, it, at)))
            .max_by_key(|(name, it, _)| (surplus(it), (*name).clone()))?;
        let (_, host) = view.idle.remove(at);
        view.remove_host(self.labels_of(&host));
        Some(host)
    }

    /// Returns moves to the spare pool, of hosts that were idle for long in pools that have enough.
    fn shrink(&self, views: &mut Views, spare: &Name, now: Moment) -> Vec<Move> {
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

    /// Returns moves of hosts that have finished their tasks for another pool. The host that is empty first goes to the pool that
    /// is shortest now, whichever it was drained for. Hosts stay where no other pool is shorter meanwhile, where their own pool lacks
    /// hosts for its long-running tasks, or where a task does not end.
    fn move_drained(&mut self, views: &mut Views, spare: &Name, now: Moment) -> Vec<Move> {
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
    pub(super) fn may_be_drained(&self, host: &Name) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.duty.is_none() && host.seen.state == HostState::Up
    }

    /// Starts to drain hosts of pools that have more than their share, for present work of pools that have less.
    fn drain_hosts(&mut self, views: &mut Views, spare: &Name, now: Moment) {
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

    fn labels_of(&self, host: &Name) -> &[Name] {
        self.hosts.get(host).map_or(&[], |it| &it.seen.labels)
    }

    /// Returns the hosts of the spare pool that may be moved now.
    pub(super) fn spare_hosts(&self, spare: &Name, now: Moment) -> impl Iterator<Item = &Name> {
        let is_spare =
            move |name: &&Name| self.hosts[*name].seen.pool == *spare && self.is_free(name, now);
        self.hosts.keys().filter(is_spare)
    }

    /// Returns what each pool needs according to the last plan.
    pub fn pool_needs(&self) -> &[PoolNeed] {
        &self.pool_needs
    }
}

/// Returns the first tier for which a pool is short and has present work.
fn pressing_tier(view: &PoolView) -> Option<usize> {
    let tier = view.short_tier()?;
    (view.need.pressing.min(view.due(tier)) > view.need.hosts).then_some(tier)
}

/// Returns whether a pool may give a host to another one that is short for this tier. Hosts beyond the claims of other pools may
/// all be busy or on their way, so that a claim waits for them no longer than for any other host.
fn may_give(view: &PoolView, tier: usize) -> bool {
    match tier {
        STANDING => view.beyond(STANDING) > 0,
        _ => view.beyond_share() > 0,
    }
}

/// Returns what a pool has beyond its share, and beyond its claim.
fn surplus(view: &PoolView) -> (u64, u64) {
    (view.beyond_share(), view.beyond(STANDING))
}

/// Returns the pool that gets the next host: of those that are short for the first tier, the one that has the smallest part of
/// what it is to get. `short_tier` returns for which tier a pool is short.
fn shortest(
    views: &Views,
    spare: &Name,
    short_tier: impl Fn(&PoolView) -> Option<usize>,
) -> Option<Name> {
    let short = views.iter().filter(|it| it.0 != spare);
    let short = short.filter_map(|(name, it)| Some((short_tier(it)?, name, it)));
    let key = |it: &PoolView, tier: usize| Part { has: it.need.hosts, of: it.due(tier) };
    let first = short.min_by(|(tier_a, a, view_a), (tier_b, b, view_b)| {
        let parts = || key(view_a, *tier_a).cmp(&key(view_b, *tier_b));
        tier_a.cmp(tier_b).then_with(parts).then_with(|| a.cmp(b))
    });
    first.map(|it| it.1.clone())
}

/// Returns the pool and the affinity of its work that has the smallest part of the hosts that it needs. A pool that has its
/// share of scarce hosts gets no further ones for being near their data only.
fn most_lacking(
    views: &Views,
    spare: &Name,
    is_claim: bool,
    given_up: &FastSet<(Name, HostAffinity)>,
) -> Option<(Name, HostAffinity)> {
    let mut first: Option<(Part, (Name, HostAffinity))> = None;
    for (pool, view) in views.iter().filter(|it| it.0 != spare) {
        let has_share = view.need.is_scarce() && view.need.hosts >= view.need.share;
        for (affinity, part) in &view.affinities {
            let needs = if is_claim { part.claim } else { part.wanted };
            let is_left_out = has_share && matches!(affinity, HostAffinity::Rack(_));
            let found = (Part { has: part.hosts, of: needs }, (pool.clone(), affinity.clone()));
            if part.hosts < needs
                && !is_left_out
                && !given_up.contains(&found.1)
                && first.as_ref().is_none_or(|it| found < *it)
            {
                first = Some(found);
            }
        }
    }
    first.map(|it| it.1)
}

/// A part of a number of hosts. The smaller part comes first, among equal ones that of more hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    has: u64,
    of: u64,
}

impl Ord for Part {
    fn cmp(&self, other: &Self) -> Ordering {
        let product = |a: u64, b: u64| u128::from(a) * u128::from(b);
        let by_part = product(self.has, other.of).cmp(&product(other.has, self.of));
        by_part.then_with(|| other.of.cmp(&self.of))
    }
}

impl PartialOrd for Part {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
