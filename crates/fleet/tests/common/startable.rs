//! Which waiting steps could start now, as the true state of the fleet shows it: see `any_place`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    JobSpec, Name, Step, TaskId, WorkerInfo,
    coordinator::{Job, StepKey},
};
use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};

use super::{
    places::{Advice, Places, Starts, VALID_MS},
    pool_turns::PoolTurns,
};

/// Length of a round without faults.
pub const ROUND_MS: Millisecond = 100;

/// Tasks are placed again after this time although nothing has changed, and all is answered within two rounds.
const BOUND_MS: Millisecond = 500 + 2 * ROUND_MS;

/// A question whose answer was lost is repeated after this time.
const LOST_ANSWER_MS: Millisecond = 3_000;

/// The most workers in one question.
const ASKED_AT_ONCE: usize = 30;

/// The longest time for which a worker is avoided.
const AVOID_MS: Millisecond = 8_000;

/// The most rounds of one quiet part.
const MAX_ROUNDS: usize = 3_000;

/// So many rounds of a quiet part are played with fewer starts than `MORE_STARTS`; then the window has grown, as a large
/// fleet would not be filled.
const FEW_STARTS_ROUNDS: usize = 120;

const MORE_STARTS: usize = 5;

/// Steps that could start, with the number of their waiting tasks, and since when.
type Startable = FastMap<(StepKey, u32), Moment>;

/// Runs with the room that each takes.
type Runs = BTreeMap<TaskId, Resources>;

/// A worker that takes tasks, with what runs on it or may do so.
struct Taker<'a> {
    number: usize,
    pool: &'a Name,
    labels: &'a [Name],
    free: Resources,
    runs: Runs,
}

impl Taker<'_> {
    /// Returns how many more tasks of a step it can take.
    fn places(&self, key: &StepKey, step: &Step) -> u64 {
        if step.label.as_ref().is_some_and(|it| !self.labels.contains(it)) {
            return 0;
        }
        let is_sibling = |it: &&TaskId| StepKey::from(*it) == *key;
        let most = step.per_worker.map_or(u64::MAX, |most| {
            u64::from(most).saturating_sub(self.runs.keys().filter(is_sibling).count() as u64)
        });
        self.free.times(step.room()).min(most)
    }
}

impl Places {
    /// Lets rounds without faults pass until nothing waits that could start, and at least for `least_ms`. Returns what
    /// waited too long.
    pub fn rest(&mut self, least_ms: Millisecond) -> Result<(), String> {
        (self.starts, self.advice) = (Starts::Begin, Advice::Answers(VALID_MS));
        let begin = self.now;
        let mut turns = PoolTurns::default();
        let mut since = Startable::default();
        for round in 0..MAX_ROUNDS {
            if round >= FEW_STARTS_ROUNDS {
                self.most = self.most.max(MORE_STARTS);
            }
            let started = self.round();
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
            if started >= self.most {
                since.clear();
            }
            let found = self.startable();
            turns.check(self, &found)?;
            since = found
                .into_iter()
                .map(|it| (it.clone(), *since.get(&it).unwrap_or(&self.now)))
                .collect();
            let waited = |(key, at): (&(StepKey, u32), &Moment)| {
                (self.now.since(*at) > self.bound_ms(&key.0)).then(|| key.clone())
            };
            if let Some((key, tasks)) = since.iter().find_map(waited) {
                let step = &self.specs[&key.job].steps[key.step as usize];
                let bound = self.bound_ms(&key);
                return Err(format!(
                    "{tasks} tasks of {key:?} could start for {bound} ms: {step:?}"
                ));
            }
            if since.is_empty() && self.now.since(begin) >= least_ms {
                return self.check_avoided();
            }
            self.pass(ROUND_MS);
        }
        Err(format!("no rest after {MAX_ROUNDS} rounds: {since:?}"))
    }

    /// Returns how long a step may wait although it could start.
    pub(super) fn bound_ms(&self, key: &StepKey) -> Millisecond {
        let questions = self.workers.len().div_ceil(ASKED_AT_ONCE) as u64;
        match self.specs[&key.job].route.advised {
            true => BOUND_MS + LOST_ANSWER_MS + 2 * questions * ROUND_MS,
            false => BOUND_MS,
        }
    }

    fn check_avoided(&self) -> Result<(), String> {
        let latest = self.now + AVOID_MS;
        let avoided = self.coordinator.workers().values().find(|it| it.avoid_until > latest);
        avoided.map_or(Ok(()), |it| Err(format!("{} is avoided too long", it.seen.id)))
    }

    /// Returns the steps whose tasks come before all others of their priority, and still wait within the limit of their
    /// team.
    pub(super) fn standing_left(&self) -> Vec<StepKey> {
        let mut left = Vec::new();
        let standing = self.specs.iter().filter(|it| is_standing(it.1) && !it.1.route.advised);
        for (id, spec) in standing {
            let Some(job) = self.coordinator.job(id).filter(|it| !it.stage.is_over()) else {
                continue;
            };
            for (occurrence, step) in job.open_steps() {
                if !spec.steps[step].gang {
                    let (occurrence, step) = (occurrence as u32, step as u16);
                    left.push(StepKey { job: id.clone(), occurrence, step });
                }
            }
        }
        let used = if left.is_empty() { BTreeMap::new() } else { self.live_runs().0 };
        left.retain(|it| {
            let spec = &self.specs[&it.job];
            let used = used.get(&spec.team).copied().unwrap_or_default();
            self.is_within_limit(&spec.team, used, &spec.steps[it.step as usize], 1)
        });
        left
    }

    /// Checks that no other task was started where one of the steps in `left` has room instead.
    pub(super) fn check_first(&mut self, left: &[StepKey], started: &[(TaskId, u32, Name)]) {
        let others = || started.iter().filter(|it| !is_standing(&self.specs[&it.0.job]));
        let came_first = |first: &StepKey, task: &TaskId, on: &Name| {
            let (spec, other) = (&self.specs[&first.job], &self.specs[&task.job]);
            let step = &spec.steps[first.step as usize];
            let WorkerInfo { pool, labels, .. } = &self.workers[self.number(on)].info;
            let live = self.coordinator.job(&first.job).map_or(Vec::new(), |it| it.live_tasks());
            let siblings =
                live.iter().filter(|it| it.1.worker == *on && StepKey::from(&it.0) == *first);
            spec.route.pool == *pool
                && spec.route.priority <= other.route.priority
                && other.steps[task.step as usize].room().fits(step.room())
                && step.label.as_ref().is_none_or(|it| labels.contains(it))
                && step.per_worker.is_none_or(|it| siblings.count() < it as usize)
        };
        let found = left.iter().find_map(|first| {
            let other = others().find(|it| came_first(first, &it.0, &it.2))?;
            Some(format!("{:?} is started on {} before {first:?}", other.0, other.2))
        });
        if let Some(found) = found {
            self.violation.get_or_insert(found);
        }
    }

    /// Returns what the runs that the coordinator knows take of the limits of their teams, and of their workers.
    fn live_runs(&self) -> (BTreeMap<Name, Resources>, BTreeMap<Name, Runs>) {
        let mut used: BTreeMap<Name, Resources> = BTreeMap::new();
        let mut runs: BTreeMap<Name, Runs> = BTreeMap::new();
        for (id, spec) in &self.specs {
            let live = self.coordinator.job(id).map_or(Vec::new(), |it| it.live_tasks());
            for (task, live) in live {
                let step = &spec.steps[task.step as usize];
                let team = used.entry(spec.team.clone()).or_default();
                *team = team.plus(step.size);
                runs.entry(live.worker).or_default().insert(task, step.room());
            }
        }
        (used, runs)
    }

    fn startable(&self) -> Vec<(StepKey, u32)> {
        let (used, mut runs) = self.live_runs();
        let takers: Vec<Taker> =
            (0..self.workers.len()).filter_map(|it| self.taker(it, &mut runs)).collect();
        let jobs =
            self.specs.iter().filter_map(|(id, spec)| Some((spec, self.coordinator.job(id)?)));
        let open = jobs.filter(|it| !it.1.stage.is_over());
        open.flat_map(|(spec, job)| {
            let used = used.get(&spec.team).copied().unwrap_or_default();
            self.startable_of(job, spec, used, &takers)
        })
        .collect()
    }

    fn taker(&self, number: usize, live: &mut BTreeMap<Name, Runs>) -> Option<Taker<'_>> {
        let worker = &self.workers[number];
        let known = self.coordinator.workers().get(&worker.info.id);
        let is_avoided = known.is_some_and(|it| self.now < it.avoid_until);
        if worker.down_since.is_some() || is_avoided {
            return None;
        }
        let mut runs = live.remove(&worker.info.id).unwrap_or_default();
        runs.extend(worker.running.iter().map(|(task, it)| (task.clone(), it.1)));
        let free = runs.values().fold(worker.info.capacity, |free, it| free.minus(*it));
        let info = &worker.info;
        Some(Taker { number, pool: &info.pool, labels: &info.labels, free, runs })
    }

    fn startable_of(
        &self,
        job: &Job,
        spec: &JobSpec,
        used: Resources,
        takers: &[Taker],
    ) -> Vec<(StepKey, u32)> {
        let policy = self.policies[&job.id];
        let mut found = Vec::new();
        for (occurrence, number) in job.open_steps() {
            let step = &spec.steps[number];
            let waiting = job.occurrences[occurrence].steps[number].waiting;
            if step.gang && waiting != step.count {
                continue;
            }
            let at_once = if step.gang { step.count } else { 1 };
            let key =
                StepKey { job: job.id.clone(), occurrence: occurrence as u32, step: number as u16 };
            let permitted = |it: &&Taker| {
                *it.pool == spec.route.pool && (!spec.route.advised || policy.permits(it.number))
            };
            let room = || {
                let places = takers.iter().filter(permitted).map(|it| it.places(&key, step));
                places.fold(0, u64::saturating_add)
            };
            if self.is_within_limit(&spec.team, used, step, at_once) && room() >= u64::from(at_once)
            {
                found.push((key, waiting));
            }
        }
        found
    }

    fn is_within_limit(&self, team: &Name, used: Resources, step: &Step, tasks: u32) -> bool {
        let limit = self.config.teams.get(team).map(|it| it.limit).unwrap_or_default();
        let within = |limit: u32, used: u32, size: u32| limit == 0 || used + size * tasks <= limit;
        within(limit.millicores, used.millicores, step.size.millicores)
            && within(limit.memory_mib, used.memory_mib, step.size.memory_mib)
            && within(limit.accelerators, used.accelerators, step.size.accelerators)
    }
}

/// Returns whether a job has tasks that are to run all the time or at a time of day.
fn is_standing(spec: &JobSpec) -> bool {
    spec.long_running() || spec.schedule.is_some()
}
