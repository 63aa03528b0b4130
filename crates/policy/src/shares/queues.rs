//! The queues of one pool and whose turn it is.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_model::{DataCentre, EntryName, Moment, Slots, Team, TeamName, team::Urgency};
use serde::{Deserialize, Serialize};

use super::{LaneDemand, max_min};

/// Whose work a queue holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lane {
    /// A team's.
    Team(TeamName),
    /// That of callers without a key, on services open to all.
    Open,
}

/// What a lane was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneSettings {
    /// Its weight, at least one.
    pub share: u32,
    /// The most requests in its queue.
    pub max_queued: u32,
    /// Whether it goes before others.
    pub urgency: Urgency,
}

impl From<&Team> for LaneSettings {
    fn from(team: &Team) -> Self {
        Self { share: team.share, max_queued: team.queue, urgency: team.urgent }
    }
}

/// One request, as the entry host that took it names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The entry host.
    pub entry: EntryName,
    /// Its number of the request, never used twice by one process.
    pub number: u64,
}

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub ticket: Ticket,
    /// The data centre of its entry host.
    pub data_centre: DataCentre,
    /// When its deadline has passed for certain, on this host's clock.
    pub until: Moment,
    /// The number of its entry host's newest ask; a grant answers that.
    pub ask: u64,
    /// When that ask came.
    pub asked_at: Moment,
    /// Whether the entry host waits for an answer now.
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
    /// Sets what a lane was promised. A shorter queue refuses newcomers, not those in it.
    pub fn set_lane(&mut self, lane: Lane, settings: LaneSettings) {
        let fresh = LaneState { settings, queue: VecDeque::new(), running: 0 };
        self.lanes.entry(lane).or_insert(fresh).settings = settings;
    }

    /// Adds a request, or takes another ask for one that is queued already.
    ///
    /// Gives it back when the lane's queue is full or the lane is not known.
    pub fn enqueue(&mut self, lane: &Lane, waiting: QueuedRequest) -> Result<(), QueuedRequest> {
        let Some(state) = self.lanes.get_mut(lane) else { return Err(waiting) };
        if let Some(known) = state.queue.iter_mut().find(|it| it.ticket == waiting.ticket) {
            if known.ask < waiting.ask {
                *known = waiting;
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

    /// Takes out the requests for which `is_over` holds.
    pub fn remove_where(
        &mut self,
        mut is_over: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for state in self.lanes.values_mut().filter(|it| !it.queue.is_empty()) {
            let (over, left) = std::mem::take(&mut state.queue).into_iter().partition(&mut is_over);
            state.queue = left;
            removed.extend::<VecDeque<QueuedRequest>>(over);
        }
        self.len -= removed.len();
        removed
    }

    /// Every queued request.
    pub fn waiting_mut(&mut self) -> impl Iterator<Item = &mut QueuedRequest> {
        self.lanes.values_mut().flat_map(|state| state.queue.iter_mut())
    }

    /// Takes the next request among the lanes for which `may_start` holds.
    ///
    /// Urgent lanes go first; then the lane that has the fewest running slots for its weight.
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
            .min_by(|(_, a), (_, b)| a.turn().total_cmp(&b.turn()))
            .map(|(lane, _)| lane.clone())?;
        let queue = &mut self.lanes.get_mut(&lane)?.queue;
        let at = queue.iter().position(|it| it.is_asking)?;
        let waiting = queue.remove(at)?;
        self.len -= 1;
        Some((lane, waiting))
    }

    /// Counts work of a lane that starts.
    pub fn started(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(lane) {
            state.running += 1;
        }
    }

    /// Counts work of a lane that has ended.
    pub fn ended(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(lane) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// The requests that a lane has queued.
    pub fn queued(&self, lane: &Lane) -> u32 {
        if self.is_empty() {
            return 0;
        }
        self.lanes.get(lane).map_or(0, |state| state.queue.len() as u32)
    }

    /// Every lane.
    pub fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.keys()
    }

    /// The lanes that have something queued.
    pub fn waiting_lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.iter().filter(|(_, state)| !state.queue.is_empty()).map(|(lane, _)| lane)
    }

    /// The requests of all lanes that are queued.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The slots that a lane's work uses.
    pub fn running(&self, lane: &Lane) -> Slots {
        self.lanes.get(lane).map_or(0, |state| state.running)
    }

    /// Each lane with demand: its weighted max-min part of `slots` and what it has running.
    pub fn entitlements(&self, slots: Slots) -> Vec<(Lane, f64, Slots)> {
        let claims: Vec<LaneDemand> = self.lanes.values().map(LaneState::claim).collect();
        let parts = max_min(slots, &claims);
        let lanes = self.lanes.iter().zip(parts);
        lanes
            .filter(|((_, state), _)| state.claim().demand > 0)
            .map(|((lane, state), part)| (lane.clone(), part, state.running))
            .collect()
    }
}

impl LaneState {
    fn claim(&self) -> LaneDemand {
        LaneDemand { share: self.settings.share, demand: self.running + self.queue.len() as Slots }
    }

    fn turn(&self) -> f64 {
        match self.settings.urgency {
            Urgency::Urgent => -1.0 / f64::from(self.running + 1),
            Urgency::Normal => f64::from(self.running) / f64::from(self.settings.share),
        }
    }
}
