//! Accepts and cancels jobs, many in one write.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fuchsiamill_api::{AuditOutcome, AuditRecord};
use fuchsiamill_model::{
    ChangeId, JobId, Moment, OperatorName, PoolName, Problem, ProblemKind, TeamName, WallTime,
};
use fuchsiamill_policy::jobs::{Cancel, Job, JobRow, Running, Stage, Waiting};
use fuchsiamill_ports::{Commit, CommitOutcome, RowVersion, Table};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot};

use super::{
    Result,
    rows::{JobIndex, ended_key, index_key, job_key, new_write_id, value_of},
};
use crate::{audit::key_of, cx::Cx};

const RETRY_PERIOD: Duration = Duration::from_millis(100);
const RETRY_AFTER_MS: u64 = 2_000;

type Reply = oneshot::Sender<Result<JobRow>>;

/// What callers ask for.
pub(super) enum Request {
    /// Keep a job.
    Accept {
        /// The job's first row.
        row: Box<JobRow>,
        /// The digest of what was asked for.
        request: String,
        /// Why it is refused unless it was accepted before.
        refusal: Option<Problem>,
        /// Where the answer goes.
        reply: Reply,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Who asks.
        by: Canceller,
        /// Where the answer goes.
        reply: Reply,
    },
}

/// Who cancels a job.
#[derive(Clone, Debug)]
pub(super) enum Canceller {
    /// A team, one of its own jobs.
    Team(TeamName),
    /// An operator, a job of any team; the audit trail tells.
    Operator(OperatorName),
}

impl Canceller {
    fn may_cancel(&self, index: &JobIndex) -> bool {
        match self {
            Canceller::Team(team) => team == &index.team,
            Canceller::Operator(_) => true,
        }
    }
}

impl Request {
    fn job(&self) -> &JobId {
        match self {
            Request::Accept { row, .. } => &row.core.id,
            Request::Cancel { job, .. } => job,
        }
    }

    fn answer(self, answer: Result<JobRow>) {
        let (Request::Accept { reply, .. } | Request::Cancel { reply, .. }) = self;
        let _ = reply.send(answer);
    }
}

struct Pending {
    request: Request,
    until: Moment,
}

/// The job as the table has it.
struct Found {
    index: Option<JobIndex>,
    live: Option<(JobRow, RowVersion)>,
}

enum Step {
    Answer(Box<Result<JobRow>>),
    Write(Box<JobRow>),
}

/// The task that accepts and cancels.
pub(super) struct Intake {
    cx: Rc<Cx>,
    rx: mpsc::UnboundedReceiver<Request>,
    pending: Vec<Pending>,
}

impl Intake {
    /// An intake that was asked for nothing yet.
    pub(super) fn new(cx: Rc<Cx>, rx: mpsc::UnboundedReceiver<Request>) -> Self {
        Self { cx, rx, pending: Vec::new() }
    }

    /// Runs until the daemon ends. What comes in during a write goes into the next one.
    pub(super) async fn run(mut self) {
        loop {
            if self.pending.is_empty() {
                let Some(request) = self.rx.recv().await else { return };
                self.add(request);
            }
            while let Ok(request) = self.rx.try_recv() {
                self.add(request);
            }
            let most = self.cx.settings.jobs.batch.min(self.pending.len());
            let batch: Vec<Pending> = self.pending.drain(..most).collect();
            let left = self.write(batch).await;
            let stuck = !left.is_empty();
            self.pending.extend(left);
            self.refuse_overdue();
            if stuck {
                sleep(RETRY_PERIOD).await;
            }
        }
    }

    fn add(&mut self, request: Request) {
        let until = self.cx.clock.now() + self.cx.settings.callers.default_deadline_ms;
        self.pending.push(Pending { request, until });
    }

    fn refuse_overdue(&mut self) {
        let now = self.cx.clock.now();
        for it in std::mem::take(&mut self.pending) {
            if it.until > now {
                self.pending.push(it);
                continue;
            }
            let detail = "The platform's table service did not confirm the write in time.";
            let kind = ProblemKind::StoreUnavailable;
            let problem = Problem::unknown(kind, detail);
            it.request.answer(Err(problem.retry_after(RETRY_AFTER_MS)));
        }
    }

    /// Writes a batch and gives back what could not be decided.
    async fn write(&mut self, batch: Vec<Pending>) -> Vec<Pending> {
        let Ok(found) = self.read(&batch).await else { return batch };
        let mut commit = Commit::default();
        let mut written: BTreeMap<JobId, JobRow> = BTreeMap::new();
        let mut included = Vec::new();
        let mut later = Vec::new();
        for it in batch {
            let job = it.request.job().clone();
            if written.contains_key(&job) {
                later.push(it);
                continue;
            }
            match decide(&it.request, &found[&job]) {
                Step::Answer(answer) => it.request.answer(*answer),
                Step::Write(row) => {
                    commit = add_row(commit, &it.request, &row, &found[&job], self.cx.clock.wall());
                    commit = self.add_record(commit, &it.request, &row);
                    written.insert(job, *row);
                    included.push(it);
                }
            }
        }
        if included.is_empty() {
            return later;
        }
        match self.cx.table.commit(&commit).await {
            Ok(CommitOutcome::Done { .. }) => self.confirm(included, written),
            Ok(CommitOutcome::Conflict { .. }) | Err(_) => later.extend(included),
        }
        later
    }

    /// Adds the audit trail's record of an operator's cancel.
    fn add_record(&self, commit: Commit, request: &Request, row: &JobRow) -> Commit {
        let Request::Cancel { by: Canceller::Operator(who), .. } = request else { return commit };
        let (core, version) = (&row.core, self.cx.config.current().version);
        let write = core.writes.last().expect("every row names its write");
        let record = AuditRecord {
            at: self.cx.clock.wall(),
            id: ChangeId(write.0.clone()),
            who: who.clone(),
            intent: format!("cancel job '{}' of team '{}'", core.id, core.team),
            plan: None,
            before: version,
            after: version,
            outcome: AuditOutcome::Cancelled,
            reason: String::new(),
        };
        commit.absent(key_of(&record)).put(key_of(&record), &record)
    }

    fn confirm(&self, included: Vec<Pending>, written: BTreeMap<JobId, JobRow>) {
        let mut changed: BTreeMap<PoolName, Vec<JobId>> = BTreeMap::new();
        for it in included {
            let row = &written[it.request.job()];
            changed.entry(row.core.pool.clone()).or_default().push(row.core.id.clone());
            it.request.answer(Ok(row.clone()));
        }
        for (pool, jobs) in changed {
            self.cx.jobs.tell_owner(&self.cx, &pool, jobs);
        }
    }

    async fn read(&self, batch: &[Pending]) -> fuchsiamill_ports::Result<BTreeMap<JobId, Found>> {
        let jobs: Vec<JobId> = batch.iter().map(|it| it.request.job().clone()).collect();
        let keys: Vec<String> = jobs.iter().map(index_key).collect();
        let indexes = self.cx.table.get(&keys).await?;
        let mut found: BTreeMap<JobId, Found> = BTreeMap::new();
        for (job, index) in jobs.into_iter().zip(indexes) {
            let index = value_of(index).map(|(index, _)| index);
            found.insert(job, Found { index, live: None });
        }
        let live: Vec<(JobId, String)> = found
            .iter()
            .filter_map(|(job, it)| Some((job.clone(), it.index.as_ref()?)))
            .filter(|(_, index)| index.ended.is_none())
            .map(|(job, index)| (job.clone(), job_key(&index.pool, &job)))
            .collect();
        if live.is_empty() {
            return Ok(found);
        }
        let keys: Vec<String> = live.iter().map(|(_, key)| key.clone()).collect();
        let rows = self.cx.table.get(&keys).await?;
        for ((job, _), row) in live.into_iter().zip(rows) {
            if let Some(it) = found.get_mut(&job) {
                it.live = value_of(row);
            }
        }
        Ok(found)
    }
}

fn decide(request: &Request, found: &Found) -> Step {
    match request {
        Request::Accept { row, request, refusal, .. } => {
            decide_accept(row, request, refusal.as_ref(), found)
        }
        Request::Cancel { by, .. } => decide_cancel(by, found),
    }
}

fn decide_accept(row: &JobRow, request: &str, refusal: Option<&Problem>, found: &Found) -> Step {
    let Some(index) = &found.index else {
        return match refusal {
            Some(problem) => Step::Answer(Box::new(Err(problem.clone()))),
            None => Step::Write(Box::new(row.clone())),
        };
    };
    if index.request != request {
        let detail = "The idempotency key stands for another job.";
        let problem = Problem::unknown(ProblemKind::IdempotencyKeyReused, detail);
        return Step::Answer(Box::new(Err(problem)));
    }
    // A row that was deleted between the two reads belongs to a job that is over.
    let known = index.ended.clone().or_else(|| found.live.as_ref().map(|(row, _)| row.clone()));
    Step::Answer(Box::new(Ok(known.unwrap_or_else(|| row.clone()))))
}

fn decide_cancel(by: &Canceller, found: &Found) -> Step {
    let index = found.index.as_ref().filter(|it| by.may_cancel(it));
    let Some(index) = index else {
        let problem = Problem::not_run(ProblemKind::NotFound, "The team has no such job.");
        return Step::Answer(Box::new(Err(problem)));
    };
    if let Some(ended) = &index.ended {
        return Step::Answer(Box::new(Ok(ended.clone())));
    }
    let Some((row, _)) = &found.live else {
        let detail = "The job is just ending; ask for it again.";
        return Step::Answer(Box::new(Err(Problem::unknown(
            ProblemKind::DuplicateRequest,
            detail,
        ))));
    };
    if row.core.cancel == Cancel::Asked {
        return Step::Answer(Box::new(Ok(row.clone())));
    }
    let write = new_write_id();
    if let Ok(waiting) = Job::<Waiting>::try_from(row.clone()) {
        return Step::Write(Box::new(waiting.cancel(write).into()));
    }
    match Job::<Running>::try_from(row.clone()) {
        Ok(running) => Step::Write(Box::new(running.request_cancel(write).into())),
        Err(_) => Step::Answer(Box::new(Ok(row.clone()))),
    }
}

fn add_row(commit: Commit, request: &Request, row: &JobRow, found: &Found, at: WallTime) -> Commit {
    let core = &row.core;
    let key = job_key(&core.pool, &core.id);
    if let Request::Accept { request, .. } = request {
        let index = JobIndex {
            pool: core.pool.clone(),
            team: core.team.clone(),
            request: request.clone(),
            ended: None,
        };
        let index_key = index_key(&core.id);
        return commit.absent(index_key.clone()).put(index_key, &index).put(key, row);
    }
    let commit = commit.at(key.clone(), found.live.as_ref().map(|(_, version)| *version));
    match (&row.stage, &found.index) {
        (Stage::Ended(_), Some(index)) => {
            let index = JobIndex { ended: Some(row.clone()), ..index.clone() };
            let ended = ended_key(&core.pool, at, &core.id);
            commit.delete(key).put(index_key(&core.id), &index).put(ended, &core.id)
        }
        _ => commit.put(key, row),
    }
}
