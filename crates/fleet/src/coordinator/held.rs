//! Room that is held for tasks that run all the time and have waited for it.
//!
//! Such a task is placed before others, but a worker on which short tasks follow one another never has room for a larger one,
//! and a worker that is drained takes no tasks at all. Therefore some workers take no other new tasks until the waiting ones
//! are placed: those that will have room first, and drained ones only if no others will do.

use fuchsiamill_model::{
    FastMap, FastSet, Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, StepKey, TaskState, Worker,
    pool_view::{PoolView, RoomWait, Views},
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
    /// The tasks of each step that it has or holds room for.
    siblings: FastMap<StepKey, u64>,
}

impl Candidate<'_> {
    /// Takes room for at most so many tasks of a step; returns for how many.
    fn hold(&mut self, wait: &RoomWait, most: u64) -> u64 {
        let has_label = |it: &Name| self.worker.is_some_and(|worker| worker.has_label(it));
        if !wait.label.as_ref().is_none_or(has_label) {
            return 0;
        }
        let siblings = self.siblings.get(&wait.step).copied().unwrap_or(0);
        let places = self.room.times(wait.size).min(wait.per_worker.saturating_sub(siblings));
        let tasks = places.min(most);
        if tasks > 0 {
            self.siblings.insert(wait.step.clone(), siblings + tasks);
            (0..tasks).for_each(|_| self.room = self.room.minus(wait.size));
        }
        tasks
    }
}

impl Coordinator {
    /// Selects the workers that hold room for the waiting tasks, as far as hosts on their way have none for them.
    pub(super) fn hold_room(&mut self, views: &Views, moves: &[Move], now: Moment) {
        let mut held: FastMap<Name, u32> = FastMap::default();
        let mut recalled: FastSet<Name> = FastSet::default();
        for (pool, view) in views.iter().filter(|it| !it.1.waits.is_empty()) {
            let moved = moves.iter().filter(|it| it.1 == *pool).count() as u64;
            let mut candidates = self.hold_candidates(pool, view, view.coming + moved, now);
            for wait in &view.waits {
                let mut left = wait.tasks;
                let refused = self.advice.get(&wait.step).map(|it| &it.refused);
                for it in &mut candidates {
                    let id = it.worker.map(|it| &it.seen.id);
                    if id.is_some_and(|id| refused.is_some_and(|it| it.contains(id))) {
                        continue;
                    }
                    let tasks = it.hold(wait, left);
                    left -= tasks;
                    if let Some(id) = id.filter(|_| tasks > 0) {
                        held.entry(id.clone()).or_insert(wait.priority);
                        let is_drained = it.worker.is_some_and(|it| it.reserved);
                        recalled.extend(it.host.filter(|_| is_drained).cloned());
                    }
                }
            }
        }
        for (id, worker) in &mut self.workers {
            let held_for = held.remove(id);
            self.needs_placing |= worker.held_for.is_some() && held_for.is_none();
            worker.held_for = held_for;
        }
        self.recall_hosts(recalled);
    }

    /// Returns the hosts on their way to a pool, then its workers on which waiting tasks may be placed, the first to have room
    /// first.
    fn hold_candidates(
        &self,
        pool: &Name,
        view: &PoolView,
        coming: u64,
        now: Moment,
    ) -> Vec<Candidate<'_>> {
        let listed =
            self.hosts.iter().filter_map(|(name, it)| Some((it.seen.worker.as_ref()?, name)));
        let host_of: FastMap<&Name, &Name> = listed.collect();
        let steps: FastSet<&StepKey> = view.waits.iter().map(|it| &it.step).collect();
        let may_hold = |worker: &&Worker| {
            let host = host_of.get(&worker.seen.id).and_then(|it| self.hosts.get(*it));
            let is_drained = host.is_some_and(|it| it.duty.is_none());
            worker.seen.pool == *pool && worker.is_sound(now) && (!worker.reserved || is_drained)
        };
        let mut workers: Vec<&Worker> = self.workers.values().filter(may_hold).collect();
        workers.sort_by_cached_key(|it| {
            let is_new = it.held_for.is_none();
            (it.reserved, is_new, self.ending_ms(it, now), it.seen.id.clone())
        });
        let candidate = |worker: &Worker| {
            let mut siblings: FastMap<StepKey, u64> = FastMap::default();
            for step in worker.live.keys().map(StepKey::from).filter(|it| steps.contains(it)) {
                *siblings.entry(step).or_insert(0) += 1;
            }
            let ends = |it: &TaskId| self.ends_in(it, now).is_some();
            let host = host_of.get(&worker.seen.id).copied();
            (host, worker.room_after(ends), siblings)
        };
        let mut candidates: Vec<Candidate> = (0..coming)
            .map(|_| Candidate {
                worker: None,
                host: None,
                room: view.host,
                siblings: FastMap::default(),
            })
            .collect();
        for worker in workers {
            let (host, room, siblings) = candidate(worker);
            candidates.push(Candidate { worker: Some(worker), host, room, siblings });
        }
        candidates
    }

    /// Returns how long a live task is expected to run on; `None` if it runs until its job is cancelled or is long overdue.
    fn ends_in(&self, id: &TaskId, now: Moment) -> Option<Millisecond> {
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
