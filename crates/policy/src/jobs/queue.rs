//! Waiting jobs by team, and whose turn it is.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use fuchsiamill_model::{FastMap, FastSet, JobId, TeamName, Units, team::Urgency};

/// One running task over a share of 1.
const LEVEL_SCALE: u64 = 1_000_000;

/// A team's standing among the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weight {
    /// Its share.
    pub share: u32,
    /// Whether its jobs go before those of other teams.
    pub urgency: Urgency,
}

/// Waiting jobs, oldest first in each team.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    teams: BTreeMap<TeamName, VecDeque<JobId>>,
    waiting: FastSet<JobId>,
}

impl Queue {
    /// Adds a job behind those of its team, unless it waits already.
    pub fn push(&mut self, team: &TeamName, job: JobId) {
        if self.waiting.insert(job.clone()) {
            self.teams.entry(team.clone()).or_default().push_back(job);
        }
    }

    /// Removes a job; its place is dropped when its turn comes.
    pub fn remove(&mut self, job: &JobId) {
        self.waiting.remove(job);
    }

    /// The number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The teams that have waiting jobs.
    pub fn teams(&self) -> Vec<TeamName> {
        let waits = |jobs: &VecDeque<JobId>| jobs.iter().any(|it| self.waiting.contains(it));
        self.teams.iter().filter(|(_, jobs)| waits(jobs)).map(|(team, _)| team.clone()).collect()
    }

    /// The first `most` waiting jobs of a team.
    pub fn front(&mut self, team: &TeamName, most: usize) -> Vec<JobId> {
        let Some(jobs) = self.teams.get_mut(team) else { return Vec::new() };
        while jobs.front().is_some_and(|it| !self.waiting.contains(it)) {
            jobs.pop_front();
        }
        if jobs.len() > 2 * self.waiting.len() + most {
            jobs.retain(|it| self.waiting.contains(it));
        }
        jobs.iter().filter(|it| self.waiting.contains(*it)).take(most).cloned().collect()
    }

    /// The turns of the teams that have waiting jobs.
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

/// A team and how far it is from its share; urgent teams come first.
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
/// Always giving the next place to the team with the least running work for its share tends to the
/// weighted max-min shares of those teams that have work.
#[derive(Clone, Debug)]
pub struct Turns {
    heap: BinaryHeap<Reverse<Turn>>,
}

impl Turns {
    /// Takes the team whose turn it is. It has no further turn until it is put back.
    pub fn take_next(&mut self) -> Option<Turn> {
        self.heap.pop().map(|Reverse(turn)| turn)
    }

    /// Puts a team back that has one more running.
    pub fn put_back(&mut self, turn: Turn) {
        let urgency = if turn.is_normal { Urgency::Normal } else { Urgency::Urgent };
        let weight = Weight { share: turn.share, urgency };
        self.heap.push(Reverse(Turn::new(turn.team, weight, turn.running + 1)));
    }
}
