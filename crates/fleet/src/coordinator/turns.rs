//! The division of the starts of one placement among pools.
//!
//! While more tasks wait than may be started at once, the order of jobs alone would give all starts to the pools of the first
//! jobs, whose workers are full again each time a task ends, and leave the workers of other pools idle. So starts are
//! divided among pools by the rule that divides hosts; see [`super::shares`]. What a pool has no room for goes to the others
//! in the order of jobs.

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

/// The starts that are left of one placement.
struct StartShares {
    left: usize,
    /// What is left of the share of each pool; `None` if there are enough starts for all.
    by_pool: Option<FastMap<Name, usize>>,
}

impl StartShares {
    fn left_for(&self, pool: &Name) -> usize {
        let share = |by_pool: &FastMap<Name, usize>| by_pool.get(pool).copied().unwrap_or(0);
        self.by_pool.as_ref().map_or(self.left, |it| share(it).min(self.left))
    }

    fn take(&mut self, pool: &Name, starts: usize) {
        self.left = self.left.saturating_sub(starts);
        if let Some(share) = self.by_pool.as_mut().and_then(|it| it.get_mut(pool)) {
            *share = share.saturating_sub(starts);
        }
    }
}

impl Coordinator {
    /// Places at most so many tasks of these jobs, in this order, as far as the shares of their pools go; then tasks of the
    /// jobs that were left for their shares only. Returns whether all starts are used up.
    pub(super) fn place_jobs(
        &mut self,
        ranked: Vec<Name>,
        most: usize,
        search: &mut RoomSearch,
        now: Moment,
    ) -> bool {
        let by_pool = self.shares_of_starts(&ranked, most);
        let mut shares = StartShares { left: most, by_pool };
        let mut left_over = Vec::new();
        for id in ranked {
            if self.place_job(&id, &mut shares, search, now) {
                left_over.push(id);
            }
        }
        shares.by_pool = None;
        for id in left_over {
            self.place_job(&id, &mut shares, search, now);
        }
        shares.left == 0
    }

    /// Returns whether the share of its pool kept a task of the job from being looked at.
    fn place_job(
        &mut self,
        id: &Name,
        shares: &mut StartShares,
        search: &mut RoomSearch,
        now: Moment,
    ) -> bool {
        let Some(pool) = self.jobs.get(id).map(|it| it.spec.route.pool.clone()) else {
            return false;
        };
        let mut is_left = false;
        for (occurrence, step) in self.open_steps(id, search, now) {
            let key = StepKey { job: id.clone(), occurrence: occurrence as u32, step: step as u16 };
            let outcome = self.place_step(&key, search, shares.left_for(&pool), now);
            shares.take(&pool, outcome.placed);
            if outcome.placed > 0 {
                self.last_start_in.insert(pool.clone(), now);
            }
            is_left |= outcome.reason == Some(WaitReason::Turn);
            self.note_wait(&key, outcome.reason, outcome.placed > 0, now);
        }
        is_left
    }

    /// Returns the share of each pool, or `None` if there are enough starts for all tasks that wait.
    fn shares_of_starts(&self, ranked: &[Name], most: usize) -> Option<FastMap<Name, usize>> {
        let jobs = || ranked.iter().filter_map(|it| self.jobs.get(it));
        let all = jobs().map(|it| it.waiting as usize).fold(0, usize::saturating_add);
        if all <= most {
            return None;
        }
        let mut waiting: FastMap<&Name, TierNeeds> = FastMap::default();
        for job in jobs() {
            let open = job.open_steps().into_iter();
            let tasks: u64 =
                open.map(|(k, step)| u64::from(job.occurrences[k].steps[step].waiting)).sum();
            let needs = waiting.entry(&job.spec.route.pool).or_default();
            needs[position(job.tier)..].iter_mut().for_each(|it| *it += tasks);
        }
        let mut pools: Vec<(&Name, TierNeeds)> =
            waiting.into_iter().filter(|it| it.1[TIERS - 1] > 0).collect();
        pools.sort_by_key(|(pool, _)| (self.last_start_in.get(*pool).copied(), *pool));
        let even = pools.len().min(most / EVEN_PART_DIVISOR);
        let needs: Vec<TierNeeds> = pools.iter().map(|it| it.1).collect();
        let shares = divide((most - even) as u64, &needs);
        let share = |(at, (pool, _)): (usize, &(&Name, TierNeeds))| {
            ((*pool).clone(), shares[at] as usize + usize::from(at < even))
        };
        Some(pools.iter().enumerate().map(share).collect())
    }
}

/// Returns the first of the needs of a pool that includes work of a tier.
fn position(tier: Tier) -> usize {
    match tier {
        Tier::Standing => 0,
        Tier::InTime => 1,
        Tier::Late => 2,
        Tier::Excess => 3,
    }
}
