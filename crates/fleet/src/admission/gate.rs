//! The decision of an entry host on a post.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{
    budget::{Accepted, Demand, Fit},
    capacity::Capacities,
    retry::return_after_s,
};
use crate::{JobSpec, Name};

/// Data that is older than this counts as unknown.
pub const MAX_AGE_MS: Millisecond = 2_000;

/// Without data, an entry host accepts as much work for a pool as its share of the pool does in this time: as long as a
/// change of the coordinator takes where it fell silent and the store is slow.
const UNKNOWN_BACKLOG_MS: Millisecond = 4_000;

/// Without data about a pool at any time, an entry host accepts so many jobs for it; some 40 entry hosts accept a few seconds
/// of work.
const UNKNOWN_BACKLOG_JOBS: u32 = 8;

/// The window over which a team's jobs are counted against its weight, as the coordinator does.
const TEAM_WINDOW_MS: Millisecond = 1_000;

/// Jobs above the weight that are tolerated within the window, as the coordinator does.
const TEAM_SLACK_JOBS: f64 = 1.0;

/// Each entry host may use so many times its share of what a team's weight leaves. Weights are some jobs a second, so that a
/// share is less than a job; with a factor of 2, a tenth of the jobs of a steady team counted as beyond its weight and were
/// refused beside the surge of another team, with 8 one in fifty.
const TEAM_SHARE_FACTOR: f64 = 8.0;

/// The time over which refused work counts for when callers are to return.
const REFUSED_WINDOW_MS: Millisecond = 1_000;

/// A job that is posted.
#[derive(Clone, Copy, Debug)]
pub struct Post<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// The weight of its team, in jobs per second; `None` for a team without one.
    pub weight: Option<f64>,
}

/// What a verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The rule does not refuse such jobs.
    Exempt,
    /// The pool is not limited.
    Unlimited,
    /// Data about the pool.
    Known,
    /// There is no data that is recent enough.
    Unknown,
}

/// Why a post is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team has used up its weight, and other work leaves no room.
    Excess,
    /// Work of this priority and more urgent work leaves no room.
    Full,
    /// The backlog that is accepted without data is used up.
    Unknown,
}

/// A refusal, which needs a lookup of the job's row before it may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the post is refused.
    pub reason: Reason,
    /// After how many seconds the caller is to return.
    pub after_s: u64,
}

/// The verdict on a post.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job may be inserted.
    Admit(Basis),
    /// The job is to be refused.
    Refuse(Refusal),
}

/// What an entry host knows of the pools, and what it has accepted.
#[derive(Debug, Default)]
pub struct Gate {
    own_address: Name,
    /// Whether any pool is limited.
    is_limited: bool,
    /// The newest data and when it was computed.
    data: Option<(Capacities, Moment)>,
    pools: FastMap<Name, PoolBudget>,
    /// The posts of each team since the newest data, with the time of each that counts within the team's weight.
    teams: FastMap<Name, Vec<Moment>>,
}

/// What an entry host has accepted and refused for a pool.
#[derive(Debug, Default)]
struct PoolBudget {
    accepted: Accepted,
    accepted_without_data: u32,
    refused: Vec<(Moment, u64)>,
    /// The last known rate of the pool, in millicores, while it was limited.
    last_rate: Option<u64>,
}

impl Gate {
    /// Creates the gate of the entry host with this address.
    pub fn new(own_address: Name) -> Self {
        Self { own_address, ..Self::default() }
    }

    /// Notes whether any pool is limited, as the lease row says.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
        if !is_limited {
            self.data = None;
            self.pools.clear();
            self.teams.clear();
        }
    }

    /// Returns whether any pool is limited, so that the data has to be read.
    pub fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// Takes data that was computed at this moment, unless newer data is known.
    pub fn update(&mut self, data: Capacities, at: Moment) {
        if !self.is_limited || self.data.as_ref().is_some_and(|it| it.1 >= at) {
            return;
        }
        for (pool, budget) in &mut self.pools {
            budget.accepted.forget_known(at);
            budget.accepted_without_data = 0;
            budget.last_rate = data.pools.get(pool).map(|it| it.rate).or(budget.last_rate);
        }
        self.teams.values_mut().for_each(|it| it.retain(|accepted| *accepted >= at));
        self.teams.retain(|_, it| !it.is_empty());
        self.data = Some((data, at));
    }

    /// Returns the age of the data; `None` without any.
    pub fn age(&self, now: Moment) -> Option<Millisecond> {
        self.data.as_ref().map(|it| now.since(it.1))
    }

    /// Decides on a post and notes it. `random` returns numbers of at least 0 and below 1.
    pub fn judge(
        &mut self,
        post: Post<'_>,
        now: Moment,
        mut random: impl FnMut() -> f64,
    ) -> Verdict {
        if post.spec.is_standing() {
            return Verdict::Admit(Basis::Exempt);
        }
        if !self.is_limited {
            return Verdict::Admit(Basis::Unlimited);
        }
        let share = self.share();
        let is_excess = self.is_excess(&post, share, now, &mut random);
        let budget = self.pools.entry(post.spec.route.pool.clone()).or_default();
        let Some((data, at)) = self.data.as_ref().filter(|it| now.since(it.1) <= MAX_AGE_MS) else {
            let demand = Demand::of(post.spec, Default::default(), is_excess);
            return budget.judge_unknown(demand, share, now, random());
        };
        let Some(capacity) = data.pools.get(&post.spec.route.pool) else {
            return Verdict::Admit(Basis::Unlimited);
        };
        budget.last_rate = Some(capacity.rate);
        let demand = Demand::of(post.spec, capacity.host, is_excess);
        let fit = budget.accepted.fits(capacity, now.since(*at), share, &demand);
        let Fit::Lacks(lacking) = fit else {
            budget.accepted.note(demand, now);
            return Verdict::Admit(Basis::Known);
        };
        let refused = (budget.note_refused(demand.work, now) as f64 / share) as u64;
        let reason = if is_excess { Reason::Excess } else { Reason::Full };
        let after_s = return_after_s(lacking, refused, capacity.rate, random());
        Verdict::Refuse(Refusal { reason, after_s })
    }

    /// Returns this entry host's share of the room: its part of the recent jobs, at least a quarter of an equal part.
    fn share(&self) -> f64 {
        let Some((data, _)) = &self.data else { return 1.0 };
        let own = data.shares.get(&self.own_address).copied().unwrap_or(0);
        let entries = data.shares.len() + usize::from(own == 0);
        let least = 0.25 / entries.max(1) as f64;
        (f64::from(own) / 1_000.0).clamp(least, 1.0)
    }

    /// Returns whether a post goes beyond this entry host's share of what its team's weight leaves, and counts it otherwise.
    fn is_excess(
        &mut self,
        post: &Post<'_>,
        share: f64,
        now: Moment,
        mut random: impl FnMut() -> f64,
    ) -> bool {
        let Some(weight) = post.weight else { return false };
        let Some((data, at)) = &self.data else { return false };
        let Some(recent) = data.teams.get(&post.spec.team) else { return false };
        let accepted = self.teams.entry(post.spec.team.clone()).or_default();
        accepted.retain(|it| now.since(*it) <= TEAM_WINDOW_MS);
        // As the window moves on, jobs leave it as fast as the weight lets new ones in.
        let age_s = now.since(*at).min(TEAM_WINDOW_MS) as f64 / 1_000.0;
        let room = weight + TEAM_SLACK_JOBS - f64::from(*recent) * (1.0 - age_s);
        let left = room * (share * TEAM_SHARE_FACTOR).min(1.0) - accepted.len() as f64;
        let is_excess = left <= random();
        if !is_excess {
            accepted.push(now);
        }
        is_excess
    }
}

impl PoolBudget {
    /// Decides without data: jobs are accepted up to a fixed backlog.
    fn judge_unknown(&mut self, demand: Demand, share: f64, now: Moment, random: f64) -> Verdict {
        let is_within = match self.last_rate {
            Some(rate) => {
                let most = rate.saturating_mul(UNKNOWN_BACKLOG_MS) as f64 * share;
                (self.accepted.work() as f64) < most
            }
            None => self.accepted_without_data < UNKNOWN_BACKLOG_JOBS,
        };
        if is_within {
            self.accepted_without_data += 1;
            self.accepted.note(demand, now);
            return Verdict::Admit(Basis::Unknown);
        }
        let rate = self.last_rate.unwrap_or(0);
        let refused = (self.note_refused(demand.work, now) as f64 / share) as u64;
        let after_s = return_after_s(demand.work, refused, rate, random);
        Verdict::Refuse(Refusal { reason: Reason::Unknown, after_s })
    }

    /// Notes refused work and returns what was refused recently before.
    fn note_refused(&mut self, work: u64, now: Moment) -> u64 {
        self.refused.retain(|it| now.since(it.0) <= REFUSED_WINDOW_MS);
        let before = self.refused.iter().map(|it| it.1).fold(0, u64::saturating_add);
        self.refused.push((now, work));
        before
    }
}
