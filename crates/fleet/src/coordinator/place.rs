//! Placement of tasks on workers.

use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, LiveRun, Order, Phase, StepKey, TaskState, WaitReason, Worker,
    live::Speed,
    near::Near,
    room::{Found, FreeWorker, RoomSearch},
    turns::PlaceLimit,
};
use crate::{JobSpec, Name, Stage, Step, TaskId};

/// A worker that was idle for this long is polled before a start is sent to it.
const LONG_IDLE_MS: Millisecond = 5_000;

/// What a worker would look like with one more task; the smallest value wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Fit {
    due: bool,
    far: bool,
    cold: bool,
    disturbs: bool,
    empty: bool,
    free_millicores: u32,
}

/// Where a task is placed.
enum Spot {
    /// On this worker.
    On(Found),
    /// Nowhere yet: the task waits for room near its data, until this moment at most.
    WaitForNear(Moment),
    /// Nowhere, for this reason.
    Nowhere(WaitReason),
}

/// What became of a step in one placement.
pub(super) struct StepOutcome {
    /// How many of its tasks were placed.
    pub(super) placed: usize,
    /// Why the others wait.
    pub(super) reason: Option<WaitReason>,
}

impl StepOutcome {
    fn waits(reason: WaitReason) -> Self {
        Self { placed: 0, reason: Some(reason) }
    }
}

impl Coordinator {
    /// Places the waiting tasks that fit, the most urgent jobs first.
    pub fn place(&mut self, now: Moment) {
        self.place_within(PlaceLimit { starts: usize::MAX, records: usize::MAX }, now);
    }

    /// Does so with at most so many tasks, but for a gang, which starts as a whole, and for as many
    /// records as may wait to be stored. What is left is placed next time.
    pub fn place_at_most(&mut self, most: usize, now: Moment) {
        self.place_within(PlaceLimit { starts: most, records: self.record_room() }, now);
    }

    fn place_within(&mut self, limit: PlaceLimit, now: Moment) {
        let is_none = limit.starts == 0 || limit.records == 0;
        self.lacks_starts = is_none && self.needs_placing;
        if is_none || !std::mem::take(&mut self.needs_placing) {
            return;
        }
        self.last_placed = now;
        self.near_wait_ends = None;
        let mut search = RoomSearch::new(&self.workers, &self.due, now);
        let ranked = self.rank_jobs(now);
        let is_used_up = self.place_jobs(ranked, limit, &mut search, now);
        // Gangs that found no room have released what they took, which set the flag although nothing has changed.
        self.needs_placing = is_used_up;
        self.lacks_starts = is_used_up;
        self.full_pools = search.full_pools();
    }

    /// Returns whether the last placement may have left tasks only because no more could be started at once.
    pub fn lacks_starts(&self) -> bool {
        self.lacks_starts
    }

    /// Places at most so many of the waiting tasks of a step, but a gang as a whole.
    pub(super) fn place_step(
        &mut self,
        key: &StepKey,
        search: &mut RoomSearch,
        most: usize,
        now: Moment,
    ) -> StepOutcome {
        let (occurrence, step) = (key.occurrence as usize, key.step as usize);
        let Some(job) = self.jobs.get(&key.job).filter(|_| most > 0) else {
            return StepOutcome::waits(WaitReason::Turn);
        };
        let spec = job.spec.clone();
        let wanted = &spec.steps[step];
        if let Some(reason) = self.known_obstacle(&spec, wanted, search) {
            return StepOutcome::waits(reason);
        }
        let run = &job.occurrences[occurrence].steps[step];
        let mut waiting = self.startable_tasks(key, run);
        let startable = waiting.len();
        if wanted.gang {
            return match startable == run.tasks.count() as usize {
                true => self.place_gang(key, &spec, search, now),
                false => StepOutcome::waits(WaitReason::Gang),
            };
        }
        if wanted.long_running {
            waiting.sort_by_key(|it| run.tasks.get(*it).and_then(|it| it.last_run_end));
        }
        waiting.truncate(most);
        let is_last = waiting.len() == startable;
        let near = Near::of(run.waiting as usize);
        let mut placed = Vec::new();
        let mut reason = (!is_last).then_some(WaitReason::Turn);
        for index in waiting {
            let task = key.task(index);
            match self.find_spot(&task, &spec, &near, search, now) {
                Spot::On(found) => {
                    search.take(&spec.route.pool, found.position, wanted.room());
                    self.assign(&task, &found.id, None, now);
                    placed.push(task);
                }
                Spot::WaitForNear(until) => {
                    self.note_near_wait(&task, until, now);
                    reason = Some(WaitReason::NearData);
                    break;
                }
                Spot::Nowhere(why) => {
                    self.note_obstacle(key, &spec, why, search, now);
                    reason = Some(why);
                    break;
                }
            }
        }
        placed.iter().for_each(|it| self.order_start(it, now));
        StepOutcome { placed: placed.len(), reason }
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        key: &StepKey,
        spec: &JobSpec,
        search: &mut RoomSearch,
        now: Moment,
    ) -> StepOutcome {
        let (occurrence, step) = (key.occurrence as usize, key.step as usize);
        let wanted = &spec.steps[step];
        let pool = &spec.route.pool;
        let has_label = |id: &Name| match &wanted.label {
            Some(label) => self.workers[id].has_label(label),
            None => true,
        };
        if search.places(spec, wanted, has_label) < u64::from(wanted.count) {
            return StepOutcome::waits(WaitReason::Room);
        }
        self.align_gang(&key.job, occurrence, step);
        let near = Near::of(wanted.count as usize);
        let tasks = &self.jobs[&key.job].occurrences[occurrence].steps[step].tasks;
        let run = tasks.known().map(|it| it.1.run).max().unwrap_or(0) + 1;
        let mut placed: Vec<(TaskId, usize)> = Vec::new();
        let mut reason = None;
        for index in 0..wanted.count {
            let task = key.task(index);
            match self.find_spot(&task, spec, &near, search, now) {
                Spot::On(found) => {
                    search.take(pool, found.position, wanted.room());
                    self.assign(&task, &found.id, Some(run), now);
                    placed.push((task, found.position));
                    continue;
                }
                Spot::WaitForNear(until) => {
                    self.note_near_wait(&task, until, now);
                    reason = Some(WaitReason::NearData);
                }
                Spot::Nowhere(why) => reason = Some(why),
            }
            break;
        }
        let Some(reason) = reason else {
            placed.iter().for_each(|(task, _)| self.order_start(task, now));
            return StepOutcome { placed: placed.len(), reason: None };
        };
        for (task, position) in &placed {
            search.give_back(pool, *position, wanted.room());
            self.requeue(task, now);
        }
        // What the first members took may be what the others lack, so that only the first one tells of the pool.
        if placed.is_empty() || reason == WaitReason::Permit {
            self.note_obstacle(key, spec, reason, search, now);
        }
        StepOutcome::waits(reason)
    }

    /// Returns why no task of a step can be placed, as far as that is known without a search.
    pub(super) fn known_obstacle(
        &self,
        spec: &JobSpec,
        step: &Step,
        search: &RoomSearch,
    ) -> Option<WaitReason> {
        match self.fits_limit(spec, step) {
            true => search.unmet(spec, step),
            false => Some(WaitReason::TeamLimit),
        }
    }

    /// Notes what a search has shown of the pool, and asks for permits if only these are missing.
    fn note_obstacle(
        &mut self,
        key: &StepKey,
        spec: &JobSpec,
        reason: WaitReason,
        search: &mut RoomSearch,
        now: Moment,
    ) {
        let step = &spec.steps[key.step as usize];
        match reason {
            WaitReason::Label | WaitReason::Size | WaitReason::Room => {
                search.note_unmet(spec, step, reason);
            }
            WaitReason::Permit => self.ask_advice(key, spec, search, now),
            _ => {}
        }
    }

    /// Returns the best place for a task.
    fn find_spot(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        near: &Near,
        search: &RoomSearch,
        now: Moment,
    ) -> Spot {
        let step = &spec.steps[task.step as usize];
        if !self.fits_limit(spec, step) {
            return Spot::Nowhere(WaitReason::TeamLimit);
        }
        match self.best_worker(task, spec, near, search, now) {
            Err(reason) => Spot::Nowhere(reason),
            Ok((fit, found)) => match fit.far.then(|| self.near_wait(task, now)).flatten() {
                Some(until) => Spot::WaitForNear(until),
                None => Spot::On(found),
            },
        }
    }

    pub(super) fn best_worker(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        near: &Near,
        search: &RoomSearch,
        now: Moment,
    ) -> std::result::Result<(Fit, Found), WaitReason> {
        let step = &spec.steps[task.step as usize];
        let room = step.room();
        let pool = search.pool(&spec.route.pool).filter(|it| !it.workers.is_empty());
        let pool = pool.ok_or(WaitReason::Room)?;
        let mut best: Option<(Fit, &Name, usize)> = None;
        let mut reason = WaitReason::Label;
        for (position, it) in pool.workers.iter().enumerate() {
            // The workers that follow are full, which is the reason already or less of one.
            if it.free_at_first < room.millicores && reason >= WaitReason::Room {
                break;
            }
            if let Err(why) = self.suits(it, task, spec, now) {
                reason = reason.max(why);
                continue;
            }
            let near = self.near_rack(task, near);
            let due = it.is_due && step.long_running;
            let worker = &self.workers[&it.id];
            let cold = worker.is_cold(now);
            let fit = Fit { due, cold, ..fit(worker, step, near, room) };
            reason = WaitReason::Room;
            if best.as_ref().is_none_or(|(than, id, _)| (fit, &it.id) < (*than, *id)) {
                best = Some((fit, &it.id, position));
            }
        }
        let (fit, id, position) = best.ok_or(reason)?;
        Ok((fit, Found { position, id: id.clone() }))
    }

    /// Returns whether a task may be placed on a worker now, or why not.
    pub(super) fn suits(
        &self,
        on: &FreeWorker,
        task: &TaskId,
        spec: &JobSpec,
        now: Moment,
    ) -> std::result::Result<(), WaitReason> {
        let step = &spec.steps[task.step as usize];
        let room = step.room();
        let worker = || &self.workers[&on.id];
        match () {
            () if step.label.as_ref().is_some_and(|label| !worker().has_label(label)) => {
                Err(WaitReason::Label)
            }
            () if !on.capacity.fits(room) => Err(WaitReason::Size),
            () if !on.free.fits(room) || !on.takes(spec) => Err(WaitReason::Room),
            () if step.per_worker.is_some_and(|most| worker().siblings_of(task) >= most) => {
                Err(WaitReason::PerWorker)
            }
            () if spec.route.advised && self.ticket(&task.into(), &on.id, now).is_none() => {
                Err(WaitReason::Permit)
            }
            () => Ok(()),
        }
    }

    fn assign(&mut self, id: &TaskId, worker: &Name, run: Option<u32>, now: Moment) {
        let born = self.workers[worker].seen.born;
        let job = self.jobs.get_mut(&id.job).expect("the job is being placed");
        let spec = job.spec.clone();
        let live = LiveRun {
            worker: worker.clone(),
            born,
            phase: Phase::Recorded,
            since: now,
            last_seen_working: None,
            progress: None,
            speed: Speed::Full,
            stop_ordered: None,
            checkpoint: job.task(id).map(|it| it.checkpoint.clone()).unwrap_or_default(),
            is_inherited: false,
            is_listed: false,
            lost_start: None,
            began_cold: self.workers[worker].is_cold(now),
        };
        job.set_state(id, TaskState::Live(live));
        let task = job.task_mut(id).expect("the task is being placed");
        task.run = run.unwrap_or(task.run + 1);
        if job.stage == Stage::Queued {
            job.stage = Stage::Running;
            self.mark_stage_dirty(&id.job);
        }
        self.look_at_idle(worker, now);
        self.reserve_room(id, worker, &spec, now);
        self.mark_task_dirty(id);
    }

    /// Has a worker polled that was idle for a while, so that a recent reading of its clock is there once the start may be
    /// sent.
    fn look_at_idle(&mut self, id: &Name, now: Moment) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.live.is_empty() && now.since(worker.idle_since) >= LONG_IDLE_MS {
            self.ready_orders.push(Order::Look { worker: id.clone() });
        }
    }

    fn order_start(&mut self, id: &TaskId, now: Moment) {
        let order = self.start_order(id, now);
        if let Some(order) = order {
            self.give_after_records(order);
        }
    }

    /// Returns the order to start a run that was placed.
    pub(super) fn start_order(&self, id: &TaskId, now: Moment) -> Option<Order> {
        let job = self.jobs.get(&id.job)?;
        let task = job.task(id)?;
        let live = task.live()?;
        let ticket = match job.spec.route.advised {
            true => self.ticket(&StepKey::from(id), &live.worker, now).unwrap_or_default(),
            false => Name::default(),
        };
        Some(Order::Start {
            ticket,
            worker: live.worker.clone(),
            task: id.clone(),
            run: task.run,
            payload: job.spec.payload.clone(),
            checkpoint: live.checkpoint.clone(),
        })
    }
}

fn fit(worker: &Worker, step: &Step, near: Option<&Name>, room: Resources) -> Fit {
    let far = near.is_some_and(|rack| !worker.has_label(rack));
    let free_millicores = worker.free().minus(room).millicores;
    // Tasks that serve users and best-effort tasks do best on different workers.
    let disturbs = match (step.best_effort, step.tail_target_ms) {
        (true, _) => worker.serving > 0,
        (_, Some(_)) => worker.best_effort > 0,
        _ => false,
    };
    Fit { due: false, far, cold: false, disturbs, empty: worker.live.is_empty(), free_millicores }
}
