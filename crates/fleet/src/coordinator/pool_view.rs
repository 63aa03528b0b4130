//! The hosts of one pool and the needs for them, while hosts are planned.

use fuchsiamill_model::{FastMap, Resources, units::Moment};

use super::{
    StepKey,
    demand::{HostAffinity, Load},
    limits::LimitWait,
    shares::{TIERS, TierNeeds},
};
use crate::{Name, Step, admission::PoolCapacity};

/// How many hosts a pool has and needs, and what that was computed from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolNeed {
    /// The pool.
    pub pool: Name,
    /// Hosts that are in the pool or on their way to it.
    pub hosts: u64,
    /// Hosts that the pool needs.
    pub wanted: u64,
    /// Hosts that the pool needs without the jobs that teams sent beyond their weight.
    pub owed: u64,
    /// Hosts that the pool needs for jobs that can be in time, present and expected, and for its claim.
    pub in_time: u64,
    /// Hosts that the pool needs for tasks that run all the time or at a time of day.
    pub claim: u64,
    /// Hosts that the pool gets of those that there are.
    pub share: u64,
    /// Hosts that the present work needs, without the jobs that teams sent beyond their weight.
    pub pressing: u64,
    /// Hosts that the tasks which run or could run would need if they were packed anew.
    pub packed: u64,
    /// Hosts that the sum of the present work needs with headroom, or its limits on tasks per worker.
    pub present_hosts: u64,
    /// The most hosts that the pool needed recently; idle hosts beyond these leave.
    pub kept: u64,
    /// Moves to the pool that this coordinator has ordered.
    pub moves: u64,
    /// Processors for the expected work, in millicores; memory counts as the processors of as many hosts.
    pub expected: u64,
    /// Processors for the present work, in millicores.
    pub present: u64,
    /// Hosts that may leave.
    pub idle: u64,
    /// Hosts that take no new tasks until theirs have ended, before a move or maintenance. They do not count as the pool's.
    pub drained: u64,
    /// Hosts with tasks that run until their job is cancelled.
    pub standing: u64,
    /// Hosts whose room is held for such tasks.
    pub held: u64,
    /// Affinities for which the pool has too few hosts.
    pub lacking: Vec<HostAffinity>,
}

impl PoolNeed {
    /// Returns the hosts that it needs for its work up to each tier.
    pub(super) fn by_tier(&self) -> TierNeeds {
        [self.claim, self.in_time, self.owed, self.wanted]
    }

    /// Returns whether there are too few hosts for it.
    pub fn is_scarce(&self) -> bool {
        self.share < self.wanted
    }
}

/// A pool while hosts are planned.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolView {
    /// The needs that are reported for the pool.
    pub(super) need: PoolNeed,
    /// The present work.
    pub(super) load: Load,
    /// The part of the present work that teams sent beyond their weight.
    pub(super) excess: Load,
    /// The part of the present work that is late.
    pub(super) late: Load,
    /// The part of the present work that is to run all the time or at a time of day.
    pub(super) standing: Load,
    /// The sizes and numbers of the tasks that run or could run.
    pub(super) tasks: Vec<(Resources, u64)>,
    /// Of these, short tasks that have waited for room for long.
    pub(super) waiting: Vec<(Resources, u64)>,
    /// Hosts that one of its jobs needs because a worker may have only some of its tasks.
    pub(super) spread_hosts: u64,
    /// The same of jobs with tasks that run all the time or at a time of day.
    pub(super) standing_spread: u64,
    /// The long-running tasks that have waited for room, the most urgent ones first.
    pub(super) waits: Vec<RoomWait>,
    /// The long-running tasks of teams with an upper limit that have waited, the most urgent ones first.
    pub(super) limit_waits: Vec<LimitWait>,
    /// Hosts whose workers take tasks.
    pub(super) ready: u64,
    /// Hosts on their way to the pool, or whose workers do not answer yet.
    pub(super) coming: u64,
    /// The capacity of its largest worker, or of the largest host if it has none.
    pub(super) host: Resources,
    /// Hosts that may leave, with the one that has been idle longest last.
    pub(super) idle: Vec<(Moment, Name)>,
    /// The capacity of its workers that take tasks.
    pub(super) present: Load,
    /// The room of runs that are to last, and of the others.
    pub(super) standing_runs: Load,
    pub(super) short_runs: Load,
    /// The work of waiting tasks that could run, in millicore-milliseconds.
    pub(super) startable: u64,
    /// The waiting work; the other fields are computed later.
    pub(super) capacity: PoolCapacity,
    /// The parts of its work that ask for certain hosts.
    pub(super) affinities: FastMap<HostAffinity, AffinityView>,
}

/// Tasks of one step that wait for room.
#[derive(Clone, Debug)]
pub(super) struct RoomWait {
    pub(super) step: StepKey,
    pub(super) urgency: WaitUrgency,
    pub(super) tasks: u64,
    pub(super) size: Resources,
    /// The most tasks of the step that may share a worker.
    pub(super) per_worker: u64,
    pub(super) label: Option<Name>,
    /// Whether all of the tasks start together or none.
    pub(super) is_gang: bool,
    /// Whether further hosts of any kind would do.
    pub(super) asks_for_hosts: bool,
}

/// The order in which waits get room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitUrgency {
    pub(super) priority: u32,
    pub(super) since: Moment,
}

impl RoomWait {
    /// Returns the wait of so many tasks of a step.
    pub(super) fn new(key: StepKey, urgency: WaitUrgency, tasks: u64, step: &Step) -> Self {
        Self {
            step: key,
            urgency,
            tasks,
            size: step.room(),
            per_worker: step.per_worker.map_or(u64::MAX, u64::from),
            label: step.label.clone(),
            is_gang: step.gang,
            asks_for_hosts: false,
        }
    }

    /// Returns what orders waits: the most urgent one is the smallest.
    pub(super) fn order(&self) -> (WaitUrgency, &StepKey) {
        (self.urgency, &self.step)
    }

    /// Returns how many of the tasks an empty host of this capacity holds.
    pub(super) fn tasks_per(&self, host: Resources) -> u64 {
        host.times(self.size).clamp(1, self.per_worker.max(1))
    }

    /// Returns how many of the tasks fit into this room.
    fn places(&self, free: Resources) -> u64 {
        free.times(self.size).min(self.per_worker)
    }

    /// Returns what so many of the tasks leave of a room.
    fn rest(&self, free: Resources, tasks: u64) -> Resources {
        let part = |has: u32, needs: u32| {
            u64::from(has).saturating_sub(u64::from(needs).saturating_mul(tasks)) as u32
        };
        Resources {
            millicores: part(free.millicores, self.size.millicores),
            memory_mib: part(free.memory_mib, self.size.memory_mib),
            accelerators: part(free.accelerators, self.size.accelerators),
        }
    }
}

/// The part of a pool's work that asks for certain hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityView {
    /// The present work.
    pub(super) load: Load,
    /// Such hosts that it needs.
    pub(super) wanted: u64,
    /// The most such hosts that it needed recently.
    pub(super) recent_peak: u64,
    /// Such hosts that are in the pool or on their way to it.
    pub(super) hosts: u64,
    /// Its work that is to run all the time or at a time of day.
    pub(super) standing: Load,
    /// Such hosts that one of its steps needs for that because a worker may have only some of its tasks.
    pub(super) standing_spread: u64,
    /// Such hosts that this part needs.
    pub(super) claim: u64,
}

impl PoolView {
    /// Adds work of a step that asks for certain hosts. `standing` counts its tasks that are to run all the time or at a time of
    /// day and could start there.
    pub(super) fn add(&mut self, affinity: HostAffinity, load: Load, standing: u64, step: &Step) {
        let spread = match (&affinity, step.per_worker) {
            (HostAffinity::Label(_), Some(most)) => standing.div_ceil(u64::from(most.max(1))),
            _ => 0,
        };
        let part = self.affinities.entry(affinity).or_default();
        part.load = part.load.plus(load);
        part.standing = part.standing.plus(Load::of(step.room(), standing));
        part.standing_spread = part.standing_spread.max(spread);
    }

    /// Returns the hosts with which the tasks that wait for room can start, where those on their way count.
    pub(super) fn hosts_for_waits(&self) -> u64 {
        self.more_for_waits().map_or(0, |more| self.ready + more)
    }

    /// Returns the hosts that the tasks which run all the time need if no other tasks share them.
    pub(super) fn standing_hosts_with_waits(&self) -> u64 {
        self.more_for_waits().map_or(0, |more| self.need.standing + more)
    }

    /// Returns how many empty hosts the tasks that wait for room fill. Tasks of several steps share a host that has room for
    /// them.
    fn more_for_waits(&self) -> Option<u64> {
        // Hosts with the same room left, each with their number.
        let mut filled: Vec<(Resources, u64)> = Vec::new();
        for wait in self.waits.iter().filter(|it| it.asks_for_hosts) {
            let mut left = wait.tasks;
            let mut filled_anew = Vec::new();
            for (free, hosts) in &mut filled {
                let on_each = wait.places(*free);
                let used = left.checked_div(on_each).map_or(0, |it| it.min(*hosts));
                if used > 0 {
                    *hosts -= used;
                    left -= used * on_each;
                    filled_anew.push((wait.rest(*free, on_each), used));
                }
                if (1..on_each).contains(&left) && *hosts > 0 {
                    *hosts -= 1;
                    filled_anew.push((wait.rest(*free, left), 1));
                    left = 0;
                }
            }
            let on_each = wait.tasks_per(self.host);
            filled_anew.push((wait.rest(self.host, on_each), left / on_each));
            filled_anew.push((wait.rest(self.host, left % on_each), u64::from(left % on_each > 0)));
            filled.extend(filled_anew);
            filled.retain(|it| it.1 > 0);
        }
        self.waits.iter().any(|it| it.asks_for_hosts).then(|| filled.iter().map(|it| it.1).sum())
    }

    /// Counts a host as one of the pool's.
    pub(super) fn add_host(&mut self, labels: &[Name]) {
        self.need.hosts += 1;
        for (_, part) in self.affinities.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts += 1;
        }
    }

    /// Counts a host out of the pool. A host whose worker stopped answering meanwhile was not counted, so the counts
    /// may be zero.
    pub(super) fn remove_host(&mut self, labels: &[Name]) {
        self.need.hosts = self.need.hosts.saturating_sub(1);
        for (_, part) in self.affinities.iter_mut().filter(|it| it.0.is_met_by(labels)) {
            part.hosts = part.hosts.saturating_sub(1);
        }
    }

    /// Returns whether a host with these labels may leave. While hosts are scarce, only long-running work keeps hosts of
    /// its kind.
    pub(super) fn can_spare(&self, labels: &[Name]) -> bool {
        let mut met = self.affinities.iter().filter(|it| it.0.is_met_by(labels));
        match self.need.is_scarce() {
            true => met.all(|(_, it)| it.hosts > it.claim),
            false => met.all(|(_, it)| it.hosts > it.recent_peak),
        }
    }

    /// Returns the hosts that the pool is to get for its work up to a tier.
    pub(super) fn due(&self, tier: usize) -> u64 {
        self.need.by_tier()[tier].min(self.need.share)
    }

    /// Returns the first tier for which it has fewer hosts than it is to get.
    pub(super) fn short_tier(&self) -> Option<usize> {
        (0..TIERS).find(|tier| self.due(*tier) > self.need.hosts)
    }

    /// Returns how many more hosts it has than it is to get.
    pub(super) fn beyond_share(&self) -> u64 {
        self.need.hosts.saturating_sub(self.need.share)
    }

    /// Returns how many more hosts it has than it is to get for its work up to a tier.
    pub(super) fn beyond(&self, tier: usize) -> u64 {
        self.need.hosts.saturating_sub(self.due(tier))
    }
}

pub(super) type Views = FastMap<Name, PoolView>;
