//! Reports and replies of workers, and their effect on runs.

use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, LiveRun, Order, Phase, Refusal, StartReply, TaskState, Worker,
    health::AVOID_FAILING_MS, reported_health::ReportedHealth,
};
use crate::{
    Ending, Name, RunEnd, RunInfo, Stage, TaskId, WorkerInfo, WorkerReport, timing::with_drift,
};

/// How long a worker that leaves orders unanswered is avoided.
const AVOID_UNRESPONSIVE_MS: Millisecond = 2_000;

/// How long a worker that left a poll unanswered is avoided, which is until the repeated poll is over.
const POLL_REPEAT_MS: Millisecond = 800;

/// How long a worker without room is avoided; its next report corrects the coordinator's view.
const AVOID_FULL_MS: Millisecond = 150;

/// The host list, which shows the host of a new worker, is read again within this time.
const LISTING_MS: Millisecond = 1_000;

impl Coordinator {
    /// Records a worker that is in the worker list.
    pub fn worker_listed(&mut self, seen: WorkerInfo, now: Moment) {
        let id = seen.id.clone();
        let known = self.workers.get(&id).map(|it| it.seen.born);
        match known {
            // The entry of the incarnation that has reported is still to come.
            Some(_) if self.workers[&id].former_born == Some(seen.born) => return,
            Some(born) if born != seen.born => self.begin_incarnation(seen.clone(), now),
            Some(_) => {
                let worker = self.workers.get_mut(&id).expect("the worker is known");
                worker.note_entry(seen.clone(), now);
            }
            None => {
                let mut worker = Worker::new(seen.clone(), now);
                if self.may_be_ordered(&seen.pool) {
                    worker.avoid(now + LISTING_MS);
                }
                self.forget_advice_on(&id);
                self.workers.insert(id.clone(), worker);
            }
        }
        self.update_cordon(&id, now);
        self.ready_orders.push(Order::Watch { worker: seen });
        self.needs_placing = true;
    }

    /// Resets what is known of a worker that has restarted under its id.
    fn begin_incarnation(&mut self, seen: WorkerInfo, now: Moment) {
        let id = seen.id.clone();
        let born = seen.born;
        let is_former = |it: &(TaskId, LiveRun)| it.1.born != born;
        // A worker that was known only from records of runs of this incarnation has not restarted.
        let has_restarted = self.workers.get(&id).is_some_and(|it| it.seen.born != 0)
            || self.live_on(&id).iter().any(is_former);
        self.carry_over_runs(&id, born, now);
        self.forget_stray_runs(&id);
        self.expect_late_starts(&id, now);
        self.forget_advice_on(&id);
        let longest_lease_until = now + self.longest_lease();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.former_born = Some(worker.seen.born);
        worker.cold_until = now + seen.cold_remaining_ms;
        worker.seen = seen;
        // Starts for the former incarnation name times on a clock that was ahead of this one's.
        worker.longest_lease_until = has_restarted.then_some(longest_lease_until);
        worker.last_end = 0;
        worker.acknowledged = None;
        worker.unknown = Default::default();
        worker.answered = false;
        worker.known_since = now;
        worker.absent = false;
        worker.unlisted = false;
        worker.silent_since = None;
        worker.failures = 0;
        worker.health = ReportedHealth::default();
    }

    /// Assigns the runs of an incarnation that has ended to the new incarnation `born`. An order that is in flight may
    /// reach the new incarnation, so the run is stopped there first. An order that was answered may have reached it
    /// before its start was noticed; its first report shows that.
    fn carry_over_runs(&mut self, id: &Name, born: u64, now: Moment) {
        for (task, live) in self.live_on(id) {
            if live.born == born {
                continue;
            }
            match live.phase {
                Phase::Recorded => self.requeue(&task, now),
                Phase::Sent | Phase::Unanswered | Phase::Stopping => {
                    self.set_phase(&task, Phase::Stopping, now);
                    self.order_stop(&task, now);
                }
                _ => self.set_phase(&task, Phase::Inherited, now),
            }
            if let Some(live) = self.live_mut(&task) {
                live.born = born;
                live.is_inherited = true;
                live.is_listed = false;
            }
        }
    }

    pub(super) fn run_of(&self, id: &TaskId) -> u32 {
        self.jobs.get(&id.job).and_then(|it| it.task(id)).map_or(0, |it| it.run)
    }

    pub(super) fn live_on(&self, worker: &Name) -> Vec<(TaskId, LiveRun)> {
        let Some(known) = self.workers.get(worker) else { return Vec::new() };
        let live = |id: &TaskId| match self.jobs.get(&id.job)?.task(id)?.state {
            TaskState::Live(ref live) if live.worker == *worker => Some((id.clone(), live.clone())),
            _ => None,
        };
        known.live.keys().filter_map(live).collect()
    }

    /// Notes that the incarnation `born` of a worker has certainly ended. Returns whether that is new.
    pub fn worker_dead(&mut self, id: &Name, born: u64, now: Moment) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        if worker.seen.born != born && worker.seen.born != 0 {
            return false;
        }
        let is_new = worker.answered || worker.silent_since.is_none() || !worker.live.is_empty();
        worker.answered = false;
        worker.silent_since.get_or_insert(now);
        for (task, _) in self.live_on(id) {
            self.requeue(&task, now);
        }
        self.forget_stray_runs(id);
        if is_new {
            self.expect_late_starts(id, now);
        }
        if self.workers[id].unlisted {
            self.workers.remove(id);
        }
        is_new
    }

    /// Notes that a worker left a poll unanswered, which is repeated: until then nothing new is started there.
    pub fn poll_unanswered(&mut self, id: &Name, now: Moment) {
        self.avoid(id, now + POLL_REPEAT_MS);
    }

    /// Notes that a worker does not answer; `renewed` is the last moment at which its leases may have been renewed.
    /// Returns whether that is new.
    pub fn worker_silent(&mut self, id: &Name, renewed: Moment) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let is_new = worker.silent_since.is_none();
        let inherited = match worker.answered {
            // Before the worker's first answer, the former coordinator may have renewed its leases until its own limit.
            false => self.takeover.renewals_end.max(renewed),
            true => renewed,
        };
        worker.silent_since.get_or_insert(inherited);
        is_new
    }

    /// Handles the report of a worker that answered a poll.
    pub fn worker_reported(&mut self, id: &Name, report: WorkerReport, now: Moment) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_new_incarnation = worker.seen.born != report.born;
        if is_new_incarnation {
            // Its entry, which is still to come, tells whether it is cold.
            let seen =
                WorkerInfo { born: report.born, cold_remaining_ms: 0, ..worker.seen.clone() };
            self.begin_incarnation(seen.clone(), now);
            self.ready_orders.push(Order::Watch { worker: seen });
        }
        let worker = self.workers.get_mut(id).expect("the worker is known");
        if !worker.answered || worker.silent_since.is_some() {
            self.needs_placing = true;
        }
        worker.answered = true;
        worker.silent_since = None;
        worker.reports_runs = !report.running.is_empty();
        self.note_unknown_runs(id, &report.running, now);
        let before = self.workers[id].last_end;
        for end in report.ended.iter().filter(|it| it.number > before) {
            self.run_ended(id, end, now);
        }
        for run in &report.running {
            self.run_seen(id, run, report.asked, now);
            self.check_progress(id, run, now);
        }
        self.adjust_best_effort_speeds(id, &report, now);
        // A start may have been carried out and answered after the worker made this report. The next one is asked for later.
        if !is_new_incarnation {
            self.requeue_missing(id, &report, now);
        }
        self.stop_unwanted(id, now);
        let last = self.last_settled_end(&report);
        if let Some(worker) = self.workers.get_mut(id)
            && last > before
        {
            worker.last_end = last;
            worker.acknowledged = None;
            let born = report.born;
            self.give_after_records(Order::Acknowledge { worker: id.clone(), born, upto: last });
        } else {
            self.acknowledge_again(id, &report);
        }
    }

    fn run_seen(&mut self, worker: &Name, seen: &RunInfo, asked: Moment, now: Moment) {
        let id = &seen.task;
        let long_running = self.step_of(id).is_some_and(|it| it.long_running);
        if !self.is_expected(worker, seen) {
            let (task, run) = (id.clone(), seen.run);
            self.ready_orders.push(Order::Stop { worker: worker.clone(), task, run });
            return;
        }
        self.keep_run_without_stop(id, now);
        self.note_checkpoint(seen);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.has_begun = true;
        let Some(task) = job.task_mut(id) else { return };
        let TaskState::Live(live) = &mut task.state else { return };
        if matches!(live.phase, Phase::Sent | Phase::Unanswered | Phase::Inherited) {
            live.phase = Phase::Running;
            live.since = now;
        }
        live.is_listed = true;
        live.last_seen_working = (!long_running || seen.percent >= 100).then_some(asked);
    }

    /// Requeues runs that should be on the worker and that it lists neither as running nor as ended. A list that may leave out
    /// ends does not show that a run is missing.
    fn requeue_missing(&mut self, worker: &Name, report: &WorkerReport, now: Moment) {
        if report.has_more_ends {
            return;
        }
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
                Phase::Sent | Phase::Unanswered | Phase::Stopping => {
                    report.asked > live.since + lease
                }
            };
            if is_missing {
                self.requeue(&task, now);
            } else if live.phase == Phase::Unanswered && report.asked > live.since {
                self.lost_start_missing(&task, worker, now);
            }
        }
    }

    fn run_ended(&mut self, worker: &Name, end: &RunEnd, now: Moment) {
        let id = &end.task;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(id.step as usize) else { return };
        let Some(task) = job.task(id) else { return };
        let is_run = task.run == end.run
            && matches!(&task.state, TaskState::Live(live) if live.worker == *worker);
        job.has_begun = true;
        if step.checkpoints {
            self.note_saved(id, end.run, &end.checkpoint);
        }
        if is_run {
            self.note_run_end(worker, id, end.ending, now);
        }
        match (end.ending, is_run) {
            (Ending::Done, _) if !step.long_running => self.task_done(id, end.run, step.gang, now),
            (Ending::Failed, true) => self.task_failed(id, step.long_running, now),
            (_, true) => self.requeue(id, now),
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
            self.end_job(&id.job, Stage::Completed, now);
        }
    }

    /// Marks a task as done by one of its runs. A later run that is live takes room until it is stopped.
    fn finish_task(&mut self, id: &TaskId, run: u32, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task(id) else { return };
        match task.state {
            TaskState::Done => {}
            TaskState::Live(_) if task.is_superseded => {}
            TaskState::Live(_) if task.run == run => self.end_run(id, TaskState::Done, now),
            TaskState::Live(_) => {
                job.supersede(id);
                self.mark_task_dirty(id);
                self.needs_placing = true;
                self.stop_run(id, now);
            }
            TaskState::Waiting => {
                job.set_state(id, TaskState::Done);
                self.mark_task_dirty(id);
                self.needs_placing = true;
            }
        }
    }

    fn task_failed(&mut self, id: &TaskId, long_running: bool, now: Moment) {
        self.requeue(id, now);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let allowed = job.spec.route.max_attempts.max(1);
        let is_over = job.stage.is_over();
        let Some(task) = job.task_mut(id) else { return };
        task.failures += 1;
        if !long_running && !is_over && task.failures >= allowed {
            self.end_job(&id.job, Stage::Failed, now);
        }
    }

    /// Handles the reply to a start order.
    pub fn start_answered(&mut self, id: &TaskId, run: u32, answer: StartReply, now: Moment) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|it| it.task_mut(id)) else { return };
        let TaskState::Live(live) = &task.state else { return };
        if task.run != run || live.phase != Phase::Sent {
            return;
        }
        let worker = live.worker.clone();
        let answer = match live.lost_start {
            Some(_) => answer.after(StartReply::Unknown),
            None => answer,
        };
        match answer {
            StartReply::Running => self.run_began(id, now),
            StartReply::Unknown => {
                self.avoid(&worker, now + AVOID_UNRESPONSIVE_MS);
                self.note_lost_start(id, now);
                self.ready_orders.push(Order::Look { worker });
            }
            StartReply::NotSent => {
                self.stop_gang_of_cordoned(id, &worker, now);
                self.requeue(id, now);
            }
            // The run, or a later one, was there and has ended; the next report tells how.
            StartReply::Refused(Refusal::Old) => self.run_began(id, now),
            StartReply::Refused(reason) => {
                match reason {
                    Refusal::Room => self.avoid(&worker, now + AVOID_FULL_MS),
                    Refusal::Unhealthy => self.avoid(&worker, now + AVOID_FAILING_MS),
                    Refusal::Ticket => self.forget_ticket(id, &worker),
                    Refusal::Malformed => self.avoid(&worker, now + AVOID_UNRESPONSIVE_MS),
                    _ => {}
                }
                self.stop_gang_of_cordoned(id, &worker, now);
                self.requeue(id, now);
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
        self.workers.get_mut(worker).into_iter().for_each(|it| it.avoid(until));
    }
}
