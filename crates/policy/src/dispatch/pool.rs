//! One pool at its owner.

use fuchsiamill_model::{
    EntryName, FastMap, FastSet, HostName, Millisecond, Moment, PoolName, Slots,
};

use super::{Ending, GrantRef, InFlight, LaneUse};
use crate::{
    escrow::Terms,
    shares::{Lane, Nearness, Queues},
    slots::SlotTable,
};

/// How long a backend server that answered busy gets no new work.
const BUSY_PAUSE: Millisecond = 50;

/// Work in flight that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Use {
    pub(super) lane: Lane,
    pub(super) host: HostName,
    pub(super) until: Moment,
}

/// Where a new owner is with a pool.
#[derive(Clone, Debug)]
enum Stage {
    /// It waits for what these entry hosts still run there, until a time at the longest.
    TakingOver { missing: FastSet<EntryName>, until: Moment, released: FastSet<GrantRef> },
    /// It grants.
    Granting,
}

/// Whether the owner of a pool may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantState {
    /// It may.
    Enabled,
    /// It may again soon; until then nothing is granted.
    Suspended,
}

/// One pool at its owner.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) queues: Queues,
    pub(super) slots: SlotTable,
    pub(super) nearness: Nearness,
    grant_state: GrantState,
    uses: FastMap<GrantRef, Use>,
    stage: Stage,
}

impl OwnedPool {
    /// A pool that `members` have yet to report on, until `until` at the longest.
    pub(super) fn new(members: impl Iterator<Item = EntryName>, until: Moment) -> Self {
        Self {
            queues: Queues::default(),
            slots: SlotTable::default(),
            nearness: Nearness::default(),
            grant_state: GrantState::Enabled,
            uses: FastMap::default(),
            stage: Stage::TakingOver {
                missing: members.collect(),
                until,
                released: FastSet::default(),
            },
        }
    }

    /// Waits for the report of one more entry host before anything is granted.
    pub(super) fn await_report(&mut self, entry: EntryName) {
        if let Stage::TakingOver { missing, .. } = &mut self.stage {
            missing.insert(entry);
        }
    }

    /// Takes what an entry host still runs in the pool.
    pub(super) fn report(
        &mut self,
        now: Moment,
        entry: &EntryName,
        in_flight: Vec<InFlight>,
        terms: &Terms,
    ) {
        let Stage::TakingOver { missing, released, .. } = &mut self.stage else { return };
        if !missing.remove(entry) {
            return;
        }
        let fresh: Vec<InFlight> =
            in_flight.into_iter().filter(|it| !released.contains(&it.grant)).collect();
        if missing.is_empty() {
            self.stage = Stage::Granting;
        }
        for InFlight { grant, lane, host, left } in fresh {
            self.slots.adopt(&host);
            self.queues.started(&lane);
            self.uses.insert(grant, Use { lane, host, until: now + terms.with_drift(left) });
        }
    }

    /// Whether nothing is queued, running or being taken over.
    pub(super) fn is_idle(&self) -> bool {
        self.queues.is_empty() && self.uses.is_empty() && matches!(self.stage, Stage::Granting)
    }

    /// Whether grants may be given.
    pub(super) fn is_granting(&mut self, now: Moment) -> bool {
        if let Stage::TakingOver { until, .. } = &self.stage
            && *until <= now
        {
            self.stage = Stage::Granting;
        }
        self.grant_state == GrantState::Enabled && matches!(self.stage, Stage::Granting)
    }

    /// Counts a slot of a picked host as in use.
    pub(super) fn begin(&mut self, grant: GrantRef, used: Use) {
        self.queues.started(&used.lane);
        self.uses.insert(grant, used);
    }

    /// Frees the slot of a grant.
    ///
    /// Work whose answer was lost keeps its slot until its deadline.
    pub(super) fn end(&mut self, now: Moment, grant: &GrantRef, ending: Ending) {
        if let Stage::TakingOver { released, .. } = &mut self.stage {
            released.insert(grant.clone());
        }
        if ending == Ending::Lost {
            return;
        }
        let Some(used) = self.uses.remove(grant) else { return };
        self.slots.release(&used.host);
        self.queues.ended(&used.lane);
        if ending == Ending::Refused {
            self.slots.set_busy(&used.host, now + BUSY_PAUSE);
        }
    }

    /// Frees the slots of work whose deadline has passed without a release.
    pub(super) fn expire(&mut self, now: Moment) {
        let over: Vec<GrantRef> =
            self.uses.iter().filter(|(_, it)| it.until <= now).map(|(it, _)| it.clone()).collect();
        for grant in over {
            self.end(now, &grant, Ending::Unsent);
        }
    }

    /// Sets whether the owner may grant at present; returns what was set before.
    pub(super) fn set_grant_state(&mut self, grant_state: GrantState) -> GrantState {
        std::mem::replace(&mut self.grant_state, grant_state)
    }

    /// Adds a span of time to nearness to share, if the pool is full.
    pub(super) fn measure(&mut self, now: Moment, span: Millisecond) {
        if self.queues.is_empty() || self.slots.free(now) > 0 {
            return;
        }
        for (lane, entitled, running) in self.queues.entitled(self.slots.open_slots()) {
            self.nearness.add(&lane, entitled, f64::from(running), span);
        }
    }

    /// The lanes that have work or had their share measured.
    pub(super) fn lanes(&self, pool: &PoolName) -> Vec<LaneUse> {
        let lane_use = |lane: &Lane| LaneUse {
            pool: pool.clone(),
            lane: lane.clone(),
            running: self.queues.running(lane),
            queued: self.queues.queued(lane),
            nearness: self.nearness.of(lane),
        };
        let is_used = |it: &LaneUse| it.running > 0 || it.queued > 0 || it.nearness.is_some();
        self.queues.lanes().map(lane_use).filter(is_used).collect()
    }

    /// The units that a lane could use more than it has running.
    pub(super) fn units_wanted(&self, now: Moment, lane: &Lane) -> u32 {
        let queued = self.queues.queued(lane);
        if queued == 0 {
            return 0;
        }
        let entitled = self.queues.entitled(self.slots.open_slots());
        let part = entitled.iter().find(|(it, ..)| it == lane);
        let below = part.map_or(0, |(_, part, running)| below_part(*part, *running));
        queued.min(below.max(self.slots.free(now)).max(1))
    }
}

fn below_part(part: f64, running: Slots) -> u32 {
    (part.ceil() as u32).saturating_sub(running)
}
