//! Tasks under leases on the worker's own clock, without sockets.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    FastMap, Incarnation, Millisecond, Moment, PoolName, Resources,
    task::{
        Fence, TaskId, TaskOrder, TaskReport, TaskStart, TaskState, Ticket, Usage, WorkerAnswer,
        WorkerLoad, WorkerSync,
    },
};
use serde::{Deserialize, Serialize};

/// How a worker treats what it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Conduct {
    /// It runs tasks.
    #[default]
    Works,
    /// Every task fails as soon as it has started.
    FailsEverything,
}

/// What a payload tells the stand-in to do; other payloads run as the default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Work {
    /// How long it truly runs, in milliseconds.
    pub run_ms: Millisecond,
    /// What it truly uses.
    pub uses: Resources,
    /// Whether it fails at its end.
    pub fails: bool,
}

impl Default for Work {
    fn default() -> Self {
        Self { run_ms: 100, uses: Resources::default(), fails: false }
    }
}

/// One run that truly began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Its payload.
    pub payload: String,
    /// The checkpoint that it went on from.
    pub checkpoint: Option<String>,
    /// When it began, on the worker's clock.
    pub began: Moment,
    /// When and how it ended.
    pub ended: Option<(Moment, RunEnd)>,
}

/// How a run truly ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It ran to its end.
    Finished,
    /// It failed.
    Failed,
    /// It ended at a checkpoint.
    Checkpointed,
    /// It was stopped by order or because its lease ran out.
    Cut,
}

#[derive(Clone, Debug)]
struct Task {
    pool: PoolName,
    state: TaskState,
    lease_until: Moment,
    ends_at: Moment,
    began: Moment,
    work: Work,
    limit: Option<Resources>,
    run: Option<usize>,
}

/// The newest owner of a pool that was heard, and the newest ticket that it quoted.
#[derive(Clone, Copy, Debug, Default)]
struct Owner {
    fence: Fence,
    quoted: u64,
}

/// A worker's agent.
#[derive(Clone, Debug)]
pub struct Agent {
    boot: Incarnation,
    conduct: Conduct,
    usage_lag: Millisecond,
    tasks: BTreeMap<TaskId, Task>,
    owners: FastMap<PoolName, Owner>,
    serial: u64,
    record: Vec<Run>,
}

impl Agent {
    /// An agent that just started; its usage figures lag by `usage_lag` milliseconds.
    pub fn new(boot: Incarnation, usage_lag: Millisecond) -> Self {
        Self {
            boot,
            conduct: Conduct::Works,
            usage_lag,
            tasks: BTreeMap::new(),
            owners: FastMap::default(),
            serial: 0,
            record: Vec::new(),
        }
    }

    /// Changes how it treats what it starts.
    pub fn set_conduct(&mut self, conduct: Conduct) {
        self.conduct = conduct;
    }

    /// What truly ran.
    pub fn record(&self) -> &[Run] {
        &self.record
    }

    /// How many tasks run.
    pub fn load(&mut self, now: Moment) -> WorkerLoad {
        self.advance(now);
        let running = self.tasks.values().filter(|it| it.state == TaskState::Running);
        WorkerLoad { running: running.count() as u32 }
    }

    /// Ends every task: the agent's process is gone.
    pub fn restart(&mut self, now: Moment) {
        self.advance(now);
        let running: Vec<TaskId> =
            self.tasks.keys().filter(|it| self.is_running(it)).cloned().collect();
        for task in running {
            self.end(&task, TaskState::Stopped, RunEnd::Cut, now);
        }
    }

    /// Ends what is due and stops what has no lease any more.
    pub fn advance(&mut self, now: Moment) {
        let due: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, it)| it.state == TaskState::Running)
            .filter(|(_, it)| it.ends_at <= now || it.lease_until <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let Some(it) = self.tasks.get(&task) else { continue };
            let (at, state, end) = if it.lease_until <= it.ends_at {
                (it.lease_until, TaskState::Lapsed, RunEnd::Cut)
            } else if it.work.fails {
                let reason = String::from("The task ended with an error.");
                (it.ends_at, TaskState::Failed { reason }, RunEnd::Failed)
            } else {
                let output = format!("done {}", task.job);
                (it.ends_at, TaskState::Finished { output }, RunEnd::Finished)
            };
            self.end(&task, state, end, at);
        }
    }

    /// Carries out a batch of orders.
    pub fn sync(&mut self, sync: WorkerSync, now: Moment) -> WorkerAnswer {
        self.advance(now);
        let owner = self.owners.entry(sync.pool.clone()).or_default();
        if sync.fence < owner.fence {
            return WorkerAnswer::Fenced { newest: owner.fence };
        }
        owner.fence = sync.fence;
        if let Some(ticket) = &sync.ticket
            && ticket.boot == self.boot
            && ticket.serial >= owner.quoted
        {
            owner.quoted = ticket.serial;
            let lease_until = ticket.at + sync.lease;
            for order in sync.orders {
                self.carry_out(&sync.pool, order, lease_until, now);
            }
        }
        self.serial += 1;
        self.report(&sync.pool, now)
    }

    fn carry_out(&mut self, pool: &PoolName, order: TaskOrder, lease_until: Moment, now: Moment) {
        match order {
            TaskOrder::Start(start) => self.start(pool, start, lease_until, now),
            TaskOrder::Renew { task } => {
                if let Some(it) = self.tasks.get_mut(&task) {
                    it.lease_until = it.lease_until.max(lease_until);
                }
            }
            TaskOrder::Throttle { task, to } => {
                if let Some(it) = self.tasks.get_mut(&task) {
                    it.limit = Some(to);
                }
            }
            TaskOrder::Checkpoint { task } => self.checkpoint(pool, task, now),
            TaskOrder::Stop { task } => {
                self.refuse_unknown(pool, &task);
                if self.is_running(&task) {
                    self.end(&task, TaskState::Stopped, RunEnd::Cut, now);
                }
            }
            TaskOrder::Forget { task } => {
                if !self.is_running(&task) {
                    self.tasks.remove(&task);
                }
            }
        }
    }

    fn start(&mut self, pool: &PoolName, start: TaskStart, lease_until: Moment, now: Moment) {
        if self.tasks.contains_key(&start.task) {
            return;
        }
        if lease_until <= now {
            self.refuse_unknown(pool, &start.task);
            return;
        }
        let mut work: Work = serde_json::from_str(&start.payload).unwrap_or_default();
        let done = start.checkpoint.as_deref().and_then(|it| it.parse().ok()).unwrap_or(0);
        work.run_ms = work.run_ms.saturating_sub(done);
        if self.conduct == Conduct::FailsEverything {
            work = Work { run_ms: 0, fails: true, ..work };
        }
        let run = Run {
            task: start.task.clone(),
            payload: start.payload,
            checkpoint: start.checkpoint,
            began: now,
            ended: None,
        };
        self.record.push(run);
        let task = Task {
            pool: pool.clone(),
            state: TaskState::Running,
            lease_until,
            ends_at: now + work.run_ms,
            began: now,
            work,
            limit: None,
            run: Some(self.record.len() - 1),
        };
        self.tasks.insert(start.task, task);
        self.advance(now);
    }

    fn checkpoint(&mut self, pool: &PoolName, task: TaskId, now: Moment) {
        self.refuse_unknown(pool, &task);
        if !self.is_running(&task) {
            return;
        }
        let before = self.run_of(&task).and_then(|it| it.checkpoint.clone());
        let before: Millisecond = before.and_then(|it| it.parse().ok()).unwrap_or(0);
        let began = self.tasks.get(&task).map_or(now, |it| it.began);
        let checkpoint = (before + now.since(began)).to_string();
        self.end(&task, TaskState::Checkpointed { checkpoint }, RunEnd::Checkpointed, now);
    }

    /// A task that is ordered to end before it started never starts.
    fn refuse_unknown(&mut self, pool: &PoolName, task: &TaskId) {
        self.tasks.entry(task.clone()).or_insert_with(|| Task {
            pool: pool.clone(),
            state: TaskState::NotStarted,
            lease_until: Moment::default(),
            ends_at: Moment::default(),
            began: Moment::default(),
            work: Work::default(),
            limit: None,
            run: None,
        });
    }

    fn is_running(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|it| it.state == TaskState::Running)
    }

    fn run_of(&self, task: &TaskId) -> Option<&Run> {
        self.record.get(self.tasks.get(task)?.run?)
    }

    fn end(&mut self, task: &TaskId, state: TaskState, end: RunEnd, at: Moment) {
        let Some(it) = self.tasks.get_mut(task) else { return };
        it.state = state;
        it.ends_at = at;
        if let Some(run) = it.run.and_then(|run| self.record.get_mut(run)) {
            run.ended = Some((at, end));
        }
    }

    fn report(&self, pool: &PoolName, now: Moment) -> WorkerAnswer {
        let tasks = self.tasks.iter().filter(|(_, it)| &it.pool == pool);
        let report = |(task, it): (&TaskId, &Task)| TaskReport {
            task: task.clone(),
            state: it.state.clone(),
            usage: self.usage(it, now),
        };
        let ticket = Ticket { boot: self.boot.clone(), at: now, serial: self.serial };
        WorkerAnswer::Report { ticket, tasks: tasks.map(report).collect() }
    }

    fn usage(&self, task: &Task, now: Moment) -> Option<Usage> {
        let seen_until = if task.state == TaskState::Running { now } else { task.ends_at };
        let run_time = seen_until.since(task.began);
        if task.run.is_none() || now.since(task.began) < self.usage_lag {
            return None;
        }
        let peak = task.limit.map_or(task.work.uses, |limit| Resources {
            millicores: task.work.uses.millicores.min(limit.millicores),
            ..task.work.uses
        });
        Some(Usage { peak, run_time })
    }
}
