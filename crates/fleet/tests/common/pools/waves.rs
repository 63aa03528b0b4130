//! What waves do to long-running tasks, as the true state of the fleet and the orders show it: see `any_waves`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{HostState, Name, Step, TaskId};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use super::{PoolFleet, PoolHost, Run, STOP_MS};

/// Wait of a task until room is held for it.
const WAIT_MS: Millisecond = 1_000;

/// Time until the next plan, for the stop and for the order to the host.
const PLANS_MS: Millisecond = 200;

/// Maintenance of a host.
const MAINTENANCE_MS: Millisecond = 2_000;

/// Two lists of hosts, the first of which has a new worker, and its first report.
const FIRST_REPORT_MS: Millisecond = 200;

/// Placement of a task, its record and the order.
const START_MS: Millisecond = 500;

/// Time for which a coordinator gives no order to hosts that a former one ordered, and moves no task.
const SETTLING_MS: Millisecond = 4_700;

/// A worker on which a task hangs is avoided for this time.
const AVOID_MS: Millisecond = 8_000;

/// The most stops of a task for one wave while hosts that are not due hold all that the wave stops, and else.
const MAX_STOPS: [u32; 2] = [1, 2];

/// Since when each long-running task could run on a host of its pool and does not.
#[derive(Default)]
pub struct AwayWatch {
    since: BTreeMap<TaskId, Moment>,
    /// When the coordinator that took over last has settled.
    settled: Option<Moment>,
    /// How many stops were noted.
    stops: usize,
    /// Until when hosts are avoided because a task was stopped there that hung.
    avoided: BTreeMap<usize, Moment>,
}

impl AwayWatch {
    /// Notes that the coordinator is replaced.
    pub fn note_takeover(&mut self, now: Moment) {
        self.settled = Some(now + SETTLING_MS);
    }

    /// Checks that no long-running task that could run has been without a run for too long.
    pub fn check(&mut self, fleet: &PoolFleet) -> Result<(), String> {
        let now = fleet.bench.now;
        self.note_avoided(fleet);
        let before = std::mem::take(&mut self.since);
        let bound = fleet.away_bound_ms();
        for task in fleet.with_place_in_pool(&self.avoided) {
            let since = *before.get(&task).unwrap_or(&now);
            let counted = self.settled.map_or(since, |it| it.max(since));
            if now >= counted && now.since(counted) > bound {
                let (waited, step) = (now.since(since), fleet.step_of(&task));
                return Err(format!("{task:?} has a place for {waited} ms, {bound}: {step:?}"));
            }
            self.since.insert(task, since);
        }
        Ok(())
    }

    fn note_avoided(&mut self, fleet: &PoolFleet) {
        let now = fleet.bench.now;
        self.avoided.retain(|_, until| now < *until);
        let hung = fleet.stops[self.stops..].iter().filter(|it| !fleet.step_of(&it.0).long_running);
        self.avoided.extend(hung.map(|it| (it.1, now + AVOID_MS)));
        self.stops = fleet.stops.len();
    }
}

/// The stops of one task for one wave.
#[derive(Default)]
struct Stops {
    count: u32,
    /// Whether other hosts held all that the wave stops, at each of these stops and the starts between them.
    is_held: bool,
}

/// How often waves stop each long-running task, by the orders.
#[derive(Default)]
pub struct StopWatch {
    /// How many stops and maintenances were counted.
    counted: (usize, usize),
    /// Stops on hosts that are not maintained yet.
    open: Vec<(TaskId, usize, bool)>,
    stops: BTreeMap<(u64, TaskId), Stops>,
    /// Whether the hosts of each pool that are not due hold all that runs on others, before the last round.
    held: BTreeMap<Name, bool>,
    /// The numbers of starts of tasks.
    runs: BTreeMap<TaskId, u32>,
}

impl StopWatch {
    /// Checks the orders of a round.
    pub fn check(&mut self, fleet: &PoolFleet) -> Result<(), String> {
        let held = std::mem::replace(&mut self.held, fleet.held_beside_due());
        let is_held = |it: &TaskId| {
            let pool = &fleet.specs[&it.job].route.pool;
            held.get(pool).copied().unwrap_or(false)
        };
        for (key, stops) in &mut self.stops {
            let is_started = fleet.runs.get(&key.1) != self.runs.get(&key.1);
            stops.is_held &= !is_started || is_held(&key.1);
        }
        self.runs.clone_from(&fleet.runs);
        let stops = fleet.stops[self.counted.0..].iter();
        for (task, host) in stops.filter(|it| fleet.step_of(&it.0).long_running) {
            self.open.push((task.clone(), *host, is_held(task)));
        }
        let maintained = &fleet.maintained[self.counted.1..];
        self.counted = (fleet.stops.len(), fleet.maintained.len());
        for (wave, host) in maintained {
            for (task, _, is_held) in self.open.extract_if(.., |it| it.1 == *host) {
                let new = Stops { count: 0, is_held: true };
                let stops = self.stops.entry((*wave, task.clone())).or_insert(new);
                stops.count += 1;
                stops.is_held &= is_held;
                let most = MAX_STOPS[usize::from(!stops.is_held)];
                if stops.count > most {
                    let count = stops.count;
                    return Err(format!("{count} stops of {task:?} for wave {wave}, {most}"));
                }
            }
        }
        Ok(())
    }
}

impl PoolFleet {
    /// Returns how long a long-running task may be without a run beside a host that has room for it: the host is emptied and
    /// maintained first.
    fn away_bound_ms(&self) -> Millisecond {
        let short = self.specs.values().flat_map(|it| &it.steps).filter(|it| !it.long_running);
        let longest = short.map(|it| it.estimate_ms).max().unwrap_or(0);
        WAIT_MS + PLANS_MS + longest.max(STOP_MS) + MAINTENANCE_MS + FIRST_REPORT_MS + START_MS
    }

    /// Returns the long-running tasks without a run for which a host of their pool has room, now or after its maintenance, besides
    /// those that have waited for longer, and which the limits of their teams allow.
    fn with_place_in_pool(&self, avoided: &BTreeMap<usize, Moment>) -> Vec<TaskId> {
        let is_there = |(number, it): &(usize, &PoolHost)| {
            matches!(it.state, HostState::Up | HostState::Maintenance)
                && !avoided.contains_key(number)
        };
        let there = self.hosts.iter().enumerate().filter(is_there);
        let mut places: Vec<Place> = there.map(|it| self.place_on(it.1, is_staying)).collect();
        let mut used = self.used_of_teams();
        let mut idle: Vec<TaskId> = self.lasting().into_iter().flat_map(|it| it.idle).collect();
        idle.sort_by_key(|it| self.idle_since.get(it));
        idle.retain(|task| {
            let Some(place) = places.iter_mut().find(|it| it.has_room(task, self)) else {
                return false;
            };
            let used = used.entry(self.specs[&task.job].team.clone()).or_default();
            let size = self.step_of(task).size;
            let is_allowed = self.is_allowed(task, used.plus(size));
            if is_allowed {
                *used = used.plus(size);
                place.take(task, self);
            }
            is_allowed
        });
        idle
    }

    /// Returns what the tasks of each team use that run.
    fn used_of_teams(&self) -> BTreeMap<Name, Resources> {
        let mut used: BTreeMap<Name, Resources> = BTreeMap::new();
        for task in self.hosts.iter().flat_map(|it| it.running.keys()) {
            let of_team = used.entry(self.specs[&task.job].team.clone()).or_default();
            *of_team = of_team.plus(self.step_of(task).size);
        }
        used
    }

    fn is_allowed(&self, task: &TaskId, used: Resources) -> bool {
        let team = &self.specs[&task.job].team;
        let limit = self.config.teams.get(team).map(|it| it.limit).unwrap_or_default();
        let within = |limit: u32, used: u32| limit == 0 || used <= limit;
        within(limit.millicores, used.millicores) && within(limit.memory_mib, used.memory_mib)
    }

    /// Returns for each pool whether its hosts that are not due have room for all long-running tasks that wait or run on due ones,
    /// beside what runs on them.
    fn held_beside_due(&self) -> BTreeMap<Name, bool> {
        let pools = self.config.pools.keys().cloned();
        pools.map(|it| (it.clone(), self.is_held_beside_due(&it))).collect()
    }

    fn is_held_beside_due(&self, pool: &Name) -> bool {
        let is_due = |it: usize| self.hosts[it].pool == **pool && self.has_to_be_maintained(it);
        let due: Vec<usize> = (0..self.hosts.len()).filter(|it| is_due(*it)).collect();
        let others = (0..self.hosts.len()).filter(|it| {
            let host = &self.hosts[*it];
            host.has_worker() && host.pool == **pool && !due.contains(it)
        });
        let mut places: Vec<Place> =
            others.map(|it| self.place_on(&self.hosts[it], |_, _| true)).collect();
        let on_due = due.iter().flat_map(|it| self.hosts[*it].running.keys());
        let mut tasks: Vec<TaskId> = on_due.cloned().collect();
        let lasting = self.lasting();
        let own = lasting.iter().filter(|it| it.spec.route.pool == *pool);
        tasks.extend(own.flat_map(|it| it.idle.clone()));
        tasks.retain(|it| self.step_of(it).long_running);
        tasks.sort_by_key(|it| std::cmp::Reverse(self.step_of(it).room().millicores));
        tasks.iter().all(|task| {
            let place = places.iter_mut().find(|it| it.has_room(task, self));
            place.is_some_and(|it| {
                it.take(task, self);
                true
            })
        })
    }

    /// Returns what the runs leave of a host that stay there.
    fn place_on(&self, host: &PoolHost, stays: fn(&Step, &Run) -> bool) -> Place {
        let staying = host.running.iter().filter(|it| stays(self.step_of(it.0), it.1));
        let tasks: Vec<TaskId> = staying.map(|it| it.0.clone()).collect();
        let free = tasks.iter().fold(host.capacity, |it, on| it.minus(self.step_of(on).room()));
        Place { pool: host.pool.clone(), free, tasks }
    }
}

/// Returns whether a run goes on: it is long-running or hangs.
fn is_staying(step: &Step, run: &Run) -> bool {
    step.long_running || run.1.is_none()
}

/// What is left of a host.
struct Place {
    pool: String,
    free: Resources,
    tasks: Vec<TaskId>,
}

impl Place {
    fn has_room(&self, task: &TaskId, fleet: &PoolFleet) -> bool {
        let step = fleet.step_of(task);
        let is_sibling = |it: &&TaskId| it.job == task.job && it.step == task.step;
        let siblings = self.tasks.iter().filter(is_sibling).count();
        *fleet.specs[&task.job].route.pool == *self.pool
            && self.free.times(step.room()) > 0
            && step.per_worker.is_none_or(|most| siblings < most as usize)
    }

    fn take(&mut self, task: &TaskId, fleet: &PoolFleet) {
        self.free = self.free.minus(fleet.step_of(task).room());
        self.tasks.push(task.clone());
    }
}
