//! Which waiting jobs are placed next, and where.

use fuchsiamill_model::{
    FastMap, HostName, JobId, Millisecond, Moment, Problem, ProblemKind, Resources, TeamName, Units,
};

use super::{Hold, Proposal, Scheduler, UnitChange, WriteIds};
use crate::{
    jobs::{
        queue::Weight,
        row::{JobRow, Waiting},
        stage::Job,
    },
    placement::{Ask, Placement, WaitReason},
};

/// Waiting jobs of a team that are tried before its turn passes on.
const BACKFILL: usize = 8;

/// The wait for a hole, in milliseconds, after which a host is kept for a job.
const HOLD_AFTER: Millisecond = 30_000;
/// Sizes without room that one turn remembers.
const MOST_FULL_SIZES: usize = 16;

pub(super) enum Choice {
    Start(HostName, Resources),
    Refuse,
    Full(Resources),
    Wait,
}

/// Whether a team may start one more.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Limit {
    Room,
    Reached,
}

/// Sizes that found no room in this turn; nothing as large will.
#[derive(Default)]
pub(super) struct FullSizes(Vec<Resources>);

impl FullSizes {
    fn holds(&self, size: Resources) -> bool {
        self.0.iter().any(|it| size.fits(*it) && (size.accelerators > 0) == (it.accelerators > 0))
    }

    fn add(&mut self, size: Resources) {
        if self.0.len() < MOST_FULL_SIZES {
            self.0.push(size);
        }
    }
}

impl Scheduler {
    /// Proposes the next starts, at most `most`, in the teams' turns.
    ///
    /// `room` tells how many more units of its upper limit a team may take.
    pub fn place_next(
        &mut self,
        most: usize,
        weight: impl Fn(&TeamName) -> Option<Weight>,
        room: impl Fn(&TeamName) -> Units,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        let mut full = FullSizes::default();
        let mut taken: FastMap<TeamName, Units> = FastMap::default();
        let mut turns = self.queue.turns(&self.running, weight);
        while proposals.len() < most {
            let Some(turn) = turns.take_next() else { break };
            let units = taken.entry(turn.team.clone()).or_default();
            let limit = if *units < room(&turn.team) { Limit::Room } else { Limit::Reached };
            let Some(proposal) = self.first_placeable(&turn.team, limit, &mut full, ids, now)
            else {
                continue;
            };
            *units += Units::from(proposal.unit == UnitChange::Take);
            proposals.push(proposal);
            turns.put_back(turn);
        }
        proposals
    }

    fn first_placeable(
        &mut self,
        team: &TeamName,
        limit: Limit,
        full: &mut FullSizes,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Option<Proposal> {
        for job in self.queue.front(team, BACKFILL) {
            let proposal = match self.choose(&job, full) {
                Choice::Start(host, size) if limit == Limit::Room => {
                    self.propose_start(&job, host, size, ids, now)
                }
                Choice::Refuse => self.propose_refusal(&job, ids),
                Choice::Full(size) if limit == Limit::Room => {
                    self.hold_for(&job, size, now);
                    None
                }
                Choice::Start(..) | Choice::Full(_) => {
                    self.end_hold_of(&job);
                    None
                }
                Choice::Wait => None,
            };
            if proposal.is_some() {
                return proposal;
            }
        }
        None
    }

    /// Keeps a host for a job that has waited long for a large enough hole, so that it is not passed for ever.
    fn hold_for(&mut self, job: &JobId, size: Resources, now: Moment) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let since = *entry.waits_since.get_or_insert(now);
        if self.hold.is_some() || now.since(since) < HOLD_AFTER {
            return;
        }
        if let Some(host) = self.placer.emptiest(size) {
            self.placer.reserve(Some(host.clone()));
            self.hold = Some(Hold { job: job.clone(), host });
        }
    }

    pub(super) fn end_hold_of(&mut self, job: &JobId) {
        if self.hold.as_ref().is_some_and(|it| &it.job == job) {
            self.hold = None;
            self.placer.reserve(None);
        }
    }

    fn held_host(&self, job: &JobId, size: Resources) -> Option<HostName> {
        let hold = self.hold.as_ref().filter(|it| &it.job == job)?;
        let free = self.placer.free(&hold.host)?;
        free.fits(size).then(|| hold.host.clone())
    }

    pub(super) fn choose(&self, job: &JobId, full: &mut FullSizes) -> Choice {
        let Some(entry) = self.entries.get(job) else { return Choice::Wait };
        let core = &entry.row.core;
        let largest = self.placer.largest();
        let learned =
            self.sizes.expected(&core.team, &core.spec.kind, core.spec.resources, largest);
        let seen = larger(learned, entry.peak.min_of(largest));
        let size = if self.placer.can_ever_fit(seen) { seen } else { core.spec.resources };
        if let Some(host) = self.held_host(job, size) {
            return Choice::Start(host, size);
        }
        let is_remembered = size.accelerators > 0 || self.placer.has_plain_host(size);
        if is_remembered && full.holds(size) {
            return Choice::Full(size);
        }
        let place = |avoid| self.placer.place(&Ask { team: &core.team, size, avoid });
        let placement = match place(core.failed_on.as_slice()) {
            Placement::Wait(_) if !self.has_other_host(&core.failed_on, size) => place(&[]),
            placement => placement,
        };
        match placement {
            Placement::On(host) => Choice::Start(host, size),
            Placement::Wait(WaitReason::Full) => {
                if is_remembered && core.failed_on.is_empty() {
                    full.add(size);
                }
                Choice::Full(size)
            }
            Placement::Wait(WaitReason::OutOfService) => Choice::Wait,
            Placement::Unplaceable => Choice::Refuse,
        }
    }

    fn has_other_host(&self, avoid: &[HostName], size: Resources) -> bool {
        self.hosts.values().any(|it| !avoid.contains(&it.name) && it.resources.fits(size))
    }

    fn propose_start(
        &mut self,
        job: &JobId,
        host: HostName,
        size: Resources,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Option<Proposal> {
        let boot = self.workers.ready(&host, now)?.clone();
        let entry = self.entries.get_mut(job)?;
        let waiting = Job::<Waiting>::try_from(entry.row.clone()).ok()?;
        let row: JobRow = waiting.place(host, boot, self.fence, size, ids.next_id()).into();
        entry.pending = Some(row.clone());
        entry.waits_since = None;
        let version = entry.version;
        self.queue.remove(job);
        self.end_hold_of(job);
        if let Some(run) = super::running_of(&row) {
            self.hold(job, &row.core.team, run);
        }
        Some(Proposal { version, row, unit: UnitChange::Take })
    }

    fn propose_refusal(&mut self, job: &JobId, ids: &mut impl WriteIds) -> Option<Proposal> {
        let entry = self.entries.get_mut(job)?;
        let waiting = Job::<Waiting>::try_from(entry.row.clone()).ok()?;
        let detail = format!("No host of pool '{}' is large enough for the job.", self.pool);
        let problem = Problem::not_run(ProblemKind::Unplaceable, detail);
        let row: JobRow = waiting.refuse(problem, ids.next_id()).into();
        entry.pending = Some(row.clone());
        let version = entry.version;
        self.queue.remove(job);
        self.end_hold_of(job);
        Some(Proposal { version, row, unit: UnitChange::None })
    }

    /// Leaves out workers that are silent, and takes back those whose time out is over.
    pub fn refresh_workers(&mut self, now: Moment) {
        for host in self.health.returning(now) {
            self.placer.readmit(&host);
        }
        let silent: Vec<HostName> =
            self.hosts.keys().filter(|it| self.workers.ready(it, now).is_none()).cloned().collect();
        for host in silent {
            self.placer.eject(&host);
            if self.hold.as_ref().is_some_and(|it| it.host == host) {
                self.hold = None;
                self.placer.reserve(None);
            }
        }
    }
}

fn larger(one: Resources, other: Resources) -> Resources {
    Resources {
        millicores: one.millicores.max(other.millicores),
        memory_mib: one.memory_mib.max(other.memory_mib),
        accelerators: one.accelerators,
    }
}
