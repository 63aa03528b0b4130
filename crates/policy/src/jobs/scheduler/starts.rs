//! Decides which waiting jobs start next, and on which host.

use fuchsiamill_model::{
    FastMap, HostName, JobId, Millisecond, Moment, Problem, ProblemKind, Resources, TeamName, Units,
};

use super::{Proposal, Reservation, Scheduler, UnitChange, WriteIds};
use crate::{
    jobs::{
        queue::Weight,
        row::{JobRow, Waiting},
        stage::Job,
    },
    placement::{Placement, PlacementRequest, WaitReason},
};

/// The number of a team's waiting jobs that are tried in one turn, so that jobs behind one without room can start.
const BACKFILL_DEPTH: usize = 8;

/// How long a job finds no room before a host is reserved for it, in milliseconds.
const RESERVE_AFTER: Millisecond = 30_000;
/// The largest number of sizes without room that one round of placement remembers.
const MAX_FULL_SIZES: usize = 16;

/// What to do with a waiting job.
pub(super) enum Choice {
    /// Start it on the host, with these resources reserved.
    Start(HostName, Resources),
    /// Refuse it: no host of the pool is large enough.
    Refuse,
    /// Leave it waiting: no host has this much free.
    Full(Resources),
    /// Leave it waiting: the hosts that are large enough are out of service or ejected.
    Wait,
}

/// Whether a team's upper limit allows it one more running job.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Limit {
    Room,
    Reached,
}

/// Sizes that found no room in this round of placement. Nothing as large as one of them will find room either.
#[derive(Default)]
pub(super) struct FullSizes(Vec<Resources>);

impl FullSizes {
    fn covers(&self, size: Resources) -> bool {
        self.0.iter().any(|it| size.fits(*it) && (size.accelerators > 0) == (it.accelerators > 0))
    }

    fn add(&mut self, size: Resources) {
        if self.0.len() < MAX_FULL_SIZES {
            self.0.push(size);
        }
    }
}

impl Scheduler {
    /// Proposes the next starts and refusals, at most `max`, in the order of the teams' turns.
    ///
    /// `room` returns how many more units of its upper limit a team may take.
    pub fn place_next(
        &mut self,
        max: usize,
        weight: impl Fn(&TeamName) -> Option<Weight>,
        room: impl Fn(&TeamName) -> Units,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        let mut full = FullSizes::default();
        let mut taken: FastMap<TeamName, Units> = FastMap::default();
        let mut turns = self.queue.turns(&self.running, weight);
        while proposals.len() < max {
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
        for job in self.queue.front(team, BACKFILL_DEPTH) {
            let proposal = match self.choose(&job, full) {
                Choice::Start(host, size) if limit == Limit::Room => {
                    self.propose_start(&job, host, size, ids, now)
                }
                Choice::Refuse => self.propose_refusal(&job, ids),
                Choice::Full(size) if limit == Limit::Room => {
                    self.reserve_for(&job, size, now);
                    None
                }
                Choice::Start(..) | Choice::Full(_) => {
                    self.cancel_reservation(&job);
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

    /// Reserves a host for a job that has found no room for [`RESERVE_AFTER`], so that smaller jobs cannot starve it.
    fn reserve_for(&mut self, job: &JobId, size: Resources, now: Moment) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let since = *entry.no_room_since.get_or_insert(now);
        if self.reservation.is_some() || now.since(since) < RESERVE_AFTER {
            return;
        }
        if let Some(host) = self.placer.emptiest(size) {
            self.placer.reserve(Some(host.clone()));
            self.reservation = Some(Reservation { job: job.clone(), host });
        }
    }

    pub(super) fn cancel_reservation(&mut self, job: &JobId) {
        if self.reservation.as_ref().is_some_and(|it| &it.job == job) {
            self.reservation = None;
            self.placer.reserve(None);
        }
    }

    fn reserved_host(&self, job: &JobId, size: Resources) -> Option<HostName> {
        let reservation = self.reservation.as_ref().filter(|it| &it.job == job)?;
        let free = self.placer.free(&reservation.host)?;
        free.fits(size).then(|| reservation.host.clone())
    }

    pub(super) fn choose(&self, job: &JobId, full: &mut FullSizes) -> Choice {
        let Some(entry) = self.entries.get(job) else { return Choice::Wait };
        let core = &entry.row.core;
        let largest = self.placer.largest();
        let learned =
            self.sizes.expected(&core.team, &core.spec.kind, core.spec.resources, largest);
        let estimate = larger(learned, entry.peak.min_of(largest));
        let size = if self.placer.can_ever_fit(estimate) { estimate } else { core.spec.resources };
        if let Some(host) = self.reserved_host(job, size) {
            return Choice::Start(host, size);
        }
        let is_remembered = size.accelerators > 0 || self.placer.has_plain_host(size);
        if is_remembered && full.covers(size) {
            return Choice::Full(size);
        }
        let place = |avoid| self.placer.place(&PlacementRequest { team: &core.team, size, avoid });
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
        let boot = self.workers.ready_boot(&host, now)?.clone();
        let entry = self.entries.get_mut(job)?;
        let waiting = Job::<Waiting>::try_from(entry.row.clone()).ok()?;
        let row: JobRow = waiting.place(host, boot, self.fence, size, ids.next_id()).into();
        entry.pending = Some(row.clone());
        entry.no_room_since = None;
        let version = entry.version;
        self.queue.remove(job);
        self.cancel_reservation(job);
        if let Some(run) = super::running_of(&row) {
            self.add_placement(job, &row.core.team, run);
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
        self.cancel_reservation(job);
        Some(Proposal { version, row, unit: UnitChange::None })
    }

    /// Ejects workers without a recent answer from new placements, and readmits those whose ejection is over.
    pub fn refresh_workers(&mut self, now: Moment) {
        for host in self.health.end_ejections(now) {
            self.placer.readmit(&host);
        }
        let silent: Vec<HostName> = self
            .hosts
            .keys()
            .filter(|it| self.workers.ready_boot(it, now).is_none())
            .cloned()
            .collect();
        for host in silent {
            self.placer.eject(&host);
            if self.reservation.as_ref().is_some_and(|it| it.host == host) {
                self.reservation = None;
                self.placer.reserve(None);
            }
        }
    }
}

fn larger(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.max(b.millicores),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators,
    }
}
