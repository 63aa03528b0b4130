//! Room that is held for tasks that run all the time and have waited for it, or have to leave their host.
//!
//! Such a task is placed before others, but a worker on which short tasks follow one another never has room for a larger one,
//! and a worker that is drained takes no tasks at all. Therefore some workers take no other new tasks until the waiting ones
//! are placed: those that will have room first, and drained ones only if no others will do. Where a task that has a place there
//! waits for the upper limit of its team, what it takes of that is kept from the team's short tasks; see [`super::limits`].

use fuchsiamill_model::{
    FastMap, FastSet, Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, StepKey, TaskState, Worker,
    limits::{LimitWait, LimitsLeft},
    pool_view::{PoolView, RoomWait, Views, WaitUrgency},
    pools::Move,
};
use crate::{Name, TaskId};

/// A task that has run for longer than expected by this, and for more than three times as long, is not known to end.
const OVERDUE_MS: Millisecond = 2_000;

/// A worker that may hold room, or a host on its way.
struct Candidate<'a> {
    worker: Option<&'a Worker>,
    host: Option<&'a Name>,
    /// The room that it has without tasks that end by themselves, and that is not held yet.
    room: Resources,
    /// The tasks of each waiting step that it has or holds room for.
    siblings: FastMap<StepKey, u64>,
}

impl Candidate<'_> {
    /// Returns how many tasks of a step it has room for.
    fn places(&self, wait: &RoomWait) -> u64 {
        if !self.room.fits(wait.size) {
            return 0;
        }
        let has_label = |it: &Name| self.worker.is_some_and(|worker| worker.has_label(it));
        if !wait.label.as_ref().is_none_or(has_label) {
            return 0;
        }
        let siblings = self.siblings.get(&wait.step).copied().unwrap_or(0);
        self.room.times(wait.size).min(wait.per_worker.saturating_sub(siblings))
    }

    fn hold(&mut self, wait: &RoomWait, tasks: u64) {
        *self.siblings.entry(wait.step.clone()).or_insert(0) += tasks;
        (0..tasks).for_each(|_| self.room = self.room.minus(wait.size));
    }

    fn is_drained(&self) -> bool {
        self.worker.is_some_and(|it| it.reserved)
    }
}

/// The workers of all pools, with their hosts.
type WorkersByPool<'a> = FastMap<&'a Name, Vec<(&'a Worker, Option<&'a Name>)>>;

/// What is held in one plan.
#[derive(Default)]
struct Held {
    /// Workers, with the priority of the tasks that room is held for.
    workers: FastMap<Name, u32>,
    /// Drained hosts that hold room.
    recalled: FastSet<Name>,
    /// How many tasks of each step room is held for.
    tasks: FastMap<StepKey, u64>,
    /// Waits for the limits of teams, with the number of tasks that there is a place for.
    limits: Vec<(LimitWait, u64)>,
}

impl Coordinator {
    /// Selects the workers that hold room for the waiting tasks, as far as hosts on their way have none for them.
    pub(super) fn hold_room(&mut self, views: &Views, moves: &[Move], now: Moment) {
        let mut held = Held::default();
        let mut leaving = self.leaving_tasks(now);
        let limits = self.limits_left(views.values().flat_map(|it| &it.limit_waits), now);
        let may_fit = |it: &&LimitWait| limits.places(it, it.room.tasks) > 0;
        let has_waits = |it: &PoolView| {
            !it.waits.is_empty() || it.limit_waits.iter().any(|wait| may_fit(&wait))
        };
        if !leaving.is_empty() || views.values().any(has_waits) {
            let by_pool = self.workers_by_pool(now);
            for (pool, view) in views {
                let leaving = leaving.remove(pool).unwrap_or_default();
                if leaving.is_empty() && !has_waits(view) {
                    continue;
                }
                let moved = moves.iter().filter(|it| it.1 == *pool).count() as u64;
                let coming = view.coming + moved;
                let workers = by_pool.get(pool).map_or(&[][..], |it| it);
                let limits = limits.clone();
                self.hold_in_pool(view, &leaving, limits, (workers, coming), &mut held, now);
            }
        }
        for (id, worker) in &mut self.workers {
            let held_for = held.workers.remove(id);
            self.needs_placing |= worker.held_for.is_some() && held_for.is_none();
            worker.held_for = held_for;
        }
        self.recall_hosts(held.recalled);
        self.keep_limits(held.limits, limits);
    }

    /// Holds room for the tasks of a pool that wait, then for those that leave their hosts. These have a host as long as
    /// there is no other, so that no drained one is recalled for them.
    fn hold_in_pool(
        &self,
        view: &PoolView,
        leaving: &[RoomWait],
        mut limits: LimitsLeft,
        (workers, coming): (&[(&Worker, Option<&Name>)], u64),
        held: &mut Held,
        now: Moment,
    ) {
        let limited = view.limit_waits.iter().map(|it| &it.room);
        let steps: FastSet<&StepKey> =
            view.waits.iter().chain(leaving).chain(limited).map(|it| &it.step).collect();
        let mut candidates = self.hold_candidates(view, workers, &steps, coming, now);
        // Room only shrinks, so that what found none is not searched for again, and neither is anything larger.
        let mut unmet: Vec<Resources> = Vec::new();
        let waits = view.waits.iter().map(|it| (it, true));
        for (wait, may_recall) in waits.chain(leaving.iter().map(|it| (it, false))) {
            if unmet.iter().any(|it| wait.size.fits(*it)) {
                continue;
            }
            let taken = self.take_places(&mut candidates, wait, wait.tasks, may_recall, |it| {
                if let Some(worker) = it.worker {
                    held.workers.entry(worker.seen.id.clone()).or_insert(wait.urgency.priority);
                    held.recalled.extend(it.host.filter(|_| it.is_drained()).cloned());
                }
            });
            if may_recall {
                held.tasks.insert(wait.step.clone(), taken);
            }
            if taken < wait.tasks && !candidates.iter().any(|it| it.room.fits(wait.size)) {
                unmet.push(wait.size);
            }
        }
        // No worker holds room for tasks that the limit of their team keeps from starting: others may use it until then.
        for wait in &view.limit_waits {
            let tasks = limits.places(wait, wait.room.tasks);
            let taken = held.tasks.get(&wait.room.step).map_or(0, |it| tasks.min(*it));
            let is_unmet = unmet.iter().any(|it| wait.room.size.fits(*it));
            let more = if is_unmet { 0 } else { tasks - taken };
            let found = self.take_places(&mut candidates, &wait.room, more, true, |_| {});
            if found < more && !candidates.iter().any(|it| it.room.fits(wait.room.size)) {
                unmet.push(wait.room.size);
            }
            let places = limits.take(wait, taken + found);
            if places > 0 {
                held.limits.push((wait.clone(), places));
            }
        }
    }

    /// Takes places for so many tasks of a wait, for a gang all or none, and returns for how many there are.
    fn take_places(
        &self,
        candidates: &mut [Candidate],
        wait: &RoomWait,
        tasks: u64,
        may_recall: bool,
        mut on_taken: impl FnMut(&Candidate),
    ) -> u64 {
        let refused = self.advice.get(&wait.step).map(|it| &it.refused);
        let suits = |it: &Candidate| {
            let is_refused =
                |worker: &Worker| refused.is_some_and(|refused| refused.contains(&worker.seen.id));
            (may_recall || !it.is_drained()) && !it.worker.is_some_and(is_refused)
        };
        if wait.is_gang {
            let places = candidates.iter().filter(|it| suits(it)).map(|it| it.places(wait));
            if places.fold(0, u64::saturating_add) < tasks {
                return 0;
            }
        }
        let mut left = tasks;
        for it in candidates.iter_mut().filter(|it| suits(it)) {
            if left == 0 {
                break;
            }
            let tasks = it.places(wait).min(left);
            if tasks > 0 {
                it.hold(wait, tasks);
                left -= tasks;
                on_taken(it);
            }
        }
        tasks - left
    }

    /// Returns the workers that would take tasks if they were not drained, by pool.
    fn workers_by_pool(&self, now: Moment) -> WorkersByPool<'_> {
        let listed =
            self.hosts.iter().filter_map(|(name, it)| Some((it.seen.worker.as_ref()?, name)));
        let host_of: FastMap<&Name, &Name> = listed.collect();
        let mut by_pool = WorkersByPool::default();
        for worker in self.workers.values().filter(|it| it.is_sound(now)) {
            let host = host_of.get(&worker.seen.id).copied();
            let is_drained =
                host.is_some_and(|it| self.hosts.get(it).is_some_and(|it| it.duty.is_none()));
            if !worker.reserved || is_drained {
                by_pool.entry(&worker.seen.pool).or_default().push((worker, host));
            }
        }
        by_pool
    }

    /// Returns the hosts on their way to a pool, then its workers on which tasks may be placed, the first to have room first.
    fn hold_candidates<'a>(
        &self,
        view: &PoolView,
        workers: &[(&'a Worker, Option<&'a Name>)],
        steps: &FastSet<&StepKey>,
        coming: u64,
        now: Moment,
    ) -> Vec<Candidate<'a>> {
        let mut workers = workers.to_vec();
        workers.sort_by_cached_key(|(it, _)| {
            let is_new = it.held_for.is_none();
            let is_due = self.due.has_worker(&it.seen.id);
            (it.reserved, is_due, is_new, self.ending_ms(it, now), it.seen.id.clone())
        });
        let on_its_way = |_| Candidate {
            worker: None,
            host: None,
            room: view.host,
            siblings: FastMap::default(),
        };
        let candidate = |(worker, host): (&'a Worker, Option<&'a Name>)| {
            let mut siblings: FastMap<StepKey, u64> = FastMap::default();
            for step in worker.live.keys().map(StepKey::from).filter(|it| steps.contains(it)) {
                *siblings.entry(step).or_insert(0) += 1;
            }
            let room = worker.room_after(|it| self.ends_in(it, now).is_some());
            Candidate { worker: Some(worker), host, room, siblings }
        };
        (0..coming).map(on_its_way).chain(workers.into_iter().map(candidate)).collect()
    }

    /// Returns the long-running tasks that are to leave their workers and may be stopped, by pool.
    fn leaving_tasks(&self, now: Moment) -> FastMap<Name, Vec<RoomWait>> {
        let mut by_step: FastMap<StepKey, u64> = FastMap::default();
        let leaving = self.workers.values().filter(|it| it.has_long_running() && it.is_leaving());
        for task in leaving.flat_map(|it| self.stoppable_on(&it.seen.id, now)) {
            if self.jobs.get(&task.job).is_some_and(|it| it.may_stop(&task, now)) {
                *by_step.entry(StepKey::from(&task)).or_insert(0) += 1;
            }
        }
        let mut by_pool: FastMap<Name, Vec<RoomWait>> = FastMap::default();
        for (key, tasks) in by_step {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let step = &job.spec.steps[key.step as usize];
            let urgency = WaitUrgency { priority: job.spec.route.priority, since: now };
            let most = step.max_unavailable.unwrap_or(1).into();
            let wait = RoomWait::new(key, urgency, tasks.min(most), step);
            by_pool.entry(job.spec.route.pool.clone()).or_default().push(wait);
        }
        by_pool.values_mut().for_each(|it| it.sort_by(|a, b| a.step.cmp(&b.step)));
        by_pool
    }

    /// Returns how long a live task is expected to run on; `None` if it runs until its job is cancelled or is long overdue.
    pub(super) fn ends_in(&self, id: &TaskId, now: Moment) -> Option<Millisecond> {
        let job = self.jobs.get(&id.job)?;
        let TaskState::Live(live) = &job.task(id)?.state else { return None };
        let expected = self.expected_ms(&job.spec, id.step as usize);
        let ran = now.since(live.since);
        let is_endless = job.spec.steps[id.step as usize].long_running;
        let is_overdue = ran > expected.saturating_mul(3) && ran > expected + OVERDUE_MS;
        (!is_endless && !is_overdue).then(|| expected.saturating_sub(ran))
    }

    /// Returns when the last of a worker's tasks of which an end is in sight has ended, in milliseconds from now.
    fn ending_ms(&self, worker: &Worker, now: Moment) -> Millisecond {
        worker.live.keys().filter_map(|it| self.ends_in(it, now)).max().unwrap_or(0)
    }

    /// Returns how long a worker's tasks are expected to run on; `None` if that is not known of all.
    pub(super) fn busy_ms(&self, worker: &Worker, now: Moment) -> Option<Millisecond> {
        worker.live.keys().try_fold(0, |longest, it| Some(longest.max(self.ends_in(it, now)?)))
    }

    /// Returns how long the tasks of a worker are expected to run on that do not run until their job is cancelled; `None` if
    /// that is not known of all.
    pub(super) fn short_busy_ms(&self, worker: &Worker, now: Moment) -> Option<Millisecond> {
        let is_short = |it: &&TaskId| self.step_of(it).is_some_and(|step| !step.long_running);
        let mut short = worker.live.keys().filter(is_short);
        short.try_fold(0, |longest, it| Some(longest.max(self.ends_in(it, now)?)))
    }

    /// Lets drained hosts take tasks again. They are not drained while they are among these.
    fn recall_hosts(&mut self, hosts: FastSet<Name>) {
        let before = std::mem::replace(&mut self.recalled, hosts.clone());
        for host in &hosts {
            self.draining_to.remove(host);
            for wave in &mut self.waves {
                wave.draining.remove(host);
            }
        }
        hosts.union(&before).for_each(|it| self.update_reserved(it));
    }
}
