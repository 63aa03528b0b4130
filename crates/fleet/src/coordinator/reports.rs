//! What workers say, and what becomes of the runs on them.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, Live, Order, Phase, TaskState, Worker, health::FAILING_MS, told_health::ToldHealth,
};
use crate::{
    Ending, Name, RunEnd, RunInfo, Stage, TaskId, WorkerInfo, WorkerReport, timing::with_drift,
};

/// The answer to the order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The worker has it.
    Running,
    /// The worker has done nothing and gives its reason.
    Refused(Refusal),
    /// Nothing was sent.
    NotSent,
    /// No answer: it may start at any time until its lease is over.
    Unknown,
}

impl StartReply {
    /// What two orders to start the same run tell together: a refusal of the second says nothing of the first.
    pub fn after(self, before: StartReply) -> StartReply {
        match (before, self) {
            (StartReply::Unknown, StartReply::Running) => StartReply::Running,
            (StartReply::Unknown, it @ StartReply::Refused(Refusal::Old)) => it,
            (StartReply::Unknown, _) => StartReply::Unknown,
            (_, it) => it,
        }
    }
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another coordinator has given orders since.
    Fence,
    /// The run is not newer than one that ended there.
    Old,
    /// The order came after its deadline.
    Late,
    /// It has no room.
    Room,
    /// The step may not run there, or its ticket is no longer valid.
    Ticket,
    /// The worker does not understand the order.
    Malformed,
    /// The worker is unhealthy.
    Unhealthy,
}

/// How long a worker that leaves orders unanswered is left out.
const UNANSWERED_MS: Millisecond = 2_000;

/// How long a worker without room is left out: its next report corrects the picture.
const NO_ROOM_MS: Millisecond = 150;

/// The list of hosts, which tells the host of a new worker, is read again within this time.
const LISTING_MS: Millisecond = 1_000;

impl Coordinator {
    /// A worker is in the list.
    pub fn worker_listed(&mut self, seen: WorkerInfo, now: Moment) {
        let id = seen.id.clone();
        let known = self.workers.get(&id).map(|it| it.seen.born);
        match known {
            Some(born) if born != seen.born => self.begin_life(seen.clone(), now),
            Some(_) => {
                let at = self.workers.get_mut(&id).expect("the worker is known");
                at.seen = seen.clone();
                at.gone = false;
            }
            None => {
                let mut worker = Worker::new(seen.clone(), now);
                if self.may_be_ordered(&seen.pool) {
                    worker.avoid(now + LISTING_MS);
                }
                self.workers.insert(id, worker);
            }
        }
        self.released.push(Order::Watch { worker: seen });
        self.needs_placing = true;
    }

    /// A worker is no longer in the list.
    pub fn worker_unlisted(&mut self, id: &Name) {
        if let Some(at) = self.workers.get_mut(id) {
            at.gone = true;
            if at.live.is_empty() {
                self.workers.remove(id);
            }
        }
    }

    /// A worker has started anew under its id.
    fn begin_life(&mut self, seen: WorkerInfo, now: Moment) {
        let id = seen.id.clone();
        let born = seen.born;
        self.lose_lives_before(&id, born, now);
        let Some(at) = self.workers.get_mut(&id) else { return };
        at.seen = seen;
        at.taken = 0;
        at.answered = false;
        at.gone = false;
        at.silent = None;
        at.failures = 0;
        at.health = ToldHealth::default();
    }

    /// Runs of a life that has ended: an order that is under way may reach the new life, and is stopped there first. One
    /// that was answered may have reached it before anybody knew of it: its first look tells.
    fn lose_lives_before(&mut self, id: &Name, born: u64, now: Moment) {
        for (task, live) in self.live_on(id) {
            if live.born == born {
                continue;
            }
            match live.phase {
                Phase::Recorded => self.free(&task, now),
                Phase::Sent | Phase::Stopping => {
                    self.set_phase(&task, Phase::Stopping, now);
                    self.order_stop(&task, now);
                }
                _ => self.set_phase(&task, Phase::Inherited, now),
            }
            if let Some(live) = self.live_mut(&task) {
                live.born = born;
            }
        }
    }

    pub(super) fn run_of(&self, id: &TaskId) -> u32 {
        self.jobs.get(&id.job).and_then(|it| it.task(id)).map_or(0, |it| it.run)
    }

    pub(super) fn live_on(&self, worker: &Name) -> Vec<(TaskId, Live)> {
        let Some(at) = self.workers.get(worker) else { return Vec::new() };
        let live = |id: &TaskId| match self.jobs.get(&id.job)?.task(id)?.state {
            TaskState::Live(ref live) if live.worker == *worker => Some((id.clone(), live.clone())),
            _ => None,
        };
        at.live.keys().filter_map(live).collect()
    }

    /// The life `born` of a worker is surely over. Returns whether that is new.
    pub fn worker_dead(&mut self, id: &Name, born: u64, now: Moment) -> bool {
        let Some(at) = self.workers.get_mut(id) else { return false };
        if at.seen.born != born && at.seen.born != 0 {
            return false;
        }
        let is_new = at.answered || at.silent.is_none() || !at.live.is_empty();
        at.answered = false;
        at.silent.get_or_insert(now);
        for (task, _) in self.live_on(id) {
            self.free(&task, now);
        }
        if self.workers[id].gone {
            self.workers.remove(id);
        }
        is_new
    }

    /// A worker does not answer; `renewed` is the last moment at which its leases may have been renewed. Returns whether
    /// that is new.
    pub fn worker_silent(&mut self, id: &Name, renewed: Moment) -> bool {
        let Some(at) = self.workers.get_mut(id) else { return false };
        let is_new = at.silent.is_none();
        let inherited = match at.answered {
            // Before its first answer the former coordinator may have renewed them until its own limit.
            false => self.takeover.renewals_end.max(renewed),
            true => renewed,
        };
        at.silent.get_or_insert(inherited);
        is_new
    }

    /// A worker answered a look.
    pub fn worker_reported(&mut self, id: &Name, report: WorkerReport, now: Moment) {
        let Some(at) = self.workers.get(id) else { return };
        if at.seen.born != report.born {
            let seen = WorkerInfo { born: report.born, ..at.seen.clone() };
            self.begin_life(seen, now);
        }
        let at = self.workers.get_mut(id).expect("the worker is known");
        if !at.answered || at.silent.is_some() {
            self.needs_placing = true;
        }
        at.answered = true;
        at.silent = None;
        at.lists_runs = !report.running.is_empty();
        let before = at.taken;
        for end in report.ended.iter().filter(|it| it.number > before) {
            self.run_ended(id, end, now);
        }
        for run in &report.running {
            self.run_seen(id, run, report.asked, now);
            self.note_progress(id, run, now);
        }
        self.share_worker(id, &report, now);
        self.find_missing(id, &report, now);
        self.end_unwanted(id, now);
        if let Some(at) = self.workers.get_mut(id)
            && let Some(last) = report.ended.iter().map(|it| it.number).max()
            && last > before
        {
            at.taken = last;
            let born = report.born;
            self.held_back.push(Order::Acknowledge { worker: id.clone(), born, upto: last });
        }
    }

    fn run_seen(&mut self, worker: &Name, seen: &RunInfo, asked: Moment, now: Moment) {
        let id = &seen.task;
        let long_running = self.step_of(id).is_some_and(|it| it.long_running);
        let is_expected = self.run_of(id) == seen.run
            && self.live_mut(id).is_some_and(|live| live.worker == *worker);
        if !is_expected {
            let (task, run) = (id.clone(), seen.run);
            self.released.push(Order::Stop { worker: worker.clone(), task, run });
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.has_begun = true;
        let Some(task) = job.task_mut(id) else { return };
        if !seen.checkpoint.is_empty() {
            task.checkpoint = seen.checkpoint.clone();
        }
        let TaskState::Live(live) = &mut task.state else { return };
        if matches!(live.phase, Phase::Sent | Phase::Inherited) {
            live.phase = Phase::Running;
            live.since = now;
        }
        live.at_work = (!long_running || seen.percent >= 100).then_some(asked);
    }

    /// Runs that should be on the worker and that it lists neither as running nor as ended.
    fn find_missing(&mut self, worker: &Name, report: &WorkerReport, now: Moment) {
        let listed: FastMap<&TaskId, u32> =
            report.running.iter().map(|it| (&it.task, it.run)).collect();
        let lease = with_drift(self.timing.lease_ms);
        for (task, live) in self.live_on(worker) {
            if listed.get(&task) == Some(&self.run_of(&task)) {
                continue;
            }
            let is_missing = match live.phase {
                Phase::Recorded => false,
                Phase::Inherited => true,
                Phase::Running | Phase::StopConfirmed => report.asked > live.since,
                Phase::Sent | Phase::Stopping => report.asked > live.since + lease,
            };
            if is_missing {
                self.free(&task, now);
            }
        }
    }

    fn run_ended(&mut self, worker: &Name, end: &RunEnd, now: Moment) {
        let id = &end.task;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(id.step as usize) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let is_run = task.run == end.run
            && matches!(&task.state, TaskState::Live(live) if live.worker == *worker);
        if !end.checkpoint.is_empty() && step.checkpoints {
            task.checkpoint = end.checkpoint.clone();
        }
        job.has_begun = true;
        if is_run {
            self.note_health(worker, id, end.ending, now);
        }
        match (end.ending, is_run) {
            (Ending::Done, _) if !step.long_running => self.task_done(id, end.run, step.gang, now),
            (Ending::Failed, true) => self.task_failed(id, step.long_running, now),
            (_, true) => self.free(id, now),
            (_, false) => {}
        }
    }

    fn task_done(&mut self, id: &TaskId, run: u32, gang: bool, now: Moment) {
        let members = match (gang, self.jobs.get(&id.job)) {
            (true, Some(job)) => job.members_of(id),
            _ => vec![id.clone()],
        };
        for member in members {
            self.finish_task(&member, run, now);
        }
        let done = self.jobs.get(&id.job).is_some_and(|it| !it.stage.is_over() && it.is_done());
        if done {
            self.end(&id.job, Stage::Completed, now);
        }
    }

    /// A run of a task has done its work. A later run that is under way takes room until it is stopped.
    fn finish_task(&mut self, id: &TaskId, run: u32, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        match task.state {
            TaskState::Done => {}
            TaskState::Live(_) if task.is_superseded => {}
            TaskState::Live(_) if task.run == run => self.settle(id, TaskState::Done, now),
            TaskState::Live(_) => {
                job.supersede(id);
                self.mark(&id.job);
                self.needs_placing = true;
                self.stop(id, now);
            }
            TaskState::Waiting => {
                job.set_state(id, TaskState::Done);
                self.mark(&id.job);
                self.needs_placing = true;
            }
        }
    }

    fn task_failed(&mut self, id: &TaskId, long_running: bool, now: Moment) {
        self.free(id, now);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let allowed = job.spec.route.max_attempts.max(1);
        let is_over = job.stage.is_over();
        let Some(task) = job.task_mut(id) else { return };
        task.failures += 1;
        if !long_running && !is_over && task.failures >= allowed {
            self.end(&id.job, Stage::Failed, now);
        }
    }

    /// The answer to an order to start.
    pub fn start_answered(&mut self, id: &TaskId, run: u32, answer: StartReply, now: Moment) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|it| it.task_mut(id)) else { return };
        let TaskState::Live(live) = &task.state else { return };
        if task.run != run || live.phase != Phase::Sent {
            return;
        }
        let worker = live.worker.clone();
        match answer {
            StartReply::Running => self.run_began(id, now),
            StartReply::Unknown => {
                self.avoid(&worker, now + UNANSWERED_MS);
                self.stop(id, now);
            }
            StartReply::NotSent => self.free(id, now),
            // The run, or a later one, was there and is over: the next report tells how it ended.
            StartReply::Refused(Refusal::Old) => self.run_began(id, now),
            StartReply::Refused(reason) => {
                match reason {
                    Refusal::Room => self.avoid(&worker, now + NO_ROOM_MS),
                    Refusal::Unhealthy => self.avoid(&worker, now + FAILING_MS),
                    Refusal::Ticket => self.forget_ticket(id, &worker),
                    Refusal::Malformed => self.avoid(&worker, now + UNANSWERED_MS),
                    _ => {}
                }
                self.free(id, now);
            }
        }
    }

    fn run_began(&mut self, id: &TaskId, now: Moment) {
        self.set_phase(id, Phase::Running, now);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.has_begun = true;
        }
    }

    pub(super) fn avoid(&mut self, worker: &Name, until: Moment) {
        if let Some(at) = self.workers.get_mut(worker) {
            at.avoid(until);
        }
    }

    /// A worker has confirmed a stop: the run is not there, or its end will be listed.
    pub fn stop_answered(&mut self, id: &TaskId, run: u32, now: Moment) {
        let is_stopping = self.live_mut(id).is_some_and(|live| live.phase == Phase::Stopping);
        if is_stopping && self.run_of(id) == run {
            self.set_phase(id, Phase::StopConfirmed, now);
        }
    }
}
