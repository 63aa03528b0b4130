//! Waiting jobs by team, and whose turn it is.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_model::{FastMap, FastSet, JobId, TeamName, Units, team::Urgency};

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

    /// The team whose turn it is: urgent ones first, then the least running for its share.
    ///
    /// Always giving the next place to the team with the least running work for its share tends to the
    /// weighted max-min shares of those teams that have work.
    pub fn turn(
        &self,
        running: &FastMap<TeamName, Units>,
        weight: impl Fn(&TeamName) -> Option<Weight>,
        passed_over: &FastSet<TeamName>,
    ) -> Option<TeamName> {
        let teams = self.teams.iter().filter(|(team, jobs)| {
            !passed_over.contains(*team) && jobs.iter().any(|it| self.waiting.contains(it))
        });
        let ranked = teams.filter_map(|(team, _)| {
            let weight = weight(team)?;
            let running = u64::from(running.get(team).copied().unwrap_or(0)) + 1;
            let level = running * 1_000_000 / u64::from(weight.share.max(1));
            Some((weight.urgency == Urgency::Normal, level, team))
        });
        ranked.min().map(|(_, _, team)| team.clone())
    }
}
