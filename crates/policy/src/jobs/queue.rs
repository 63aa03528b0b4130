//! The waiting jobs of a pool by team, and the order in which teams start them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use fuchsiamill_model::{FastMap, FastSet, JobId, TeamName, Units, team::Urgency};

/// The level of one running task at a share of 1; see [`Turn`]. Levels are whole numbers, so this is their precision.
const LEVEL_SCALE: u64 = 1_000_000;

/// A team's priority among the teams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weight {
    /// Its share: the weight of the max-min division.
    pub share: u32,
    /// Whether its jobs go before those of other teams.
    pub urgency: Urgency,
}

/// The waiting jobs of each team, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// May still hold jobs that were removed; only those in `waiting` count.
    teams: BTreeMap<TeamName, VecDeque<JobId>>,
    waiting: FastSet<JobId>,
}

impl Queue {
    /// Appends a job to those of its team, unless it waits already.
    pub fn push(&mut self, team: &TeamName, job: JobId) {
        if self.waiting.insert(job.clone()) {
            self.teams.entry(team.clone()).or_default().push_back(job);
        }
    }

    /// Removes a job. Its entry in the team's list is dropped later, by [`Queue::front`].
    pub fn remove(&mut self, job: &JobId) {
        self.waiting.remove(job);
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the teams that have waiting jobs.
    pub fn teams(&self) -> Vec<TeamName> {
        let waits = |jobs: &VecDeque<JobId>| jobs.iter().any(|it| self.waiting.contains(it));
        self.teams.iter().filter(|(_, jobs)| waits(jobs)).map(|(team, _)| team.clone()).collect()
    }

    /// Returns the first waiting jobs of a team, at most `max`.
    pub fn front(&mut self, team: &TeamName, max: usize) -> Vec<JobId> {
        let Some(jobs) = self.teams.get_mut(team) else { return Vec::new() };
        while jobs.front().is_some_and(|it| !self.waiting.contains(it)) {
            jobs.pop_front();
        }
        if jobs.len() > 2 * self.waiting.len() + max {
            jobs.retain(|it| self.waiting.contains(it));
        }
        jobs.iter().filter(|it| self.waiting.contains(*it)).take(max).cloned().collect()
    }

    /// Returns the turns of the teams that have waiting jobs, from the units each has running. Teams for which
    /// `weight` is `None` get no turn.
    pub fn turns(
        &self,
        running: &FastMap<TeamName, Units>,
        weight: impl Fn(&TeamName) -> Option<Weight>,
    ) -> Turns {
        let turn = |team: TeamName| {
            let weight = weight(&team)?;
            let running = running.get(&team).copied().unwrap_or(0);
            Some(Reverse(Turn::new(team, weight, running)))
        };
        Turns { heap: self.teams().into_iter().filter_map(turn).collect() }
    }
}

/// A team's place in the order of turns: urgent teams first, then by level.
///
/// The level is the team's running work, counting one more task, over its share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    is_normal: bool,
    level: u64,
    /// The team.
    pub team: TeamName,
    share: u32,
    running: Units,
}

impl Turn {
    fn new(team: TeamName, weight: Weight, running: Units) -> Self {
        let is_normal = weight.urgency == Urgency::Normal;
        let level = (u64::from(running) + 1) * LEVEL_SCALE / u64::from(weight.share.max(1));
        Self { is_normal, level, team, share: weight.share, running }
    }
}

/// The teams in the order of their turns.
///
/// Always starting the next job of the team with the least running work for its share approaches the weighted
/// max-min shares of the teams that have work.
#[derive(Clone, Debug)]
pub struct Turns {
    heap: BinaryHeap<Reverse<Turn>>,
}

impl Turns {
    /// Removes and returns the team whose turn it is. The team has no further turn until [`Turns::put_back`].
    pub fn take_next(&mut self) -> Option<Turn> {
        self.heap.pop().map(|Reverse(turn)| turn)
    }

    /// Puts a team back after one more of its jobs was started.
    pub fn put_back(&mut self, turn: Turn) {
        let urgency = if turn.is_normal { Urgency::Normal } else { Urgency::Urgent };
        let weight = Weight { share: turn.share, urgency };
        self.heap.push(Reverse(Turn::new(turn.team, weight, turn.running + 1)));
    }
}
