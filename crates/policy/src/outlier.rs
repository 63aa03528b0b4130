//! Outlier detection: members of a pool whose work keeps failing are ejected for a while.
//!
//! A member is ejected after a number of failures in a row, unless as many members as the cap allows
//! are out already. Each further ejection lasts longer. After an ejection, one trial decides whether
//! the member returns.

use std::hash::Hash;

use fuchsiamill_model::{FastMap, FastSet, Millisecond, Moment};

/// The number of failed trials after which a failure counts as lasting.
const LASTING_FAILURE_TRIALS: u32 = 1;

/// Limits of outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The number of failures in a row after which a member is ejected.
    pub failures: u32,
    /// The duration of the first ejection, in milliseconds; each further one lasts twice as long.
    pub first_ejection: Millisecond,
    /// The longest duration of an ejection, in milliseconds.
    pub max_ejection: Millisecond,
    /// The maximum of members ejected at once, in percent of the pool, rounded down.
    pub max_ejected_percent: u32,
    /// How long a trial may take before another is allowed, in milliseconds.
    pub trial_timeout: Millisecond,
}

/// The outcome of a member's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The work was completed.
    Succeeded,
    /// The work failed for a cause that lies with the member.
    Failed,
}

/// Whether a member may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// The member may be given work.
    In,
    /// The member may not be given work before this time.
    OutUntil(Moment),
    /// The member may be given one request as a trial.
    Trial,
}

/// The effect of an outcome on a member, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// The member was ejected.
    Ejected,
    /// The member returned after a successful trial.
    Readmitted,
    /// The member has failed often enough to be ejected, but the cap on ejected members keeps it in.
    Capped,
}

#[derive(Clone, Copy, Debug)]
enum State {
    In,
    Out { until: Moment },
    Trial { until: Moment },
}

#[derive(Debug)]
struct Member {
    failures: u32,
    ejections: u32,
    state: State,
}

/// The members of one pool.
#[derive(Debug)]
pub struct Outliers<K> {
    bounds: Bounds,
    members: FastMap<K, Member>,
    ejected: FastSet<K>,
}

impl<K: Eq + Hash + Clone> Outliers<K> {
    /// Creates a pool without members.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, members: FastMap::default(), ejected: FastSet::default() }
    }

    /// Sets the members of the pool; the history of members that stay is kept.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = &'a K>)
    where
        K: 'a,
    {
        let mut old = std::mem::take(&mut self.members);
        for key in members {
            let member = old.remove(key).unwrap_or_else(Member::fresh);
            self.members.insert(key.clone(), member);
        }
        self.ejected.retain(|key| self.members.contains_key(key));
    }

    /// Discards a member's history, for instance because it was restarted.
    pub fn forget(&mut self, key: &K) {
        if let Some(member) = self.members.get_mut(key) {
            *member = Member::fresh();
        }
        self.ejected.remove(key);
    }

    /// Returns whether a member may be given work. Unknown members may.
    pub fn eligibility(&self, now: Moment, key: &K) -> Eligibility {
        match self.members.get(key).map(|it| it.state) {
            None | Some(State::In) => Eligibility::In,
            Some(State::Out { until } | State::Trial { until }) if now < until => {
                Eligibility::OutUntil(until)
            }
            Some(State::Out { .. } | State::Trial { .. }) => Eligibility::Trial,
        }
    }

    /// Returns whether a member is out and has failed trials as well, so that it is not expected to recover by itself.
    pub fn is_failing(&self, key: &K) -> bool {
        self.members.get(key).is_some_and(|member| {
            member.ejections > LASTING_FAILURE_TRIALS && !matches!(member.state, State::In)
        })
    }

    /// Records the start of a trial that [`Outliers::eligibility`] allowed.
    pub fn begin_trial(&mut self, now: Moment, key: &K) {
        let until = now + self.bounds.trial_timeout;
        if let Some(member) = self.members.get_mut(key) {
            member.state = State::Trial { until };
        }
    }

    /// Records the outcome of a member's work and returns its effect.
    pub fn record(&mut self, now: Moment, key: &K, outcome: Outcome) -> Change {
        let is_below_cap = self.ejected.len() < self.max_ejected();
        let bounds = self.bounds;
        let Some(member) = self.members.get_mut(key) else { return Change::None };
        match (outcome, member.state) {
            (Outcome::Succeeded, State::In) => {
                member.failures = 0;
                Change::None
            }
            (Outcome::Succeeded, State::Out { .. }) => Change::None,
            (Outcome::Succeeded, State::Trial { .. }) => {
                member.readmit();
                self.ejected.remove(key);
                Change::Readmitted
            }
            (Outcome::Failed, State::In) => {
                member.failures = member.failures.saturating_add(1);
                if member.failures < bounds.failures {
                    return Change::None;
                }
                if !is_below_cap {
                    return Change::Capped;
                }
                member.eject(now, bounds);
                self.ejected.insert(key.clone());
                Change::Ejected
            }
            (Outcome::Failed, State::Out { .. }) => Change::None,
            (Outcome::Failed, State::Trial { .. }) => {
                member.eject(now, bounds);
                Change::Ejected
            }
        }
    }

    /// Returns the members that are ejected or on trial.
    pub fn ejected(&self) -> impl ExactSizeIterator<Item = &K> {
        self.ejected.iter()
    }

    /// Returns the maximum number of ejected members.
    pub fn max_ejected(&self) -> usize {
        self.members.len() * self.bounds.max_ejected_percent as usize / 100
    }
}

impl Member {
    fn fresh() -> Self {
        Self { failures: 0, ejections: 0, state: State::In }
    }

    fn eject(&mut self, now: Moment, bounds: Bounds) {
        let span = bounds.first_ejection << self.ejections.min(16);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Out { until: now + span.min(bounds.max_ejection) };
    }

    fn readmit(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
        self.state = State::In;
    }
}
