//! Moves of hosts between pools.
//!
//! Queues peak in turn, far above what their pool holds, and are nearly idle in between. Therefore hosts follow the
//! demand.

mod drained;

use std::cmp::Ordering;

use fuchsiamill_model::{FastSet, units::Moment};

use super::{
    Coordinator, HostDuty,
    demand::HostAffinity,
    pool_view::{PoolNeed, PoolView, Views},
    shares::TIERS,
    worker::IDLE_MS,
};
use crate::Name;

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
        self.note_capacities(&views, now);
        let Some(spare) = self.config.spare_pool().map(|it| it.name.clone()) else {
            return self.hold_room(&views, &[], now);
        };
        let mut free = self.free_hosts(&spare, now);
        let (empty, busy) = self.take_drained(now);
        let mut moves = self.move_drained(&mut views, &spare, empty, now);
        // Free hosts serve a claim sooner than busy ones, which count for it only afterwards.
        moves.extend(self.serve_affinities(&mut views, &spare, &mut free));
        moves.extend(self.grow(&mut views, &spare, &mut free, STANDING));
        if self.timing.demand_pools {
            // Work waits for no busy host while there are free ones.
            moves.extend(self.grow(&mut views, &spare, &mut free, TIERS - 1));
        }
        moves.extend(self.move_drained(&mut views, &spare, busy, now));
        moves.extend(self.grow(&mut views, &spare, &mut free, TIERS - 1));
        self.drain_hosts(&mut views, &spare, now);
        moves.extend(self.shrink(&mut views, &spare, now));
        moves.extend(self.return_cordoned(&views, &spare, now));
        self.hold_room(&views, &moves, now);
        for (host, pool) in moves {
            *self.pool_moves.entry(pool.clone()).or_default() += 1;
            self.give_duty(&host, HostDuty::Move { pool }, now);
        }
    }

    /// Returns the hosts of the spare pool that may be moved now, the one that is taken first at the end.
    fn free_hosts(&self, spare: &Name, now: Moment) -> Vec<Name> {
        let mut free: Vec<Name> = self.spare_hosts(spare, now).cloned().collect();
        // Hosts that are to be maintained are taken last, from the front.
        free.sort_by_cached_key(|it| (!self.due.has_host(it), it.clone()));
        free
    }

    /// Returns moves of hosts to pools whose work asks for certain ones. These come first, since no other hosts will do.
    fn serve_affinities(&self, views: &mut Views, spare: &Name, free: &mut Vec<Name>) -> Vec<Move> {
        let mut moves = Vec::new();
        for is_claim in [true, false] {
            let mut given_up: FastSet<(Name, HostAffinity)> = FastSet::default();
            while let Some((pool, affinity)) = most_lacking(views, spare, is_claim, &given_up) {
                let tier = if is_claim { STANDING } else { TIERS - 1 };
                match self.take_host(free, views, &pool, tier, Some(&affinity)) {
                    Some(host) => moves.push((host, pool)),
                    None => drop(given_up.insert((pool, affinity))),
                }
            }
        }
        moves
    }

    /// Returns moves of hosts to pools that are short of them for a tier up to `last`.
    fn grow(
        &self,
        views: &mut Views,
        spare: &Name,
        free: &mut Vec<Name>,
        last: usize,
    ) -> Vec<Move> {
        let short_tier = |it: &PoolView| it.short_tier().filter(|tier| *tier <= last);
        let mut moves = Vec::new();
        while let Some(pool) = shortest(views, spare, short_tier)
            && let Some(tier) = short_tier(&views[&pool])
            && let Some(host) = self.take_host(free, views, &pool, tier, None)
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
        let surplus = match self.timing.demand_pools {
            true => self.take_idle(views, pool, suits, |it| it.need.hosts > it.need.kept),
            false => None,
        };
        let spare = || free.iter().rposition(suits).map(|at| free.remove(at));
        let idle = || self.take_idle(views, pool, suits, |it| may_give(it, tier));
        let host = surplus.or_else(spare).or_else(idle)?;
        views.get_mut(pool)?.add_host(self.labels_of(&host));
        Some(host)
    }

    /// Takes an idle host from the pool that has most beyond its share; for a claim, also from one that has its share.
    fn take_idle(
        &self,
        views: &mut Views,
        for_pool: &Name,
        suits: impl Fn(&Name) -> bool,
        may_give: impl Fn(&PoolView) -> bool,
    ) -> Option<Name> {
        let may_go = |view: &PoolView| {
            let can_leave =
                |it: &(Moment, Name)| suits(&it.1) && view.can_spare(self.labels_of(&it.1));
            view.idle.iter().rposition(can_leave)
        };
        let (_, view, at) = views
            .iter_mut()
            .filter(|(name, it)| *name != for_pool && may_give(it))
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
            while view.need.hosts > view.need.kept {
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

    fn labels_of(&self, host: &Name) -> &[Name] {
        self.hosts.get(host).map_or(&[], |it| &it.seen.labels)
    }

    /// Returns the hosts of the spare pool that may be moved now.
    pub(super) fn spare_hosts(&self, spare: &Name, now: Moment) -> impl Iterator<Item = &Name> {
        let is_spare = move |name: &&Name| {
            self.hosts[*name].seen.pool == *spare
                && self.is_free(name, now)
                && !self.is_cordoned(name)
        };
        self.hosts.keys().filter(is_spare)
    }

    /// Returns what each pool needs according to the last plan.
    pub fn pool_needs(&self) -> &[PoolNeed] {
        &self.pool_needs
    }
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
