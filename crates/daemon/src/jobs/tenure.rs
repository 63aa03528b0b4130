//! One uninterrupted time of owning a pool's jobs.

use std::{future::Future, rc::Rc, time::Duration};

use fuchsiamill_model::{
    Configuration, FastMap, HostName, JobId, Moment, TeamName, Units,
    task::{Fence, WorkerAnswer},
};
use fuchsiamill_policy::{
    escrow::EscrowRow,
    jobs::{AnswerOutcome, JobRow, Proposal, Scheduler, Timing, UnitChange, WaitCause, Weight},
};
use fuchsiamill_ports::{Result, Table, Worker};
use tokio::sync::mpsc;

use super::{
    commit::{BatchOutcome, HeldLease, LeaseState, Written, read_escrow, write_batch},
    owner::Event,
    purge::purge,
    rows::{job_key, new_write_id, value_of},
    syncs::{Call, Periods, Syncs},
    takeover::{Taken, read_rows},
};
use crate::cx::Cx;

/// The time before writes whose fate is not known are tried again, in milliseconds.
const REWRITE_MS: u64 = 300;
/// The time between reads of the escrow of teams that wait, in milliseconds.
const ESCROW_MS: u64 = 500;

/// The time between deletions of old jobs while there are none left, in milliseconds.
const PURGE_MS: u64 = 60_000;
/// The time between deletions while there are more, or after a failure, in milliseconds.
const NEXT_PURGE_MS: u64 = 1_000;
/// The least time between two turns of placement, in milliseconds.
const LEAST_TURN_MS: u64 = 20;
/// The time between two turns when nothing changed, in milliseconds.
const IDLE_TURN_MS: u64 = 500;

/// What comes back from calls of the tenure.
#[derive(Debug)]
pub(super) enum TenureEvent {
    /// A worker's answer.
    Answered(HostName, Result<WorkerAnswer>),
    /// A batch of proposals was written as far as could be.
    Written(BatchOutcome),
    /// All rows were read.
    ReadAll(Result<Vec<(JobRow, u64)>>),
    /// Some rows were read.
    ReadSome(Result<Vec<(JobRow, u64)>>),
    /// Old jobs were deleted.
    Purged(Result<usize>),
    /// Escrow rows were read.
    Escrow(Result<Vec<(TeamName, EscrowRow)>>),
}

/// Whether the tenure goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It does.
    Owner,
    /// A later owner has taken over.
    Lost,
}

/// One uninterrupted time of owning a pool's jobs.
pub(super) struct Tenure {
    cx: Rc<Cx>,
    tx: mpsc::UnboundedSender<Event>,
    lease: HeldLease,
    scheduler: Scheduler,
    config: Rc<Configuration>,
    outbox: Vec<Proposal>,
    next_turn: Moment,
    last_turn: Moment,
    taking: FastMap<TeamName, Units>,
    write: Call,
    write_after: Moment,
    escrow: FastMap<TeamName, EscrowRow>,
    escrow_read: Call,
    escrow_after: Moment,
    read: Call,
    read_after: Moment,
    purge: Call,
    purge_after: Moment,
    changed: Vec<JobId>,
    syncs: Syncs,
}

impl Tenure {
    /// How many jobs hold each host, also those whose start is being written.
    pub(super) fn held(&self, hosts: &[HostName]) -> Vec<u32> {
        hosts.iter().map(|host| self.scheduler.placed_on(host) as u32).collect()
    }

    /// Why each of some jobs waits.
    pub(super) fn waits(&self, jobs: &[JobId]) -> Vec<Option<WaitCause>> {
        let room = |team: &TeamName| room_of(&self.config, &self.escrow, &self.taking, team);
        jobs.iter().map(|job| self.scheduler.wait_cause(job, room)).collect()
    }

    /// The tenure that begins with a takeover.
    pub(super) fn new(cx: Rc<Cx>, tx: mpsc::UnboundedSender<Event>, taken: Taken) -> Self {
        let now = cx.clock.now();
        let timing = Timing { lease: cx.settings.jobs.lease_ms };
        let pool = taken.held.pool.clone();
        let mut scheduler = Scheduler::new(pool, taken.lease.fence, timing, now);
        let config = cx.config.current();
        scheduler.set_hosts(config.hosts_of(&taken.held.pool));
        scheduler.begin_read();
        scheduler.end_read(taken.rows);
        let read_after = now + cx.settings.jobs.rescan_ms;
        let syncs = Syncs::new(Periods {
            busy: cx.settings.jobs.sync_ms,
            fresh: (cx.settings.jobs.lease_ms / 4).max(cx.settings.jobs.sync_ms),
            call: Duration::from_millis(cx.settings.platform.request_timeout_ms),
        });
        Self {
            cx,
            tx,
            lease: taken.held,
            scheduler,
            config,
            outbox: Vec::new(),
            next_turn: now,
            last_turn: Moment::default(),
            taking: FastMap::default(),
            write: Call::Idle,
            write_after: now,
            escrow: FastMap::default(),
            escrow_read: Call::Idle,
            escrow_after: now,
            read: Call::Idle,
            read_after,
            purge: Call::Idle,
            purge_after: now + NEXT_PURGE_MS,
            changed: Vec::new(),
            syncs,
        }
    }

    /// The fence of this tenure.
    pub(super) fn fence(&self) -> Fence {
        self.scheduler.fence()
    }

    /// Rows of these jobs changed.
    pub(super) fn on_changed(&mut self, jobs: Vec<JobId>) {
        self.changed.extend(jobs);
    }

    /// Does what is due.
    pub(super) fn step(&mut self, now: Moment) {
        self.follow_config();
        self.propose(now);
        self.start_write(now);
        self.start_read(now);
        self.start_escrow_read(now);
        self.start_purge(now);
        self.start_syncs(now);
    }

    /// Takes in what came back.
    pub(super) fn on_event(&mut self, event: TenureEvent) -> Standing {
        let now = self.cx.clock.now();
        if !matches!(event, TenureEvent::Answered(..)) || self.scheduler.waiting() > 0 {
            self.turn_soon();
        }
        match event {
            TenureEvent::Answered(host, answer) => return self.on_answer(&host, answer, now),
            TenureEvent::Written(outcome) => return self.on_written(outcome, now),
            TenureEvent::ReadAll(rows) => {
                self.read = Call::Idle;
                if let Ok(rows) = rows {
                    self.scheduler.end_read(rows);
                }
            }
            TenureEvent::ReadSome(rows) => {
                self.read = Call::Idle;
                if let Ok(rows) = rows {
                    self.scheduler.end_partial_read(rows);
                }
            }
            TenureEvent::Purged(purged) => {
                self.purge = Call::Idle;
                let wait = if matches!(purged, Ok(0)) { PURGE_MS } else { NEXT_PURGE_MS };
                self.purge_after = now + wait.min(self.cx.settings.jobs.keep_ms);
            }
            TenureEvent::Escrow(rows) => {
                self.escrow_read = Call::Idle;
                self.escrow.extend(rows.into_iter().flatten());
            }
        }
        Standing::Owner
    }

    fn follow_config(&mut self) {
        let config = self.cx.config.current();
        if Rc::ptr_eq(&config, &self.config) {
            return;
        }
        let pool = &self.lease.pool;
        if !config.has_same_hosts(&self.config, pool) {
            self.scheduler.set_hosts(config.hosts_of(pool));
        }
        self.config = config;
        self.turn_soon();
    }

    fn propose(&mut self, now: Moment) {
        if now < self.next_turn {
            return;
        }
        self.last_turn = now;
        self.next_turn = now + IDLE_TURN_MS;
        let mut ids = new_write_id;
        let mut proposals = self.scheduler.give_up_lapsed(&mut ids, now);
        self.scheduler.refresh_workers(now);
        let most = self.cx.settings.jobs.batch.saturating_sub(self.outbox.len());
        let config = self.config.clone();
        let weight = |team: &TeamName| {
            let team = config.teams.get(team)?;
            Some(Weight { share: team.share, urgency: team.urgent })
        };
        let (escrow, taking) = (&self.escrow, &self.taking);
        let room = |team: &TeamName| room_of(&config, escrow, taking, team);
        proposals.extend(self.scheduler.place_next(most, weight, room, &mut ids, now));
        self.post(proposals);
    }

    /// Something changed that may let a job start.
    fn turn_soon(&mut self) {
        self.next_turn = self.last_turn + LEAST_TURN_MS;
    }

    fn post(&mut self, proposals: Vec<Proposal>) {
        for proposal in &proposals {
            if proposal.unit == UnitChange::Take {
                *self.taking.entry(proposal.row.core.team.clone()).or_default() += 1;
            }
        }
        self.outbox.extend(proposals);
    }

    fn start_write(&mut self, now: Moment) {
        if self.outbox.is_empty() || self.write == Call::Busy || now < self.write_after {
            return;
        }
        let most = self.cx.settings.jobs.batch.min(self.outbox.len());
        let batch: Vec<Proposal> = self.outbox.drain(..most).collect();
        self.write = Call::Busy;
        let (cx, lease) = (self.cx.clone(), self.lease.clone());
        self.spawn(async move { TenureEvent::Written(write_batch(&cx, &lease, batch).await) });
    }

    fn on_written(&mut self, outcome: BatchOutcome, now: Moment) -> Standing {
        self.write = Call::Idle;
        if outcome.lease == LeaseState::Lost {
            return Standing::Lost;
        }
        self.taking.clear();
        self.escrow.extend(outcome.escrow);
        for written in outcome.written {
            match written {
                Written::Done(job, version) => {
                    self.cx.metrics.event("job_row_written");
                    self.scheduler.committed(&job, version.0);
                }
                Written::NoRoom(job) => self.scheduler.rejected(&job),
                Written::Overtaken(job, row) => self.scheduler.overtaken(&job, row),
                Written::Again(proposal) => {
                    self.write_after = now + REWRITE_MS;
                    self.outbox.push(proposal);
                }
            }
        }
        let takes = self.outbox.iter().filter(|it| it.unit == UnitChange::Take);
        for proposal in takes {
            *self.taking.entry(proposal.row.core.team.clone()).or_default() += 1;
        }
        for host in self.scheduler.hosts_to_order() {
            self.syncs.hurry(&host, now);
        }
        Standing::Owner
    }

    fn start_read(&mut self, now: Moment) {
        if self.read == Call::Busy {
            return;
        }
        let (cx, pool) = (self.cx.clone(), self.lease.pool.clone());
        if now >= self.read_after {
            self.read_after = now + self.cx.settings.jobs.rescan_ms;
            self.changed.clear();
            self.read = Call::Busy;
            self.scheduler.begin_read();
            self.spawn(async move { TenureEvent::ReadAll(read_rows(&cx, &pool).await) });
            return;
        }
        if self.changed.is_empty() {
            return;
        }
        let jobs = std::mem::take(&mut self.changed);
        let keys: Vec<String> = jobs.iter().map(|job| job_key(&pool, job)).collect();
        self.read = Call::Busy;
        self.scheduler.begin_read();
        self.spawn(async move {
            let rows = cx.table.get(&keys).await;
            TenureEvent::ReadSome(rows.map(|rows| {
                let value = |row| value_of(row).map(|(row, version)| (row, version.0));
                rows.into_iter().filter_map(value).collect()
            }))
        });
    }

    fn start_escrow_read(&mut self, now: Moment) {
        if self.escrow_read == Call::Busy || now < self.escrow_after {
            return;
        }
        let teams = self.scheduler.waiting_teams();
        if teams.is_empty() {
            return;
        }
        self.escrow_read = Call::Busy;
        self.escrow_after = now + ESCROW_MS;
        let cx = self.cx.clone();
        self.spawn(async move { TenureEvent::Escrow(read_escrow(&cx, teams).await) });
    }

    fn start_purge(&mut self, now: Moment) {
        if self.purge == Call::Busy || now < self.purge_after {
            return;
        }
        self.purge = Call::Busy;
        let (cx, pool) = (self.cx.clone(), self.lease.pool.clone());
        self.spawn(async move { TenureEvent::Purged(purge(&cx, &pool).await) });
    }

    fn start_syncs(&mut self, now: Moment) {
        for (host, client) in self.syncs.begin_due(&self.scheduler, now) {
            let orders = self.scheduler.orders(&host);
            self.spawn(async move { TenureEvent::Answered(host, client.sync(&orders).await) });
        }
    }

    fn on_answer(
        &mut self,
        host: &HostName,
        answer: Result<WorkerAnswer>,
        now: Moment,
    ) -> Standing {
        self.syncs.end(host);
        let Ok(answer) = answer else {
            self.cx.metrics.event("worker_silent");
            return Standing::Owner;
        };
        match self.scheduler.on_answer(host, answer, &mut new_write_id, now) {
            AnswerOutcome::Propose(proposals) => {
                self.post(proposals);
                Standing::Owner
            }
            AnswerOutcome::Superseded(_) => Standing::Lost,
        }
    }

    fn spawn(&self, call: impl Future<Output = TenureEvent> + 'static) {
        let (fence, tx) = (self.fence(), self.tx.clone());
        monoio::spawn(async move {
            let _ = tx.send(Event::Tenure(fence, call.await));
        });
    }
}

/// The units that a team may take for jobs, as far as is known here.
fn room_of(
    config: &Configuration,
    escrow: &FastMap<TeamName, EscrowRow>,
    taking: &FastMap<TeamName, Units>,
    team: &TeamName,
) -> Units {
    let limit = config.teams.get(team).map_or(0, |it| it.upper_limit);
    let row = escrow.get(team);
    let room = row.map_or(limit, |it| it.room().min(limit.saturating_sub(it.sum())));
    room.saturating_sub(taking.get(team).copied().unwrap_or(0))
}
