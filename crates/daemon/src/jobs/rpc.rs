//! The calls of the operator port about jobs of every team.

use std::{collections::BTreeMap, rc::Rc};

use fuchsiamill_api::{JobFilter, JobRef, JobReport, JobState, JobView, plans::Reason};
use fuchsiamill_model::{JobId, PoolName, Problem, ProblemKind};
use fuchsiamill_peer::{CallReceiver, Failure, Router, call_channel};
use fuchsiamill_policy::jobs::JobRow;
use fuchsiamill_ports::{Range, Row, Table};

use super::{
    api::look_up,
    intake::Canceller,
    rows::{JobIndex, ended_prefix, ended_start, index_key, job_prefix, value_of},
};
use crate::{
    cx::Cx,
    operator::{Asked, answer},
};

/// The most jobs of one list.
const MOST_LISTED: usize = 1_000;
const PAGE_ROWS: usize = 500;

/// The calls of this module, before its task is started.
pub struct Inputs {
    list: CallReceiver,
    show: CallReceiver,
    cancel: CallReceiver,
}

/// Routes the calls of this module.
pub fn route(router: &mut Router) -> Inputs {
    let mut input = |method| {
        let (tx, rx) = call_channel();
        router.route(method, tx);
        rx
    };
    Inputs { list: input("job.list"), show: input("job.show"), cancel: input("job.cancel") }
}

impl Inputs {
    /// Starts to answer.
    pub fn start(self, cx: &Rc<Cx>) {
        answer(self.list, cx, async |cx, asked: Asked<JobFilter>| {
            let listed = list(&cx, &asked.params).await;
            listed.map_err(|e| Failure::refused(e.to_string()))
        });
        answer(self.show, cx, async |cx, asked: Asked<JobRef>| {
            Ok(report(&cx, look_up(&cx, &asked.params.job, None).await, Reason::Unavailable).await)
        });
        answer(self.cancel, cx, async |cx, asked: Asked<JobRef>| {
            let by = Canceller::Operator(asked.who);
            let cancelled = cx.jobs.cancel(asked.params.job, by).await;
            Ok(report(&cx, cancelled, Reason::InDoubt).await)
        });
    }
}

/// What is told of one job; `unsure` is the reason where the table did not confirm.
async fn report(cx: &Cx, found: super::Result<JobRow>, unsure: Reason) -> JobReport {
    match found {
        Ok(row) => {
            let mut views = vec![JobView::from(&row)];
            add_waits(cx, &mut views).await;
            JobReport::Job(Box::new(views.remove(0)))
        }
        Err(problem) => not_done(problem, unsure),
    }
}

fn not_done(problem: Problem, unsure: Reason) -> JobReport {
    if problem.kind == ProblemKind::NotFound {
        let detail = "There is no such job; see 'fuchsiamill job list'.".into();
        return JobReport::NotDone { reason: Reason::Refused, detail };
    }
    let detail = format!("{} Ask again; a repeat acts once.", problem.detail);
    JobReport::NotDone { reason: unsure, detail }
}

async fn list(cx: &Cx, filter: &JobFilter) -> fuchsiamill_ports::Result<Vec<JobView>> {
    let limit = filter.limit.unwrap_or(MOST_LISTED).min(MOST_LISTED);
    let pools: Vec<PoolName> = match &filter.pool {
        Some(pool) => vec![pool.clone()],
        None => cx.config.current().pools.keys().cloned().collect(),
    };
    let mut views = Vec::new();
    for pool in pools {
        let left = limit - views.len();
        let rows = if filter.asks_for_ended() {
            ended(cx, &pool, filter, left).await?
        } else {
            live(cx, &pool, filter, left).await?
        };
        views.extend(rows.iter().map(JobView::from));
    }
    add_waits(cx, &mut views).await;
    Ok(views)
}

/// The first jobs of a pool that are not over, in the order of their ids.
async fn live(
    cx: &Cx,
    pool: &PoolName,
    filter: &JobFilter,
    most: usize,
) -> fuchsiamill_ports::Result<Vec<JobRow>> {
    let mut found = Vec::new();
    let mut range = Range::prefix(&job_prefix(pool), PAGE_ROWS);
    while found.len() < most {
        let page = cx.table.range(&range).await?;
        let next = next_start(&page);
        let rows = page.into_iter().filter_map(|row| value_of::<JobRow>(Some(row)));
        found.extend(rows.map(|(row, _)| row).filter(|row| filter.takes(row)));
        match next {
            Some(start) => range.start = start,
            None => break,
        }
    }
    found.truncate(most);
    Ok(found)
}

/// The first jobs of a pool that are over, in the order of their ends.
async fn ended(
    cx: &Cx,
    pool: &PoolName,
    filter: &JobFilter,
    most: usize,
) -> fuchsiamill_ports::Result<Vec<JobRow>> {
    let mut found = Vec::new();
    let mut range = Range::prefix(&ended_prefix(pool), PAGE_ROWS);
    if let Some(since) = filter.ended_since {
        range.start = ended_start(pool, since);
    }
    while found.len() < most {
        let page = cx.table.range(&range).await?;
        let next = next_start(&page);
        let keys: Vec<String> = page
            .into_iter()
            .filter_map(|row| value_of::<JobId>(Some(row)))
            .map(|(job, _)| index_key(&job))
            .collect();
        let indexes = cx.table.get(&keys).await?.into_iter();
        let rows = indexes.filter_map(|row| value_of::<JobIndex>(row)?.0.ended);
        found.extend(rows.filter(|row| filter.takes(row)));
        match next {
            Some(start) => range.start = start,
            None => break,
        }
    }
    found.truncate(most);
    Ok(found)
}

/// Where the next page begins; `None` after the last one.
fn next_start(page: &[Row]) -> Option<String> {
    let last = page.last().filter(|_| page.len() == PAGE_ROWS)?;
    Some(format!("{}\0", last.key))
}

/// Asks the owners of the pools why the jobs that wait do so.
async fn add_waits(cx: &Cx, views: &mut [JobView]) {
    let mut waiting: BTreeMap<PoolName, Vec<usize>> = BTreeMap::new();
    for (index, view) in views.iter().enumerate().filter(|(_, it)| it.state == JobState::Waiting) {
        waiting.entry(view.pool.clone()).or_default().push(index);
    }
    for (pool, indexes) in waiting {
        let jobs = indexes.iter().map(|it| views[*it].id.clone()).collect();
        let told = cx.jobs.waits(cx, &pool, jobs).await;
        for (index, cause) in indexes.into_iter().zip(told) {
            views[index].waits_for = cause;
        }
    }
}
