//! Outlier detection: members of a pool that fail everything they start are taken out for a while.
//!
//! A member is ejected after a run of failures without a success, never more members than the cap
//! allows, for longer each time. When its time is over one trial decides whether it returns.

use std::hash::Hash;

use fuchsiamill_model::{FastMap, FastSet, Millisecond, Moment};

/// Failed trials after the first ejection that show a lasting failure.
const FAILED_TRIALS: u32 = 1;

/// Bounds of outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Failures in a row that eject a member.
    pub failures: u32,
    /// How long the first ejection lasts; each further one lasts twice as long.
    pub first_ejection: Millisecond,
    /// The longest ejection.
    pub max_ejection: Millisecond,
    /// The most members that may be out at once, in percent of the pool, rounded down.
    pub max_ejected_percent: u32,
    /// How long a trial may take before another is allowed.
    pub trial_timeout: Millisecond,
}

/// How a member's work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Succeeded,
    /// It failed for a cause that lies with the member.
    Failed,
}

/// Whether a member may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Yes.
    In,
    /// Not before this time.
    OutUntil(Moment),
    /// One trial.
    Trial,
}

/// A change of a member's standing, for logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// It was taken out.
    Ejected,
    /// It returned.
    Readmitted,
    /// It fails, but the cap on members out keeps it in.
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
    out: FastSet<K>,
}

impl<K: Eq + Hash + Clone> Outliers<K> {
    /// A pool without members.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, members: FastMap::default(), out: FastSet::default() }
    }

    /// The pool's members are these; what is known of those that stay is kept.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = &'a K>)
    where
        K: 'a,
    {
        let mut old = std::mem::take(&mut self.members);
        for key in members {
            let member = old.remove(key).unwrap_or_else(Member::fresh);
            self.members.insert(key.clone(), member);
        }
        self.out.retain(|key| self.members.contains_key(key));
    }

    /// A member's failures no longer tell of it, for instance since it was restarted.
    pub fn forget(&mut self, key: &K) {
        if let Some(member) = self.members.get_mut(key) {
            *member = Member::fresh();
        }
        self.out.remove(key);
    }

    /// Whether a member may be given work. Strangers may.
    pub fn eligibility(&self, now: Moment, key: &K) -> Eligibility {
        match self.members.get(key).map(|it| it.state) {
            None | Some(State::In) => Eligibility::In,
            Some(State::Out { until } | State::Trial { until }) if now < until => {
                Eligibility::OutUntil(until)
            }
            Some(State::Out { .. } | State::Trial { .. }) => Eligibility::Trial,
        }
    }

    /// Whether a member is out and has failed its trials as well: it does not recover by itself.
    pub fn is_failing(&self, key: &K) -> bool {
        self.members.get(key).is_some_and(|member| {
            member.ejections > FAILED_TRIALS && !matches!(member.state, State::In)
        })
    }

    /// A trial begins: `standing` allowed it.
    pub fn begin_trial(&mut self, now: Moment, key: &K) {
        let until = now + self.bounds.trial_timeout;
        if let Some(member) = self.members.get_mut(key) {
            member.state = State::Trial { until };
        }
    }

    /// A member's work ended.
    pub fn record(&mut self, now: Moment, key: &K, ending: Outcome) -> Change {
        let room = self.out.len() < self.max_ejected();
        let bounds = self.bounds;
        let Some(member) = self.members.get_mut(key) else { return Change::None };
        match (ending, member.state) {
            (Outcome::Succeeded, State::In) => {
                member.failures = 0;
                Change::None
            }
            (Outcome::Succeeded, State::Out { .. }) => Change::None,
            (Outcome::Succeeded, State::Trial { .. }) => {
                member.readmit();
                self.out.remove(key);
                Change::Readmitted
            }
            (Outcome::Failed, State::In) => {
                member.failures = member.failures.saturating_add(1);
                if member.failures < bounds.failures {
                    return Change::None;
                }
                if !room {
                    return Change::Capped;
                }
                member.eject(now, bounds);
                self.out.insert(key.clone());
                Change::Ejected
            }
            (Outcome::Failed, State::Out { .. }) => Change::None,
            (Outcome::Failed, State::Trial { .. }) => {
                member.eject(now, bounds);
                Change::Ejected
            }
        }
    }

    /// The members that are out or on trial.
    pub fn ejected(&self) -> impl ExactSizeIterator<Item = &K> {
        self.out.iter()
    }

    /// The most members that may be out.
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
