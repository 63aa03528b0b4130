//! The state of one pool at its owner.

use fuchsiamill_model::{
    EntryName, FastMap, FastSet, HostName, Millisecond, Moment, PoolName, Slots,
};

use super::{Ending, GrantRef, InFlight, LaneUse};
use crate::{
    escrow::EscrowTiming,
    shares::{Lane, Nearness, Queues},
    slots::SlotTable,
};

/// How long a backend server that refused a request as busy gets no new work, in milliseconds.
const BUSY_PAUSE: Millisecond = 50;

/// A slot in use by a granted request.
#[derive(Clone, Debug)]
pub(super) struct SlotUse {
    pub(super) lane: Lane,
    pub(super) host: HostName,
    /// When the request's deadline has passed for certain, on this host's clock.
    pub(super) until: Moment,
}

/// The stage of a tenure of a pool.
#[derive(Clone, Debug)]
enum Stage {
    /// The new owner waits for the reports of the entry hosts in `missing`, until `until` at the latest. `released` has
    /// the grants that were released meanwhile, so that a late report does not count them as in use.
    TakingOver { missing: FastSet<EntryName>, until: Moment, released: FastSet<GrantRef> },
    /// The takeover is over.
    Granting,
}

/// Whether the owner of a pool may grant at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantState {
    /// The owner may grant.
    Enabled,
    /// Nothing is granted for now; the same tenure is expected to go on soon.
    Suspended,
}

/// The state of one pool at its owner.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) queues: Queues,
    pub(super) slots: SlotTable,
    pub(super) nearness: Nearness,
    grant_state: GrantState,
    uses: FastMap<GrantRef, SlotUse>,
    stage: Stage,
}

impl OwnedPool {
    /// Creates the state of a pool at the start of a takeover. The takeover waits for the reports of `members`, until
    /// `until` at the latest.
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

    /// Makes a takeover wait for the report of one more entry host.
    pub(super) fn await_report(&mut self, entry: EntryName) {
        if let Stage::TakingOver { missing, .. } = &mut self.stage {
            missing.insert(entry);
        }
    }

    /// Applies an entry host's report of its grants that are in use in the pool.
    pub(super) fn report(
        &mut self,
        now: Moment,
        entry: &EntryName,
        in_flight: Vec<InFlight>,
        timing: &EscrowTiming,
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
            self.uses.insert(grant, SlotUse { lane, host, until: now + timing.with_drift(left) });
        }
    }

    /// Returns whether nothing is queued, running or being taken over.
    pub(super) fn is_idle(&self) -> bool {
        self.queues.is_empty() && self.uses.is_empty() && matches!(self.stage, Stage::Granting)
    }

    /// Returns whether grants may be given; ends a takeover whose time is over.
    pub(super) fn is_granting(&mut self, now: Moment) -> bool {
        if let Stage::TakingOver { until, .. } = &self.stage
            && *until <= now
        {
            self.stage = Stage::Granting;
        }
        self.grant_state == GrantState::Enabled && matches!(self.stage, Stage::Granting)
    }

    /// Records the use of a slot that was picked for a grant.
    pub(super) fn begin_use(&mut self, grant: GrantRef, used: SlotUse) {
        self.queues.started(&used.lane);
        self.uses.insert(grant, used);
    }

    /// Frees the slot of a grant.
    ///
    /// A request whose answer was lost keeps its slot until its deadline, because it may still run.
    pub(super) fn end_use(&mut self, now: Moment, grant: &GrantRef, ending: Ending) {
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

    /// Frees the slots of requests whose deadline has passed without a release.
    pub(super) fn expire(&mut self, now: Moment) {
        let over: Vec<GrantRef> =
            self.uses.iter().filter(|(_, it)| it.until <= now).map(|(it, _)| it.clone()).collect();
        for grant in over {
            self.end_use(now, &grant, Ending::Unsent);
        }
    }

    /// Sets whether the owner may grant at present, and returns the previous state.
    pub(super) fn set_grant_state(&mut self, grant_state: GrantState) -> GrantState {
        std::mem::replace(&mut self.grant_state, grant_state)
    }

    /// Adds a span of time to the measure of nearness to share, if the pool is full and requests are queued.
    pub(super) fn measure(&mut self, now: Moment, span: Millisecond) {
        if self.queues.is_empty() || self.slots.free(now) > 0 {
            return;
        }
        for (lane, entitled, running) in self.queues.entitlements(self.slots.open_slots()) {
            self.nearness.add(&lane, entitled, f64::from(running), span);
        }
    }

    /// Returns the lanes that have work or whose nearness to share was measured.
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

    /// Returns how many more units a lane could use now: at most one for each queued request, and at least one if a
    /// request is queued and none runs. A lane that has its part of a full pool wants none: a unit that it kept for the
    /// next slot would be missing in another pool.
    pub(super) fn units_wanted(&self, now: Moment, lane: &Lane) -> u32 {
        let queued = self.queues.queued(lane);
        if queued == 0 {
            return 0;
        }
        let entitled = self.queues.entitlements(self.slots.open_slots());
        let entitlement = entitled.iter().find(|(it, ..)| it == lane);
        let running = entitlement.map_or(0, |(.., running)| *running);
        let missing = entitlement.map_or(0, |(_, slots, running)| missing_slots(*slots, *running));
        queued.min(missing.max(self.slots.free(now)).max(u32::from(running == 0)))
    }
}

fn missing_slots(entitled: f64, running: Slots) -> u32 {
    (entitled.ceil() as u32).saturating_sub(running)
}
