//! Which waiting jobs are placed next, and where.

use fuchsiamill_model::{
    FastMap, FastSet, HostName, JobId, Moment, Problem, ProblemKind, Resources, TeamName, Units,
};

use super::{Proposal, Scheduler, UnitChange, WriteIds};
use crate::{
    jobs::{queue::Weight, row::JobRow, stage::Job, stage::Waiting},
    placement::{Ask, Placement},
};

/// Waiting jobs of a team that are tried before its turn passes on.
const BACKFILL: usize = 8;

enum Choice {
    Start(HostName, Resources),
    Refuse,
    Wait,
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
        let mut passed_over = FastSet::default();
        let mut taken: FastMap<TeamName, Units> = FastMap::default();
        while proposals.len() < most {
            let Some(team) = self.queue.turn(&self.running, &weight, &passed_over) else { break };
            let units = taken.entry(team.clone()).or_default();
            let has_room = *units < room(&team);
            match self.first_placeable(&team, has_room, ids, now) {
                Some(proposal) => {
                    *units += Units::from(proposal.unit == UnitChange::Take);
                    proposals.push(proposal);
                }
                None => {
                    passed_over.insert(team);
                }
            }
        }
        proposals
    }

    fn first_placeable(
        &mut self,
        team: &TeamName,
        has_room: bool,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Option<Proposal> {
        for job in self.queue.front(team, BACKFILL) {
            let proposal = match self.choose(&job) {
                Choice::Start(host, size) if has_room => {
                    self.propose_start(&job, host, size, ids, now)
                }
                Choice::Refuse => self.propose_refusal(&job, ids),
                Choice::Start(..) | Choice::Wait => None,
            };
            if proposal.is_some() {
                return proposal;
            }
        }
        None
    }

    fn choose(&self, job: &JobId) -> Choice {
        let Some(entry) = self.entries.get(job) else { return Choice::Wait };
        let core = &entry.row.core;
        let largest = self.placer.largest();
        let learned =
            self.sizes.expected(&core.team, &core.spec.kind, core.spec.resources, largest);
        let seen = larger(learned, entry.peak.min_of(largest));
        let size = if self.placer.can_ever_fit(seen) { seen } else { core.spec.resources };
        let place = |avoid| self.placer.place(&Ask { team: &core.team, size, avoid });
        let placement = match place(core.failed_on.as_slice()) {
            Placement::Wait(_) if !self.has_other_host(&core.failed_on, size) => place(&[]),
            placement => placement,
        };
        match placement {
            Placement::On(host) => Choice::Start(host, size),
            Placement::Wait(_) => Choice::Wait,
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
        let version = entry.version;
        self.queue.remove(job);
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
