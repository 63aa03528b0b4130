//! Writes the scheduler's proposals: rows, the lease and the escrow of the teams in one commit.

use std::{collections::BTreeMap, rc::Rc};

use fuchsiamill_model::{Configuration, JobId, PoolName, TeamName, WallTime};
use fuchsiamill_policy::{
    escrow::EscrowRow,
    jobs::{JobRow, Proposal, Resolution, Stage, UnitChange, resolve},
};
use fuchsiamill_ports::{Commit, CommitOutcome, Result, Row, RowVersion, Table};

use super::rows::{JobIndex, ended_key, escrow_key, index_key, job_key, lease_key, value_of};
use crate::cx::Cx;

/// Commits tried before what is left waits for the next turn.
const TRIES: usize = 4;

/// What became of one proposal.
#[derive(Debug)]
pub(super) enum Written {
    /// It is in the table with this version.
    Done(JobId, RowVersion),
    /// It is not, and never will be: the team has no room.
    NoRoom(JobId),
    /// It is not, and never will be: this is the job's row now.
    Overtaken(JobId, Option<(JobRow, u64)>),
    /// Its fate is not known; the same is to be written again.
    Again(Proposal),
}

/// What became of a batch.
#[derive(Debug)]
pub(super) struct BatchOutcome {
    /// Each proposal's outcome.
    pub written: Vec<Written>,
    /// The escrow rows as last seen.
    pub escrow: Vec<(TeamName, EscrowRow)>,
    /// Whether another owner holds the lease.
    pub lease: LeaseState,
}

/// Whether the lease on the pool is still ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseState {
    /// As far as is known.
    Ours,
    /// Another owner took it.
    Lost,
}

/// The lease that every write is conditional on.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    /// The pool.
    pub pool: PoolName,
    /// The version of the lease's row.
    pub version: RowVersion,
}

struct Batch {
    left: Vec<Proposal>,
    rows: BTreeMap<String, Row>,
    outcome: BatchOutcome,
}

/// Writes a batch of proposals, each for another job.
pub(super) async fn write_batch(
    cx: &Rc<Cx>,
    lease: &HeldLease,
    proposals: Vec<Proposal>,
) -> BatchOutcome {
    let outcome = BatchOutcome { written: Vec::new(), escrow: Vec::new(), lease: LeaseState::Ours };
    let mut batch = Batch { left: proposals, rows: BTreeMap::new(), outcome };
    for _ in 0..TRIES {
        if batch.left.is_empty() || batch.outcome.lease == LeaseState::Lost {
            break;
        }
        if batch.read(cx, lease).await.is_err() {
            break;
        }
        batch.settle(lease);
        if !batch.left.is_empty() && batch.outcome.lease == LeaseState::Ours {
            batch.commit(cx, lease).await;
        }
    }
    let again = batch.left.into_iter().map(Written::Again);
    batch.outcome.written.extend(again);
    batch.outcome
}

/// Reads the escrow rows of teams.
pub(super) async fn read_escrow(
    cx: &Cx,
    teams: Vec<TeamName>,
) -> Result<Vec<(TeamName, EscrowRow)>> {
    let keys: Vec<String> = teams.iter().map(escrow_key).collect();
    let rows = cx.table.get(&keys).await?;
    let config = cx.config.current();
    let row = |team: &TeamName, row| {
        value_of(row).map_or_else(|| new_escrow(&config, team), |(row, _)| row)
    };
    Ok(teams.into_iter().zip(rows).map(|(team, it)| (team.clone(), row(&team, it))).collect())
}

impl Batch {
    async fn read(&mut self, cx: &Cx, lease: &HeldLease) -> Result<()> {
        let mut keys = vec![lease_key(&lease.pool)];
        for proposal in &self.left {
            let core = &proposal.row.core;
            keys.push(job_key(&core.pool, &core.id));
            keys.push(index_key(&core.id));
            keys.push(escrow_key(&core.team));
        }
        keys.sort();
        keys.dedup();
        let rows = cx.table.get(&keys).await?;
        self.rows = rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect();
        Ok(())
    }

    /// Drops from the batch what is in the table already or never will be.
    fn settle(&mut self, lease: &HeldLease) {
        let held = self.rows.get(&lease_key(&lease.pool)).map(|it| it.version);
        if held != Some(lease.version) {
            self.outcome.lease = LeaseState::Lost;
            return;
        }
        for proposal in std::mem::take(&mut self.left) {
            let now = self.row_now(&proposal);
            let write = proposal.row.core.writes.last().expect("every row names its write");
            let seen = now.as_ref().map(|(row, version)| (row, version.0));
            let job = proposal.row.core.id.clone();
            match resolve(proposal.version, write, seen) {
                Resolution::Unchanged => self.left.push(proposal),
                Resolution::TookEffect => {
                    let version = now.map_or(RowVersion(0), |(_, version)| version);
                    self.outcome.written.push(Written::Done(job, version));
                }
                Resolution::Overtaken => {
                    let live = |row: &JobRow| !matches!(row.stage, Stage::Ended(_));
                    let now = now.filter(|(row, _)| live(row)).map(|(row, it)| (row, it.0));
                    self.outcome.written.push(Written::Overtaken(job, now));
                }
            }
        }
    }

    /// The job's row, or the one kept in its index once it is over.
    fn row_now(&self, proposal: &Proposal) -> Option<(JobRow, RowVersion)> {
        let core = &proposal.row.core;
        let live = value_of(self.rows.get(&job_key(&core.pool, &core.id)).cloned());
        live.or_else(|| {
            let (index, version) = self.index(&core.id)?;
            Some((index.ended?, version))
        })
    }

    fn index(&self, job: &JobId) -> Option<(JobIndex, RowVersion)> {
        value_of(self.rows.get(&index_key(job)).cloned())
    }

    async fn commit(&mut self, cx: &Cx, lease: &HeldLease) {
        let config = cx.config.current();
        let mut escrow: BTreeMap<TeamName, EscrowRow> = BTreeMap::new();
        let mut touched: BTreeMap<TeamName, Option<RowVersion>> = BTreeMap::new();
        let mut commit = Commit::default().at(lease_key(&lease.pool), Some(lease.version));
        let mut included = Vec::new();
        for proposal in std::mem::take(&mut self.left) {
            let team = proposal.row.core.team.clone();
            let read = value_of::<EscrowRow>(self.rows.get(&escrow_key(&team)).cloned());
            let version = read.as_ref().map(|(_, version)| *version);
            let units = escrow
                .entry(team.clone())
                .or_insert_with(|| read.map_or_else(|| new_escrow(&config, &team), |(row, _)| row));
            match proposal.unit {
                UnitChange::Take if !can_start(&config, &team, units) => {
                    let job = proposal.row.core.id.clone();
                    self.outcome.written.push(Written::NoRoom(job));
                    continue;
                }
                UnitChange::Take => drop(units.start_jobs(1)),
                UnitChange::GiveBack => units.end_jobs(1),
                UnitChange::None => (),
            }
            if proposal.unit != UnitChange::None {
                touched.insert(team, version);
            }
            commit = self.with_job(commit, &proposal, cx.clock.wall());
            included.push(proposal);
        }
        for (team, version) in touched {
            let key = escrow_key(&team);
            commit = commit.at(key.clone(), version).put(key, &escrow[&team]);
        }
        self.outcome.escrow = escrow.into_iter().collect();
        if included.is_empty() {
            return;
        }
        match cx.table.commit(&commit).await {
            Ok(CommitOutcome::Done { version }) => {
                let done = |it: Proposal| Written::Done(it.row.core.id, version);
                self.outcome.written.extend(included.into_iter().map(done));
            }
            Ok(CommitOutcome::Conflict { .. }) | Err(_) => self.left = included,
        }
    }

    fn with_job(&self, commit: Commit, proposal: &Proposal, at: WallTime) -> Commit {
        let core = &proposal.row.core;
        let key = job_key(&core.pool, &core.id);
        let commit = commit.at(key.clone(), Some(RowVersion(proposal.version)));
        if !matches!(proposal.row.stage, Stage::Ended(_)) {
            return commit.put(key, &proposal.row);
        }
        let index = self.index(&core.id).map(|(index, _)| index);
        let index = index.unwrap_or_else(|| JobIndex {
            pool: core.pool.clone(),
            team: core.team.clone(),
            request: String::new(),
            ended: None,
        });
        let index = JobIndex { ended: Some(proposal.row.clone()), ..index };
        let ended = ended_key(&core.pool, at, &core.id);
        commit.delete(key).put(index_key(&core.id), &index).put(ended, &core.id)
    }
}

fn new_escrow(config: &Configuration, team: &TeamName) -> EscrowRow {
    let limit = config.teams.get(team).map_or(0, |it| it.upper_limit);
    EscrowRow::new(limit, config.version)
}

/// Whether the row has room, also under the limit that the configuration sets now.
fn can_start(config: &Configuration, team: &TeamName, row: &EscrowRow) -> bool {
    let limit = config.teams.get(team).map_or(0, |it| it.upper_limit);
    row.room() > 0 && row.sum() < limit
}
