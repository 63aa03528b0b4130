//! The state machine of the one process that places all tasks.
//!
//! Every start is recorded in the store before it is ordered, and every end before it is acknowledged, so that
//! another coordinator can go on from the store and from what the workers list.

mod advice;
mod demand;
mod ending;
mod health;
mod host_orders;
mod hosts;
mod job;
mod lapse;
mod live;
mod near;
mod needs;
mod orders;
mod outbox;
mod place;
mod pools;
mod rank;
mod reports;
mod sharing;
mod told_health;
mod worker;

use std::{collections::VecDeque, sync::Arc};

use fuchsiamill_model::{
    FastMap, FastSet, Resources,
    units::{Moment, WallTime},
};

pub use advice::{Permit, StepKey};
pub use demand::Wish;
pub use ending::{RunToEnd, RunsToEnd};
pub use hosts::{Duty as HostDuty, DutyReply, Host, WaveRecord};
pub use job::{Job, Task, TaskState, objective_ms};
pub use live::{Live, Phase};
pub use needs::PoolNeed;
pub use orders::Order;
pub use outbox::Commit;
pub use reports::{Refusal, StartReply};
pub use worker::Worker;

use crate::{Config, JobRecord, JobSpec, Name, Stage, TaskId, Timing, WorkerInfo};

/// Until when a former coordinator may have given orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The last moment at which it may have renewed a lease.
    pub renewals_end: Moment,
    /// When this coordinator took over.
    pub at: Moment,
}

/// See the module's documentation.
pub struct Coordinator {
    timing: Timing,
    config: Arc<Config>,
    jobs: FastMap<Name, Job>,
    /// Jobs that are over, and when that was noted.
    over: FastMap<Name, Moment>,
    /// Those of them whose rows are being dropped: until that is done, the rows may be read again.
    expiring: FastSet<Name>,
    workers: FastMap<Name, Worker>,
    used: FastMap<Name, Resources>,
    recent: FastMap<Name, VecDeque<Moment>>,
    early_cancels: FastSet<Name>,
    dirty: VecDeque<Name>,
    is_dirty: FastSet<Name>,
    held_back: Vec<Order>,
    released: Vec<Order>,
    in_flight: Option<(FastSet<Name>, Vec<Order>)>,
    needs_placing: bool,
    /// When time was last looked at.
    ticked: Moment,
    hosts: FastMap<Name, Host>,
    hosts_known: bool,
    takeover: Takeover,
    recent_orders: FastMap<Name, Moment>,
    orders_noted: bool,
    former_orders: FastMap<Name, Moment>,
    waves: Vec<hosts::WaveState>,
    dirty_waves: FastSet<u64>,
    demand: FastMap<demand::DemandKey, demand::Demand>,
    pool_needs: Vec<needs::PoolNeed>,
    /// Hosts that finish their tasks before they go to another pool, and that pool.
    emptied: FastMap<Name, Name>,
    advice: FastMap<StepKey, advice::StepAdvice>,
    usual: FastMap<Name, rank::Usual>,
    /// Pools where tasks found no room lately.
    tight: FastSet<Name>,
    /// When the first task that waits for room near its data may go elsewhere.
    near_wait_ends: Option<Moment>,
}

impl Coordinator {
    /// A coordinator that knows of nothing yet.
    pub fn new(timing: Timing, config: Arc<Config>, takeover: Takeover) -> Self {
        Self {
            timing,
            config,
            jobs: FastMap::default(),
            over: FastMap::default(),
            expiring: FastSet::default(),
            workers: FastMap::default(),
            used: FastMap::default(),
            recent: FastMap::default(),
            early_cancels: FastSet::default(),
            dirty: VecDeque::new(),
            is_dirty: FastSet::default(),
            held_back: Vec::new(),
            released: Vec::new(),
            in_flight: None,
            needs_placing: false,
            ticked: takeover.at,
            hosts: FastMap::default(),
            hosts_known: false,
            takeover,
            recent_orders: FastMap::default(),
            orders_noted: false,
            former_orders: FastMap::default(),
            waves: Vec::new(),
            dirty_waves: FastSet::default(),
            demand: FastMap::default(),
            pool_needs: Vec::new(),
            emptied: FastMap::default(),
            advice: FastMap::default(),
            usual: FastMap::default(),
            tight: FastSet::default(),
            near_wait_ends: None,
        }
    }

    /// Puts a newer configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.needs_placing = true;
    }

    /// Takes a job in: a new one, or one that an earlier coordinator left with `record`.
    pub fn accept(
        &mut self,
        id: Name,
        spec: Arc<JobSpec>,
        record: Option<&JobRecord>,
        now: Moment,
        wall: WallTime,
    ) {
        if self.jobs.contains_key(&id) || self.over.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id.clone(), spec, now, wall);
        job.open_due(wall);
        // Nothing is known of what was sent beside older jobs, which come all at once after a takeover.
        let is_new = now.since(job.accepted) <= EXCESS_WINDOW_MS;
        job.excess = is_new && self.is_excess(&job.spec.team, now);
        if record.is_none() && !job.excess {
            self.note_demand(&job.spec, now);
        }
        let inherited = record.map(|it| job.restore(it, now)).unwrap_or_default();
        let over = job.stage.is_over();
        if over && inherited.is_empty() {
            self.over.insert(id, now);
            return;
        }
        let spec = job.spec.clone();
        self.jobs.insert(id.clone(), job);
        for (task, live) in inherited {
            self.take_room(&task, &live.worker, &spec, now);
        }
        self.needs_placing = true;
        if self.early_cancels.remove(&id) {
            self.cancel(&id, now);
        }
    }

    /// Jobs that a team sends beyond its weight a second are not owed to it.
    fn is_excess(&mut self, team: &Name, now: Moment) -> bool {
        let Some(weight) = self.config.teams.get(team).map(|it| it.weight) else { return false };
        let recent = self.recent.entry(team.clone()).or_default();
        while recent.front().is_some_and(|it| now.since(*it) > EXCESS_WINDOW_MS) {
            recent.pop_front();
        }
        recent.push_back(now);
        recent.len() as f64 > weight * EXCESS_WINDOW_MS as f64 / 1_000.0 + EXCESS_SLACK_JOBS
    }

    /// The former coordinator surely gives no more orders.
    pub fn former_coordinator_ended(&mut self, now: Moment) {
        self.takeover.renewals_end = self.takeover.renewals_end.min(now);
        for at in self.workers.values_mut().filter(|it| !it.answered) {
            at.silent = at.silent.map(|it| it.min(now));
        }
    }

    /// Cancels a job; its tasks are stopped.
    pub fn cancel(&mut self, id: &Name, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            if !self.over.contains_key(id) {
                self.early_cancels.insert(id.clone());
            }
            return;
        };
        if !job.stage.is_over() {
            self.end(id, Stage::Cancelled, now);
        }
    }

    /// Ends a job, whatever its tasks do.
    fn end(&mut self, id: &Name, stage: Stage, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.stage = stage;
        let live = job.live_tasks();
        self.mark(id);
        for (task, _) in live {
            self.stop(&task, now);
        }
        self.forget_if_over(id, now);
    }

    fn forget_if_over(&mut self, id: &Name, now: Moment) {
        if let Some(job) = self.jobs.get(id)
            && job.stage.is_over()
            && job.live == 0
            && !self.is_dirty.contains(id)
        {
            self.over.insert(id.clone(), now);
            self.jobs.remove(id);
            self.advice.retain(|step, _| step.job != *id);
        }
    }

    /// Orders a run to be stopped.
    fn stop(&mut self, id: &TaskId, now: Moment) {
        let Some(live) = self.live_mut(id) else { return };
        match live.phase {
            Phase::Stopping | Phase::StopConfirmed => {}
            Phase::Recorded => self.free(id, now),
            _ => {
                live.phase = Phase::Stopping;
                live.since = now;
                self.order_stop(id, now);
            }
        }
    }

    /// Takes a run's room back and lets the task wait again.
    fn free(&mut self, id: &TaskId, now: Moment) {
        self.settle(id, TaskState::Waiting, now);
    }

    fn settle(&mut self, id: &TaskId, state: TaskState, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task(id) else { return };
        let (run, is_superseded) = (task.run, task.is_superseded);
        let state = if is_superseded { TaskState::Done } else { state };
        let Some(TaskState::Live(live)) = job.set_state(id, state) else { return };
        if live.phase == Phase::Recorded {
            self.withdraw(id, run);
        }
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.release(id, now);
        }
        let size = spec.steps[id.step as usize].size;
        if let Some(used) = self.used.get_mut(&spec.team) {
            *used = used.minus(size);
        }
        self.mark(&id.job);
        self.needs_placing = true;
    }

    /// Takes an order to start back that was not sent: its record was not stored yet.
    fn withdraw(&mut self, id: &TaskId, run: u32) {
        self.held_back.retain(|it| !is_start_of(it, id, run));
        if let Some((_, orders)) = &mut self.in_flight {
            orders.retain(|it| !is_start_of(it, id, run));
        }
    }

    fn take_room(&mut self, id: &TaskId, worker: &Name, spec: &JobSpec, now: Moment) {
        let step = &spec.steps[id.step as usize];
        let used = self.used.entry(spec.team.clone()).or_default();
        *used = used.plus(step.size);
        let ghost = || Worker { gone: true, ..Worker::new(ghost_of(worker), now) };
        let at = self.workers.entry(worker.clone()).or_insert_with(ghost);
        if at.gone && at.silent.is_none() {
            at.silent = Some(self.takeover.renewals_end);
        }
        at.take(id.clone(), step);
    }

    fn set_phase(&mut self, id: &TaskId, phase: Phase, now: Moment) {
        if let Some(live) = self.live_mut(id) {
            live.phase = phase;
            live.since = now;
        }
    }

    pub(super) fn step_of(&self, id: &TaskId) -> Option<&crate::Step> {
        self.jobs.get(&id.job)?.spec.steps.get(id.step as usize)
    }

    pub(super) fn live_mut(&mut self, id: &TaskId) -> Option<&mut Live> {
        match &mut self.jobs.get_mut(&id.job)?.task_mut(id)?.state {
            TaskState::Live(live) => Some(live),
            _ => None,
        }
    }

    /// Jobs whose state was told for long enough, at most `most` of them; their rows may be dropped.
    pub fn take_expired(&mut self, now: Moment, most: usize) -> Vec<Name> {
        let is_expired = |at: &Moment| now.since(*at) >= self.timing.retention_ms;
        let expired =
            self.over.iter().filter(|(id, at)| is_expired(at) && !self.expiring.contains(*id));
        let expired: Vec<Name> = expired.take(most).map(|(id, _)| id.clone()).collect();
        self.expiring.extend(expired.iter().cloned());
        expired
    }

    /// The rows of these jobs are gone.
    pub fn rows_deleted(&mut self, jobs: &[Name]) {
        for id in jobs {
            self.expiring.remove(id);
            self.over.remove(id);
        }
    }

    /// The rows of these jobs may be there: they are dropped later.
    pub fn rows_not_deleted(&mut self, jobs: &[Name]) {
        for id in jobs {
            self.expiring.remove(id);
        }
    }

    /// The accepted jobs of each queue of which no worker is known to have started anything: an order to start may get
    /// lost or be refused.
    pub fn waiting(&self) -> FastMap<Name, u64> {
        let mut counts = FastMap::default();
        for job in self.jobs.values().filter(|it| !it.stage.is_over() && !it.has_begun) {
            *counts.entry(job.spec.queue.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// A job that is not over.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Every worker by its id.
    pub fn workers(&self) -> &FastMap<Name, Worker> {
        &self.workers
    }

    /// Jobs that are not over.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }
}

/// The window over which a team's jobs are counted against its weight.
const EXCESS_WINDOW_MS: u64 = 1_000;

/// Jobs beyond the weight that are still counted as owed, since arrivals are uneven.
const EXCESS_SLACK_JOBS: f64 = 1.0;

fn is_start_of(order: &Order, id: &TaskId, of: u32) -> bool {
    matches!(order, Order::Start { task, run, .. } if task == id && *run == of)
}

/// A worker that only a record names: it takes no tasks and is gone once its leases have lapsed.
fn ghost_of(id: &Name) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        born: 0,
        pool: Name::default(),
        addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        data_centre: Name::default(),
        state: crate::WorkerState::Draining,
        capacity: Resources::default(),
        labels: Vec::new(),
    }
}
