//! The division of the starts of one placement among pools.
//!
//! While more tasks wait than may be started at once, the order of jobs alone would give all starts to the pools of the first
//! jobs, whose workers are full again each time a task ends, and leave the workers of other pools idle. So starts are
//! divided among pools by the rule that divides hosts; see [`super::shares`]. What a pool has no room for is divided
//! again among the others.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use fuchsiamill_model::{FastMap, units::Moment};

use super::{
    Coordinator, StepKey, Tier, WaitReason,
    room::RoomSearch,
    shares::{TIERS, TierNeeds, divide},
};
use crate::Name;

/// The part of the starts of one placement that is given to pools one by one, so that a pool with few waiting tasks gets a
/// start before the others have caught up.
const EVEN_PART_DIVISOR: usize = 2;

/// How much one placement may place.
#[derive(Clone, Copy)]
pub(super) struct PlaceLimit {
    /// Tasks, but for gangs, which start as a whole.
    pub(super) starts: usize,
    /// Records that it may add to those that wait. A start waits for its record, and so do the ends that are recorded after it.
    pub(super) records: usize,
}

impl PlaceLimit {
    fn is_reached(&self) -> bool {
        self.starts == 0 || self.records == 0
    }
}

/// What a placement has left of the jobs of one pool.
#[derive(Default)]
struct PoolTurn {
    /// Jobs with their positions in the order of jobs, the first one first.
    jobs: VecDeque<(usize, Name)>,
    /// Tasks that wait, up to each tier.
    needs: TierNeeds,
    /// The starts that the pool has left.
    share: usize,
}

impl Coordinator {
    /// Places at most so many tasks of these jobs, in this order, as far as the shares of their pools go. What a pool has no
    /// room for is divided again among those that have tasks left. Returns whether the limit is reached.
    pub(super) fn place_jobs(
        &mut self,
        ranked: Vec<Name>,
        mut limit: PlaceLimit,
        search: &mut RoomSearch,
        now: Moment,
    ) -> bool {
        let mut turns = self.turns(ranked);
        while !limit.is_reached() && !turns.is_empty() {
            self.share_starts(limit.starts, &mut turns);
            self.place_shares(&mut turns, &mut limit, search, now);
            turns.retain(|_, it| !it.jobs.is_empty());
        }
        for (_, id) in turns.into_values().flat_map(|it| it.jobs) {
            self.note_turns(&id, search, now);
        }
        limit.is_reached()
    }

    /// Places tasks in the order of jobs as far as the limit and the shares of their pools go.
    fn place_shares(
        &mut self,
        turns: &mut FastMap<Name, PoolTurn>,
        limit: &mut PlaceLimit,
        search: &mut RoomSearch,
        now: Moment,
    ) {
        let first = |pool: &Name, it: &PoolTurn| {
            it.jobs.front().filter(|_| it.share > 0).map(|it| Reverse((it.0, pool.clone())))
        };
        let mut order: BinaryHeap<_> = turns.iter().filter_map(|it| first(it.0, it.1)).collect();
        while !limit.is_reached()
            && let Some(Reverse((_, pool))) = order.pop()
            && let Some(turn) = turns.get_mut(&pool)
            && let Some((_, id)) = turn.jobs.front().cloned()
        {
            let share = turn.share.min(limit.starts);
            let records = self.record_room();
            let (placed, is_left) = self.place_job(&id, &pool, share, search, now);
            // A gang starts as a whole, beyond the share of its pool, and other pools do not pay for it.
            let paid = placed.min(share);
            turn.share -= paid;
            limit.starts -= paid;
            let more_records = records - self.record_room();
            limit.records = limit.records.saturating_sub(more_records);
            turn.needs.iter_mut().for_each(|it| *it = it.saturating_sub(placed as u64));
            match is_left {
                true => turn.share = 0,
                false => drop(turn.jobs.pop_front()),
            }
            order.extend(first(&pool, turn));
        }
    }

    /// Returns how many tasks of the job were placed, and whether the limit kept one from being looked at.
    fn place_job(
        &mut self,
        id: &Name,
        pool: &Name,
        most: usize,
        search: &mut RoomSearch,
        now: Moment,
    ) -> (usize, bool) {
        let (mut placed, mut is_left) = (0, false);
        for (occurrence, step) in self.open_steps_in_order(id, search, now) {
            let key = StepKey { job: id.clone(), occurrence: occurrence as u32, step: step as u16 };
            let outcome = self.place_step(&key, search, most.saturating_sub(placed), now);
            placed += outcome.placed;
            is_left |= outcome.reason == Some(WaitReason::Turn);
            self.note_wait(&key, outcome.reason, outcome.placed > 0, now);
        }
        if placed > 0 {
            self.last_start_in.insert(pool.clone(), now);
        }
        (placed, is_left)
    }

    /// Returns the open steps of a job, those first whose long-running tasks have waited longest.
    fn open_steps_in_order(
        &mut self,
        id: &Name,
        search: &RoomSearch,
        now: Moment,
    ) -> Vec<(usize, usize)> {
        let mut open = self.open_steps(id, search, now);
        if let Some(job) = self.jobs.get(id).filter(|it| it.spec.long_running()) {
            let is_short = |it: &(usize, usize)| !job.spec.steps[it.1].long_running;
            let since =
                |it: &(usize, usize)| job.occurrences[it.0].steps[it.1].waits_since_run_end();
            open.sort_by_cached_key(|it| (is_short(it), since(it)));
        }
        open
    }

    /// Notes that the steps of a job that may find room wait for their turn.
    fn note_turns(&mut self, id: &Name, search: &RoomSearch, now: Moment) {
        for (occurrence, step) in self.open_steps(id, search, now) {
            let key = StepKey { job: id.clone(), occurrence: occurrence as u32, step: step as u16 };
            self.note_wait(&key, Some(WaitReason::Turn), false, now);
        }
    }

    /// Returns the jobs with tasks that may start, by pool.
    fn turns(&self, ranked: Vec<Name>) -> FastMap<Name, PoolTurn> {
        let mut turns: FastMap<Name, PoolTurn> = FastMap::default();
        for (position, id) in ranked.into_iter().enumerate() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let tasks: u64 = match job.spec.steps.len() == 1 {
                true => job.waiting.into(),
                false => {
                    let open = job.open_steps().into_iter();
                    open.map(|(k, step)| u64::from(job.occurrences[k].steps[step].waiting)).sum()
                }
            };
            if tasks == 0 {
                continue;
            }
            let turn = turns.entry(job.spec.route.pool.clone()).or_default();
            turn.needs[position_of(job.tier)..].iter_mut().for_each(|it| *it += tasks);
            turn.jobs.push_back((position, id));
        }
        turns
    }

    /// Divides the starts among pools; each gets what it needs if there are enough for all tasks that wait.
    fn share_starts(&self, most: usize, turns: &mut FastMap<Name, PoolTurn>) {
        let mut pools: Vec<(&Name, &mut PoolTurn)> = turns.iter_mut().collect();
        pools.sort_by(|a, b| {
            let key = |it: &Name| self.last_start_in.get(it).copied();
            (key(a.0), a.0).cmp(&(key(b.0), b.0))
        });
        let needs: Vec<TierNeeds> =
            pools.iter().map(|it| it.1.needs.map(|need| need.max(1))).collect();
        let all = needs.iter().map(|it| it[TIERS - 1]).fold(0, u64::saturating_add);
        let even = match all <= most as u64 {
            true => 0,
            false => pools.len().min(most.div_ceil(EVEN_PART_DIVISOR)),
        };
        let shares = divide((most - even) as u64, &needs);
        for (at, (_, turn)) in pools.into_iter().enumerate() {
            turn.share = shares[at] as usize + usize::from(at < even);
        }
    }
}

/// Returns the first of the needs of a pool that includes work of a tier.
fn position_of(tier: Tier) -> usize {
    match tier {
        Tier::Standing => 0,
        Tier::InTime => 1,
        Tier::Late => 2,
        Tier::Excess => 3,
    }
}
