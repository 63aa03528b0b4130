//! The queues of one pool, and the choice of the lane that is served next.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_model::{DataCentre, EntryName, Moment, Slots, Team, TeamName, team::Urgency};
use serde::{Deserialize, Serialize};

use super::{LaneDemand, max_min};

/// The owner of the work in a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lane {
    /// Work of a team.
    Team(TeamName),
    /// Work of callers without a key, on services that are open to all.
    Open,
}

/// The configured share and limits of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneSettings {
    /// The lane's weight, at least 1.
    pub share: u32,
    /// The maximum number of requests in its queue.
    pub max_queued: u32,
    /// Whether the lane is served before others.
    pub urgency: Urgency,
}

impl From<&Team> for LaneSettings {
    fn from(team: &Team) -> Self {
        Self { share: team.share, max_queued: team.queue, urgency: team.urgent }
    }
}

/// The id of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The entry host that received the request.
    pub entry: EntryName,
    /// The entry host's number for the request. A process never uses a number twice.
    pub number: u64,
}

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The id of the request.
    pub ticket: Ticket,
    /// The data centre of the request's entry host.
    pub data_centre: DataCentre,
    /// The time, on this host's clock, at which the request's deadline has certainly passed.
    pub until: Moment,
    /// The number of the entry host's newest ask for the request; a grant answers this ask.
    pub ask: u64,
    /// The time at which that ask arrived.
    pub asked_at: Moment,
    /// Whether the entry host is waiting for an answer to that ask now.
    pub is_asking: bool,
}

#[derive(Clone, Debug)]
struct LaneState {
    settings: LaneSettings,
    queue: VecDeque<QueuedRequest>,
    running: Slots,
}

/// The queues of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    lanes: BTreeMap<Lane, LaneState>,
    len: usize,
}

impl Queues {
    /// Sets a lane's settings and adds the lane if needed. A lower queue limit applies to new requests only.
    pub fn set_lane(&mut self, lane: Lane, settings: LaneSettings) {
        let new_lane = LaneState { settings, queue: VecDeque::new(), running: 0 };
        self.lanes.entry(lane).or_insert(new_lane).settings = settings;
    }

    /// Adds a request, or updates a queued one if this ask is newer.
    ///
    /// Returns the request as the error if the lane's queue is full or the lane is unknown.
    pub fn enqueue(&mut self, lane: &Lane, waiting: QueuedRequest) -> Result<(), QueuedRequest> {
        let Some(state) = self.lanes.get_mut(lane) else { return Err(waiting) };
        if let Some(queued) = state.queue.iter_mut().find(|it| it.ticket == waiting.ticket) {
            if queued.ask < waiting.ask {
                *queued = waiting;
            }
            return Ok(());
        }
        if state.queue.len() >= state.settings.max_queued as usize {
            return Err(waiting);
        }
        state.queue.push_back(waiting);
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the requests for which `is_removable` holds.
    pub fn remove_where(
        &mut self,
        mut is_removable: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for state in self.lanes.values_mut().filter(|it| !it.queue.is_empty()) {
            let (removable, kept) =
                std::mem::take(&mut state.queue).into_iter().partition(&mut is_removable);
            state.queue = kept;
            removed.extend::<VecDeque<QueuedRequest>>(removable);
        }
        self.len -= removed.len();
        removed
    }

    /// Returns every queued request.
    pub fn waiting_mut(&mut self) -> impl Iterator<Item = &mut QueuedRequest> {
        self.lanes.values_mut().flat_map(|state| state.queue.iter_mut())
    }

    /// Removes and returns the next request of the lanes for which `may_start` holds.
    ///
    /// Urgent lanes go first, then the lane with the fewest running slots for its weight.
    pub fn pop(
        &mut self,
        mut may_start: impl FnMut(&Lane) -> bool,
    ) -> Option<(Lane, QueuedRequest)> {
        if self.is_empty() {
            return None;
        }
        let is_ready = |state: &LaneState| state.queue.iter().any(|it| it.is_asking);
        let lane = self
            .lanes
            .iter()
            .filter(|(lane, state)| is_ready(state) && may_start(lane))
            .min_by(|(_, a), (_, b)| a.rank().total_cmp(&b.rank()))
            .map(|(lane, _)| lane.clone())?;
        let queue = &mut self.lanes.get_mut(&lane)?.queue;
        let index = queue.iter().position(|it| it.is_asking)?;
        let waiting = queue.remove(index)?;
        self.len -= 1;
        Some((lane, waiting))
    }

    /// Counts a started request of a lane.
    pub fn started(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(lane) {
            state.running += 1;
        }
    }

    /// Counts an ended request of a lane.
    pub fn ended(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(lane) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Returns the number of queued requests of a lane.
    pub fn queued(&self, lane: &Lane) -> u32 {
        if self.is_empty() {
            return 0;
        }
        self.lanes.get(lane).map_or(0, |state| state.queue.len() as u32)
    }

    /// Returns every lane.
    pub fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.keys()
    }

    /// Returns the lanes that have queued requests.
    pub fn waiting_lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.iter().filter(|(_, state)| !state.queue.is_empty()).map(|(lane, _)| lane)
    }

    /// Returns the number of queued requests of all lanes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the slots that a lane's running work uses.
    pub fn running(&self, lane: &Lane) -> Slots {
        self.lanes.get(lane).map_or(0, |state| state.running)
    }

    /// Returns, for each lane with demand, its weighted max-min part of `slots` and its running slots.
    pub fn entitlements(&self, slots: Slots) -> Vec<(Lane, f64, Slots)> {
        let demands: Vec<LaneDemand> = self.lanes.values().map(LaneState::demand).collect();
        let parts = max_min(slots, &demands);
        let lanes = self.lanes.iter().zip(parts);
        lanes
            .filter(|((_, state), _)| state.demand().demand > 0)
            .map(|((lane, state), part)| (lane.clone(), part, state.running))
            .collect()
    }
}

impl LaneState {
    fn demand(&self) -> LaneDemand {
        LaneDemand { share: self.settings.share, demand: self.running + self.queue.len() as Slots }
    }

    /// Returns the lane's place in the order of service; the lowest goes first.
    fn rank(&self) -> f64 {
        match self.settings.urgency {
            Urgency::Urgent => -1.0 / f64::from(self.running + 1),
            Urgency::Normal => f64::from(self.running) / f64::from(self.settings.share),
        }
    }
}
