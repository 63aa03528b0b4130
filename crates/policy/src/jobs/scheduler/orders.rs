//! Orders to workers, and what follows from their answers or from the lack of answers.

use fuchsiamill_model::{
    FastMap, Host, HostName, JobId, Moment, Resources,
    task::{
        Fence, TaskId, TaskOrder, TaskReport, TaskStart, TaskState, Ticket, Usage, WorkerAnswer,
        WorkerSync,
    },
};

use super::{Entry, Proposal, Scheduler, Start, Throttle, UnitChange, WriteIds, running_of};
use crate::{
    jobs::{
        health::Verdict,
        row::{Cancel, JobRow, Running},
        stage::{Job, TaskEnd},
    },
    placement::{Relief, TaskLoad, relieve},
};

/// The largest number of finished tasks whose usage is awaited at the same time.
const MAX_AWAITING_USAGE: usize = 4096;

/// What follows from a worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// Changes to write.
    Propose(Vec<Proposal>),
    /// A later owner, with this fence, has taken over; this one may give no more orders.
    Superseded(Fence),
}

impl Scheduler {
    /// Returns the orders for one worker. Only runs whose row is written are started.
    pub fn orders(&mut self, host: &HostName) -> WorkerSync {
        let ticket = self.workers.quote(host);
        let mut orders: Vec<TaskOrder> = self
            .workers
            .to_forget(host)
            .into_iter()
            .map(|task| TaskOrder::Forget { task })
            .collect();
        if let Some(ticket) = &ticket {
            self.add_task_orders(host, ticket, &mut orders);
            orders.extend(self.relief_order(host));
        }
        let (pool, fence, lease) = (self.pool.clone(), self.fence, self.timing.lease);
        WorkerSync { pool, fence, lease, ticket, orders }
    }

    /// Returns the hosts with a run that is written and not yet ordered.
    pub fn hosts_to_order(&self) -> Vec<HostName> {
        let is_unsent = |job: &JobId| {
            self.entries.get(job).is_some_and(|it| {
                it.start == Start::NotSent && it.pending.is_none() && running_of(&it.row).is_some()
            })
        };
        let hosts = self.on_host.iter().filter(|(_, jobs)| jobs.iter().any(is_unsent));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the hosts for which [`Scheduler::needs_sync`] is true.
    pub fn hosts_to_sync(&self) -> impl Iterator<Item = &Host> {
        let with_jobs = self.on_host.iter().filter(|(_, jobs)| !jobs.is_empty());
        let is_idle = |host: &&HostName| self.on_host.get(*host).is_none_or(Vec::is_empty);
        let with_records = self.workers.hosts_with_records_to_forget().filter(is_idle);
        let names = with_jobs.map(|(host, _)| host).chain(with_records);
        names.filter_map(|host| self.hosts.get(host))
    }

    /// Returns whether a job of the pool is placed on a worker, or the worker has still to drop the record of one.
    pub fn needs_sync(&self, host: &HostName) -> bool {
        let has_jobs = self.on_host.get(host).is_some_and(|jobs| !jobs.is_empty());
        has_jobs || self.workers.has_records_to_forget(host)
    }

    /// Handles a worker's answer to its orders.
    pub fn on_answer(
        &mut self,
        host: &HostName,
        answer: WorkerAnswer,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> AnswerOutcome {
        match answer {
            WorkerAnswer::Fenced { newest } => AnswerOutcome::Superseded(newest),
            WorkerAnswer::Report { ticket, tasks } => {
                AnswerOutcome::Propose(self.on_report(host, ticket, tasks, ids, now))
            }
        }
    }

    /// Ends the runs on workers that have been silent for so long that every lease has run out.
    pub fn give_up_lapsed(&mut self, ids: &mut impl WriteIds, now: Moment) -> Vec<Proposal> {
        let lapsed: Vec<JobId> = self
            .on_host
            .iter()
            .filter(|(host, jobs)| !jobs.is_empty() && self.workers.leases_lapsed(host, now))
            .flat_map(|(_, jobs)| jobs.iter().cloned())
            .collect();
        lapsed.iter().filter_map(|job| self.give_up(job, ids)).collect()
    }

    fn give_up(&mut self, job: &JobId, ids: &mut impl WriteIds) -> Option<Proposal> {
        let end = match self.entries.get(job)?.start {
            Start::NotSent => TaskEnd::NotStarted,
            Start::Unconfirmed | Start::Running => TaskEnd::Lost,
        };
        self.propose_end(job, end, ids)
    }

    fn add_task_orders(&mut self, host: &HostName, ticket: &Ticket, orders: &mut Vec<TaskOrder>) {
        let leaving = self.is_leaving(host);
        for job in self.on_host.get(host).into_iter().flatten() {
            let Some(entry) = self.entries.get_mut(job) else { continue };
            let Some(run) = running_of(&entry.row) else { continue };
            // The lease of a run is not renewed while its end is being written.
            if run.boot != ticket.boot || entry.pending.is_some() {
                continue;
            }
            let order = start_order(entry, run);
            let task = entry.row.core.task();
            match entry.start {
                _ if entry.row.core.cancel == Cancel::Asked => {
                    orders.push(TaskOrder::Stop { task });
                }
                Start::Running => {
                    orders.push(TaskOrder::Renew { task: task.clone() });
                    if leaving {
                        orders.push(TaskOrder::Checkpoint { task });
                    }
                }
                Start::NotSent | Start::Unconfirmed if leaving => {
                    orders.push(TaskOrder::Checkpoint { task });
                }
                Start::NotSent | Start::Unconfirmed => {
                    entry.start = Start::Unconfirmed;
                    orders.push(order);
                }
            }
        }
    }

    fn relief_order(&mut self, host: &HostName) -> Option<TaskOrder> {
        let offered = self.hosts.get(host)?.resources;
        let entries = self.on_host.get(host)?.iter().filter_map(|job| self.entries.get(job));
        let load = |entry: &Entry| {
            let reserved = running_of(&entry.row)?.size;
            Some(task_load(entry, reserved, entry.usage?.peak))
        };
        let loads: Vec<TaskLoad> = entries.filter_map(load).collect();
        match relieve(offered, &loads) {
            Relief::None => None,
            Relief::Throttle(task, to) => {
                let entry = self.entries.get_mut(&task.job)?;
                entry.throttle = Throttle::Ordered(entry.usage?.peak.millicores);
                Some(TaskOrder::Throttle { task, to })
            }
            Relief::Release(task, to) => {
                let entry = self.entries.get_mut(&task.job)?;
                entry.throttle = Throttle::Releasing(entry.throttled_from().unwrap_or(0));
                Some(TaskOrder::Throttle { task, to })
            }
            Relief::Checkpoint(task) => Some(TaskOrder::Checkpoint { task }),
        }
    }

    fn on_report(
        &mut self,
        host: &HostName,
        ticket: Ticket,
        reports: Vec<TaskReport>,
        ids: &mut impl WriteIds,
        now: Moment,
    ) -> Vec<Proposal> {
        let boot = ticket.boot.clone();
        self.workers.record_ticket(host, ticket, now);
        if !self.health.ejected().any(|it| it == host) {
            self.placer.readmit(host);
        }
        let mut by_task: FastMap<TaskId, TaskReport> =
            reports.into_iter().map(|it| (it.task.clone(), it)).collect();
        self.workers.retain_reported(host, |task| by_task.contains_key(task));
        let jobs = self.on_host.get(host).cloned().unwrap_or_default();
        let mut proposals = Vec::new();
        for job in jobs {
            let Some(entry) = self.entries.get(&job) else { continue };
            let Some(run) = running_of(&entry.row) else { continue };
            let report = by_task.remove(&entry.row.core.task());
            let end = match report {
                _ if run.boot != boot && entry.start == Start::NotSent => Some(TaskEnd::NotStarted),
                _ if run.boot != boot => Some(TaskEnd::Lost),
                None => (entry.start == Start::Running).then_some(TaskEnd::Lost),
                Some(report) => self.on_task(host, &job, report, now),
            };
            proposals.extend(end.and_then(|end| self.propose_end(&job, end, ids)));
        }
        for (task, report) in by_task {
            self.on_unmatched_report(host, task, report);
        }
        proposals
    }

    fn on_unmatched_report(&mut self, host: &HostName, task: TaskId, report: TaskReport) {
        if report.state == TaskState::Running {
            return;
        }
        let awaited = self.awaiting_usage.get(&task);
        if awaited.is_some() && report.usage.is_none() {
            return;
        }
        if let (Some((team, kind)), Some(usage)) = (awaited, report.usage) {
            self.sizes.record(team, kind, usage);
        }
        self.awaiting_usage.remove(&task);
        self.workers.allow_forget(host, task);
    }

    fn on_task(
        &mut self,
        host: &HostName,
        job: &JobId,
        report: TaskReport,
        now: Moment,
    ) -> Option<TaskEnd> {
        let entry = self.entries.get_mut(job)?;
        if let Some(usage) = report.usage {
            entry.usage = Some(usage);
            entry.peak = usage.peak;
        }
        if entry.pending.is_some() {
            return None;
        }
        let end = match report.state {
            TaskState::Running => {
                entry.start = Start::Running;
                entry.throttle = entry.throttle.confirmed();
                return None;
            }
            TaskState::Finished { output } => TaskEnd::Finished(output),
            TaskState::Failed { reason } => TaskEnd::Failed(reason),
            TaskState::Checkpointed { checkpoint } => TaskEnd::Checkpointed(checkpoint),
            TaskState::Stopped | TaskState::Lapsed => TaskEnd::Stopped,
            TaskState::NotStarted => TaskEnd::NotStarted,
        };
        self.record_outcome(host, job, &end, report.usage, now);
        Some(end)
    }

    fn record_outcome(
        &mut self,
        host: &HostName,
        job: &JobId,
        end: &TaskEnd,
        usage: Option<Usage>,
        now: Moment,
    ) {
        let Some(entry) = self.entries.get(job) else { return };
        let core = &entry.row.core;
        match end {
            TaskEnd::Finished(_) => {
                self.health.record_success(host);
                match usage {
                    Some(usage) => self.sizes.record(&core.team, &core.spec.kind, usage),
                    None if self.awaiting_usage.len() < MAX_AWAITING_USAGE => {
                        let origin = (core.team.clone(), core.spec.kind.clone());
                        self.awaiting_usage.insert(core.task(), origin);
                    }
                    None => (),
                }
            }
            TaskEnd::Failed(_) if core.failed_on.is_empty() => {
                match self.health.record_failure(host, self.hosts.len(), now) {
                    Verdict::Eject => self.placer.eject(host),
                    Verdict::Keep => (),
                }
            }
            _ => (),
        }
    }

    fn propose_end(
        &mut self,
        job: &JobId,
        end: TaskEnd,
        ids: &mut impl WriteIds,
    ) -> Option<Proposal> {
        let entry = self.entries.get_mut(job)?;
        if entry.pending.is_some() {
            return None;
        }
        let running = Job::<Running>::try_from(entry.row.clone()).ok()?;
        let row: JobRow = running.end(end, ids.next_id()).into();
        entry.pending = Some(row.clone());
        Some(Proposal { version: entry.version, row, unit: UnitChange::GiveBack })
    }
}

fn task_load(entry: &Entry, reserved: Resources, mut used: Resources) -> TaskLoad {
    // The peak of a throttled task may date from before it was throttled.
    if matches!(entry.throttle, Throttle::Active(_)) {
        used.millicores = used.millicores.min(reserved.millicores);
    }
    let throttled_from = entry.throttled_from();
    TaskLoad { task: entry.row.core.task(), reserved, used, throttled_from }
}

fn start_order(entry: &Entry, run: &Running) -> TaskOrder {
    TaskOrder::Start(TaskStart {
        task: entry.row.core.task(),
        payload: entry.row.core.spec.payload.clone(),
        resources: run.size,
        checkpoint: run.checkpoint.clone(),
    })
}
