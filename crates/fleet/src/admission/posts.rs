//! How the recently accepted jobs are distributed over entry hosts.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use crate::Name;

/// Counts are halved after this time, which is a few rounds of a balancer.
const HALF_LIFE_MS: Millisecond = 8_000;

/// The weight of one job, so that halved counts keep their fractions.
const UNIT: u32 = 1_024;

/// Recently accepted jobs by entry host.
#[derive(Clone, Debug, Default)]
pub struct RecentPosts {
    counts: FastMap<Name, u32>,
    halved: Moment,
}

impl RecentPosts {
    /// Counts a job that an entry host accepted.
    pub fn note(&mut self, entry: &Name, now: Moment) {
        self.halve(now);
        let count = self.counts.entry(entry.clone()).or_default();
        *count = count.saturating_add(UNIT);
    }

    /// Returns the part of each entry host, in thousandths.
    pub fn shares(&mut self, now: Moment) -> FastMap<Name, u32> {
        self.halve(now);
        let all: u64 = self.counts.values().map(|it| u64::from(*it)).sum();
        let share = |count: &u32| (u64::from(*count) * 1_000).div_ceil(all.max(1)) as u32;
        self.counts.iter().map(|(entry, count)| (entry.clone(), share(count))).collect()
    }

    fn halve(&mut self, now: Moment) {
        let times = now.since(self.halved) / HALF_LIFE_MS;
        if times == 0 {
            return;
        }
        self.halved = now;
        let shift = u32::try_from(times).unwrap_or(u32::MAX);
        self.counts.values_mut().for_each(|it| *it = it.checked_shr(shift).unwrap_or(0));
        self.counts.retain(|_, it| *it > 0);
    }
}
