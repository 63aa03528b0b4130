//! The coordinator's state machine, which places all tasks of a site on workers.
//!
//! Every start is recorded in the store before the order is sent, and every end before it is acknowledged. Another
//! coordinator can therefore continue from the store and from the runs that the workers list.

mod admission;
mod advice;
mod cordon;
mod demand;
mod ending;
mod gang;
mod health;
mod held;
mod host_orders;
mod hosts;
mod job;
mod learned;
mod limits;
mod listed;
mod live;
mod lives;
mod near;
mod needs;
mod orders;
mod outbox;
mod packing;
mod place;
mod pool_view;
mod pools;
mod rank;
mod replies;
mod reported_health;
mod reports;
mod retention;
mod room;
mod shares;
mod sharing;
mod stored;
mod takeover;
mod tasks;
mod tick;
mod turns;
mod waits;
mod worker;

use std::{collections::VecDeque, sync::Arc};

use fuchsiamill_model::{
    FastMap, FastSet, Resources,
    units::{Moment, WallTime},
};

pub use advice::{Permit, StepKey};
pub use cordon::CordonChange;
pub use demand::{HostAffinity, Load};
pub use ending::{RunToEnd, RunsToEnd};
pub use hosts::{Duty as HostDuty, DutyReply, Host, WaveProgress, WaveRecord};
pub use job::{Job, Task, TaskState, objective_ms};
pub use live::{LiveRun, Phase};
pub use lives::UnlistedWorker;
pub use orders::Order;
pub use outbox::Commit;
pub use packing::packed_hosts;
pub use pool_view::PoolNeed;
pub use rank::Tier;
pub use replies::{Refusal, StartReply};
pub use takeover::Takeover;
pub use tasks::Tasks;
pub use tick::HeldRuns;
pub use waits::{StepPlaces, Wait, WaitReason, WaitingStep};
pub use worker::Worker;

use crate::{
    Cancellation, Config, JobOwner, JobRecord, JobSpec, Name, RecordKey, Stage, TaskId, Timing,
    durations::Durations,
};
use limits::EXCESS_WINDOW_MS;
use retention::EndedJob;

/// The state of the coordinator; see the module's documentation.
pub struct Coordinator {
    timing: Timing,
    config: Arc<Config>,
    jobs: FastMap<Name, Job>,
    /// Jobs that have ended and have no live runs.
    ended_jobs: FastMap<Name, retention::EndedJob>,
    /// Ended jobs whose rows are being deleted. Until that is done the rows may be read again.
    expiring: FastSet<Name>,
    workers: FastMap<Name, Worker>,
    /// Tasks of which a worker lists another run than the recorded one, each with that worker.
    stray_runs: FastMap<TaskId, Name>,
    /// Workers whose next life may carry out starts that were meant for the former one, each with the end of that time.
    lives: lives::Lives,
    used_by_team: FastMap<Name, Resources>,
    kept_of_limits: limits::KeptParts,
    recent_jobs: FastMap<Name, VecDeque<Moment>>,
    /// Cancellations of jobs that were not accepted yet.
    early_cancels: FastMap<Cancellation, retention::EarlyCancel>,
    /// Jobs whose rows are there and cannot be read.
    unreadable_jobs: FastSet<Name>,
    /// Rows of records that wait to be stored, in this order.
    dirty_records: VecDeque<RecordKey>,
    dirty_record_set: FastSet<RecordKey>,
    /// How many records have ever been marked to be stored, and how many of them, in this order, are in a commit.
    records_marked: u64,
    records_taken: u64,
    /// Orders that are released once the records of the next commit are stored.
    pending_orders: Vec<outbox::PendingOrder>,
    /// Orders that may be carried out now.
    ready_orders: Vec<Order>,
    /// The jobs of the commit that is being stored, and the orders that wait for it.
    commit_in_flight: Option<(FastSet<Name>, Vec<Order>)>,
    needs_placing: bool,
    /// See [`Coordinator::lacks_starts`].
    lacks_starts: bool,
    /// When tasks were last placed.
    last_placed: Moment,
    /// When a task of each pool was last placed.
    last_start_in: FastMap<Name, Moment>,
    /// When `tick` was last called.
    last_tick: Moment,
    hosts: FastMap<Name, Host>,
    hosts_known: bool,
    /// The data centres that operators evacuate.
    evacuated: FastSet<Name>,
    takeover: Takeover,
    recent_host_orders: FastMap<Name, Moment>,
    has_new_host_orders: bool,
    former_host_orders: FastMap<Name, Moment>,
    waves: Vec<hosts::WaveState>,
    due: hosts::DueHosts,
    dirty_waves: FastSet<u64>,
    demand: FastMap<demand::DemandKey, demand::Demand>,
    pool_needs: Vec<PoolNeed>,
    /// How many moves were ordered to each pool.
    pool_moves: FastMap<Name, u64>,
    /// Hosts that finish their tasks before they move to another pool, each with that pool.
    draining_to: FastMap<Name, Name>,
    /// Drained hosts that take tasks again because tasks of their pool found no other room.
    recalled: FastSet<Name>,
    advice: FastMap<StepKey, advice::StepAdvice>,
    queue_durations: FastMap<Name, rank::QueueDurations>,
    /// Learned durations; `None` if they are not learned.
    learned: Option<Durations>,
    /// Pools whose workers were too full for some tasks in the last placement.
    full_pools: FastSet<Name>,
    /// When the first task that waits for room near its data may be placed elsewhere.
    near_wait_ends: Option<Moment>,
    admission: admission::AdmissionState,
}

impl Coordinator {
    /// Creates a coordinator that knows no jobs, workers or hosts yet.
    pub fn new(timing: Timing, config: Arc<Config>, takeover: Takeover) -> Self {
        Self {
            timing,
            config,
            jobs: FastMap::default(),
            ended_jobs: FastMap::default(),
            expiring: FastSet::default(),
            workers: FastMap::default(),
            stray_runs: FastMap::default(),
            lives: lives::Lives::default(),
            used_by_team: FastMap::default(),
            kept_of_limits: limits::KeptParts::default(),
            recent_jobs: FastMap::default(),
            early_cancels: FastMap::default(),
            unreadable_jobs: FastSet::default(),
            dirty_records: VecDeque::new(),
            dirty_record_set: FastSet::default(),
            records_marked: 0,
            records_taken: 0,
            pending_orders: Vec::new(),
            ready_orders: Vec::new(),
            commit_in_flight: None,
            needs_placing: false,
            lacks_starts: false,
            last_placed: takeover.at,
            last_start_in: FastMap::default(),
            last_tick: takeover.at,
            hosts: FastMap::default(),
            hosts_known: false,
            evacuated: FastSet::default(),
            takeover,
            recent_host_orders: FastMap::default(),
            has_new_host_orders: false,
            former_host_orders: FastMap::default(),
            waves: Vec::new(),
            due: hosts::DueHosts::default(),
            dirty_waves: FastSet::default(),
            demand: FastMap::default(),
            pool_needs: Vec::new(),
            pool_moves: FastMap::default(),
            draining_to: FastMap::default(),
            recalled: FastSet::default(),
            advice: FastMap::default(),
            queue_durations: FastMap::default(),
            learned: None,
            full_pools: FastSet::default(),
            near_wait_ends: None,
            admission: admission::AdmissionState::default(),
        }
    }

    /// Applies a newer configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.needs_placing = true;
    }

    /// Accepts a job: a new one, or one that an earlier coordinator left with `record`. A job that is known already is
    /// ignored.
    pub fn accept(
        &mut self,
        id: Name,
        spec: Arc<JobSpec>,
        record: Option<&JobRecord>,
        now: Moment,
        wall: WallTime,
    ) {
        if self.jobs.contains_key(&id) || self.ended_jobs.contains_key(&id) {
            return;
        }
        self.unreadable_jobs.remove(&id);
        let is_cancelled = self.take_early_cancels(&id, &JobOwner::from(&*spec));
        let mut job = Job::new(id.clone(), spec, now, wall);
        job.open_due(wall);
        // After a takeover older jobs arrive all at once, so the rate at which they were sent is unknown.
        let is_new = now.since(job.accepted) <= EXCESS_WINDOW_MS;
        job.excess = is_new && self.is_excess(&job.spec.team, now);
        if job.excess && job.tier != Tier::Standing {
            job.tier = Tier::Excess;
        }
        if record.is_none() {
            self.note_post(&job.spec, now);
        }
        if record.is_none() && !job.excess {
            self.note_demand(&job.spec, now);
        }
        let inherited = record.map(|it| job.restore(it, now)).unwrap_or_default();
        let is_over = job.stage.is_over();
        if is_over && inherited.is_empty() {
            self.ended_jobs.insert(id, EndedJob::new(&job, now));
            return;
        }
        let spec = job.spec.clone();
        let is_in_one_row = job.parts == 1;
        self.jobs.insert(id.clone(), job);
        if let Some(record) = record.filter(|_| is_in_one_row) {
            self.split_record(&id, record);
        }
        for (task, live) in inherited {
            self.reserve_room(&task, &live.worker, &spec, now);
        }
        self.needs_placing = true;
        if is_cancelled {
            self.cancel(&id, now);
        }
    }

    /// Ends a job and stops its live runs.
    fn end_job(&mut self, id: &Name, stage: Stage, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.stage = stage;
        let live = job.live_tasks();
        self.mark_stage_dirty(id);
        for (task, _) in live {
            self.stop_run(&task, now);
        }
        self.clear_record_if_over(id);
        self.forget_if_over(id, now);
    }

    fn forget_if_over(&mut self, id: &Name, now: Moment) {
        if let Some(job) = self.jobs.get(id)
            && job.stage.is_over()
            && job.live == 0
            && job.dirty_parts == 0
        {
            self.ended_jobs.insert(id.clone(), EndedJob::new(job, now));
            self.jobs.remove(id);
            self.advice.retain(|step, _| step.job != *id);
        }
    }

    /// Orders the stop of a run. A run whose start order was not sent yet is only withdrawn. A start order that was not
    /// answered is void once the lease that it names has lapsed, so the time counts on from when it was given up.
    fn stop_run(&mut self, id: &TaskId, now: Moment) {
        let Some(live) = self.live_mut(id) else { return };
        match live.phase {
            Phase::Stopping | Phase::StopConfirmed => {}
            Phase::Recorded => self.requeue(id, now),
            before => {
                self.learn_stopped(id, now);
                let Some(live) = self.live_mut(id) else { return };
                live.phase = Phase::Stopping;
                if before != Phase::Unanswered {
                    live.since = now;
                }
                self.order_stop(id, now);
            }
        }
    }

    /// Releases a run's room and returns its task to the waiting state.
    fn requeue(&mut self, id: &TaskId, now: Moment) {
        self.end_run(id, TaskState::Waiting, now);
    }

    fn end_run(&mut self, id: &TaskId, state: TaskState, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task(id) else { return };
        let (run, is_superseded) = (task.run, task.is_superseded);
        let state = if is_superseded { TaskState::Done } else { state };
        let Some(TaskState::Live(live)) = job.set_state(id, state) else { return };
        if let Some(task) = job.task_mut(id).filter(|_| live.may_have_run()) {
            task.last_run_end = Some(now);
        }
        if live.phase == Phase::Recorded {
            self.withdraw_start(id, run);
        }
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.remove_run(id, now);
        }
        let size = spec.steps[id.step as usize].size;
        if let Some(used) = self.used_by_team.get_mut(&spec.team) {
            *used = used.minus(size);
        }
        self.mark_task_dirty(id);
        self.clear_record_if_over(&id.job);
        self.needs_placing = true;
    }

    fn reserve_room(&mut self, id: &TaskId, worker: &Name, spec: &JobSpec, now: Moment) {
        let step = &spec.steps[id.step as usize];
        let used = self.used_by_team.entry(spec.team.clone()).or_default();
        *used = used.plus(step.size);
        let placeholder =
            || Worker { unlisted: true, ..Worker::new(worker::placeholder_for(worker), now) };
        let worker = self.workers.entry(worker.clone()).or_insert_with(placeholder);
        if worker.unlisted && worker.silent_since.is_none() {
            worker.silent_since = Some(self.takeover.renewals_end);
        }
        worker.add_run(id.clone(), step);
    }

    /// Counts the accepted jobs of each queue of which no worker is known to have started a task. A start order that
    /// was sent does not count: it may get lost or be refused.
    pub fn waiting(&self) -> FastMap<Name, u64> {
        let mut counts = FastMap::default();
        for job in self.jobs.values().filter(|it| !it.stage.is_over() && !it.has_begun) {
            *counts.entry(job.spec.queue.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Returns a job that has not ended, or whose last runs are being stopped.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns all known workers by id.
    pub fn workers(&self) -> &FastMap<Name, Worker> {
        &self.workers
    }
}
