//! Serves what the store holds about a job.

use anyhow::{Context, Result};
use fuchsiamill_api::story::{JobStory, StepStory, TaskStory};
use fuchsiamill_fleet::{
    Cancellation, JobOwner, JobRecord, JobSpec, Name, RECORD_TASKS, RecordKey, TaskRecord,
};
use fuchsiamill_http::Response;
use fuchsiamill_platform::{Key, Store};
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::tables;

/// The prefix of the HTTP paths; the job's id follows.
pub const PATH_PREFIX: &str = "/jobs/";

/// The most rows of one job's progress that are read for an operator.
const MAX_ROWS: u64 = 64;

/// Returns the HTTP response for one job.
pub async fn reply(store: &Store, id: &Name) -> Response {
    match read(store, id).await {
        Ok(Some(story)) => match serde_json::to_vec(&story) {
            Ok(body) => Response::json(StatusCode::OK, body),
            Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
        Ok(None) => Response::text(StatusCode::NOT_FOUND, format!("no job '{id}' is stored")),
        Err(e) => Response::text(StatusCode::SERVICE_UNAVAILABLE, format!("{e:#}")),
    }
}

/// Reads a job's rows from the store; returns `None` if the job is not stored.
pub async fn read(store: &Store, id: &Name) -> Result<Option<JobStory>> {
    let Some(spec) = row::<JobSpec>(store, &tables::job_key(id)).await? else { return Ok(None) };
    let progress = progress(store, id, &spec).await?;
    let cancel_asked = is_cancel_asked(store, id, &spec).await?;
    Ok(Some(JobStory { cancel_asked, ..story(id, &spec, progress.as_ref()) }))
}

async fn is_cancel_asked(store: &Store, id: &Name, spec: &JobSpec) -> Result<bool> {
    for scope in JobOwner::from(spec).scopes() {
        let key = tables::cancel_key(&Cancellation { job: id.clone(), scope });
        if store.read_row(&key).await?.0.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Reads the rows of a job's progress; of a job with many occurrences only the first [`MAX_ROWS`].
async fn progress(store: &Store, id: &Name, spec: &JobSpec) -> Result<Option<JobRecord>> {
    let tasks = spec.task_count().saturating_mul(spec.schedule.map_or(1, |it| it.times.into()));
    let count = tasks.div_ceil(RECORD_TASKS).clamp(1, MAX_ROWS) as u32;
    let mut rows = Vec::new();
    for part in 0..count {
        let key = RecordKey { job: id.clone(), part };
        let record = row::<JobRecord>(store, &tables::progress_key(&key.row_name())).await?;
        rows.extend(record.map(|it| (part, it)));
    }
    Ok(JobRecord::merge(&rows, spec))
}

async fn row<T: DeserializeOwned>(store: &Store, key: &Key) -> Result<Option<T>> {
    let (row, _) = store.read_row(key).await?;
    let value = row.map(|it| serde_json::from_slice(&it.value)).transpose();
    value.with_context(|| format!("the row '{}' of table '{}' cannot be read", key.key, key.table))
}

/// Combines a job as accepted with its progress, which is `None` until the coordinator has stored any.
pub fn story(id: &Name, spec: &JobSpec, progress: Option<&JobRecord>) -> JobStory {
    let nothing = JobRecord::default();
    let progress = progress.unwrap_or(&nothing);
    let steps = if progress.stage.is_over() { Vec::new() } else { steps(spec, progress) };
    JobStory {
        id: id.to_string(),
        queue: spec.queue.to_string(),
        team: spec.team.to_string(),
        pool: spec.route.pool.to_string(),
        accepted: spec.accepted,
        stage: progress.stage.as_str().into(),
        cancel_asked: false,
        max_attempts: spec.route.max_attempts,
        steps,
    }
}

/// Returns the steps of all occurrences up to the last one with a recorded task, and at least those of the first.
fn steps(spec: &JobSpec, progress: &JobRecord) -> Vec<StepStory> {
    let done = progress.done.iter().map(|it| it.occurrence);
    let last = progress.tasks.iter().map(|it| it.occurrence).chain(done).max().unwrap_or(0);
    let occurrences = 0..=last;
    let all = occurrences.flat_map(|k| spec.steps.iter().enumerate().map(move |it| (k, it)));
    let done_of = |occurrence, step| {
        let own = progress.done.iter().filter(|it| (it.occurrence, it.step) == (occurrence, step));
        own.map(|it| it.count).sum::<u32>()
    };
    all.map(|(occurrence, (number, step))| {
        let step_number = number as u16;
        let of_step = || {
            let tasks = progress.tasks.iter();
            tasks.filter(move |it| it.occurrence == occurrence && it.step == step_number)
        };
        let task = |it: &TaskRecord| TaskStory {
            index: it.index,
            run: it.run,
            failures: it.failures,
            worker: it.on.as_ref().map(|(worker, _)| worker.to_string()),
        };
        StepStory {
            occurrence,
            step: step_number,
            count: step.count,
            done: done_of(occurrence, step_number) + of_step().filter(|it| it.done).count() as u32,
            after: step.after.clone(),
            tasks: of_step().filter(|it| !it.done).map(task).collect(),
        }
    })
    .collect()
}
