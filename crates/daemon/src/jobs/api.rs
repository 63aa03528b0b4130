//! `POST /v1/jobs`, and `GET` and `DELETE /v1/jobs/{id}`.

use std::rc::Rc;

use fuchsiamill_api::{JobState, JobView};
use fuchsiamill_http::{Request, Response};
use fuchsiamill_model::{
    Configuration, JobId, JobKind, KeyDigest, Millisecond, PoolName, Problem, ProblemKind,
    Resources, RunState, ServiceName, TeamName, config::PoolRole,
};
use fuchsiamill_policy::{
    jobs::{Begun, Cancel, Ended, JobCore, JobRow, JobSpec, Rerun, Stage, WriteId},
    keys::{Bearer, KeyRing},
};
use fuchsiamill_ports::Table;
use http::{HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::{
    Result,
    intake::Canceller,
    rows::{JobIndex, index_key, job_id, job_key, new_write_id, value_of},
};
use crate::cx::Cx;

const JOBS: &str = "/v1/jobs";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const LONGEST_IDEMPOTENCY_KEY: usize = 256;
const LONGEST_RUN_MS: Millisecond = 30 * 24 * 3_600_000;
const RETRY_AFTER_MS: Millisecond = 1_000;
/// Reads of a job that just moves from its row to its index, before the caller is told to ask again.
const READS: usize = 3;

/// What a caller posts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    pool: Option<PoolName>,
    service: Option<ServiceName>,
    kind: Option<JobKind>,
    resources: Resources,
    run_time_ms: Millisecond,
    payload: String,
    #[serde(default)]
    rerun: Rerun,
}

/// What a caller is told of a job.
#[derive(Debug, Serialize)]
struct View {
    id: JobId,
    pool: PoolName,
    state: JobState,
    attempt: u32,
    cancel: Cancel,
    #[serde(skip_serializing_if = "Option::is_none")]
    run: Option<RunState>,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Whether a path is one of jobs.
pub fn is_jobs_path(path: &str) -> bool {
    path == JOBS || path.strip_prefix(JOBS).is_some_and(|it| it.starts_with('/'))
}

/// The same refusal where it is not known whether an earlier request with the same key was accepted.
pub fn before_look_up(problem: Problem) -> Problem {
    Problem { run: RunState::Unknown, ..problem }
}

/// Answers a request on the path of jobs.
pub async fn serve(cx: &Rc<Cx>, ring: &KeyRing, request: &Request) -> Result<Response> {
    let team = team(ring, request)?;
    check_standing(cx)?;
    let path = request.path();
    if path == JOBS {
        return match request.method {
            Method::POST => accept(cx, team, request).await,
            _ => Err(wrong_method(request)),
        };
    }
    let id = path.strip_prefix(JOBS).and_then(|it| it.strip_prefix('/'));
    let job = id.and_then(|it| JobId::try_from(it).ok()).ok_or_else(no_job)?;
    match request.method {
        Method::GET => answer(StatusCode::OK, &look_up(cx, &job, Some(&team)).await?),
        Method::DELETE => {
            let row = cx.jobs.cancel(job, Canceller::Team(team)).await?;
            let over = matches!(row.stage, Stage::Ended(_));
            answer(if over { StatusCode::OK } else { StatusCode::ACCEPTED }, &row)
        }
        _ => Err(wrong_method(request)),
    }
}

async fn accept(cx: &Rc<Cx>, team: TeamName, request: &Request) -> Result<Response> {
    let key = idempotency_key(request)?;
    let wanted: Wanted = serde_json::from_slice(&request.body)
        .map_err(|e| Problem::not_run(ProblemKind::BadRequest, format!("The job: {e}.")))?;
    let config = cx.config.current();
    let pool = pool_of(&config, &wanted)?;
    if wanted.payload.len() > cx.settings.jobs.payload_bytes {
        let detail = format!("The payload is over {} bytes.", cx.settings.jobs.payload_bytes);
        return Err(Problem::not_run(ProblemKind::TooLarge, detail));
    }
    let refusal = unplaceable(&config, &pool, wanted.resources);
    let kind = wanted.kind.unwrap_or_else(|| "default".parse().expect("a name"));
    let spec = JobSpec {
        kind,
        resources: wanted.resources,
        run_time: wanted.run_time_ms.min(LONGEST_RUN_MS),
        payload: wanted.payload,
        rerun: wanted.rerun,
    };
    let digest = digest_of(&pool, &spec);
    let core = new_core(cx, job_id(&team, &key), pool, team, spec, new_write_id());
    let row = cx.jobs.accept(JobRow::accepted(core), digest, refusal).await?;
    let location = HeaderValue::from_str(&format!("{JOBS}/{}", row.core.id));
    let response = answer(StatusCode::ACCEPTED, &row)?;
    Ok(match location {
        Ok(location) => response.header(header::LOCATION, location),
        Err(_) => response,
    })
}

/// The refusal of a job that is larger than every host of its pool.
fn unplaceable(config: &Configuration, pool: &PoolName, size: Resources) -> Option<Problem> {
    let fits = config.hosts_of(pool).any(|it| it.resources.fits(size));
    let detail = || format!("No host of pool '{pool}' is large enough for the job.");
    (!fits).then(|| Problem::not_run(ProblemKind::Unplaceable, detail()))
}

fn new_core(
    cx: &Cx,
    id: JobId,
    pool: PoolName,
    team: TeamName,
    spec: JobSpec,
    write: WriteId,
) -> JobCore {
    JobCore {
        id,
        pool,
        team,
        spec,
        accepted_at: cx.clock.wall(),
        attempt: 0,
        begun: Begun::Never,
        failed_on: Vec::new(),
        cancel: Cancel::No,
        writes: vec![write],
    }
}

fn digest_of(pool: &PoolName, spec: &JobSpec) -> String {
    let spec = serde_json::to_string(spec).unwrap_or_default();
    KeyDigest::of(&format!("{pool}/{spec}")).to_string()
}

fn pool_of(config: &Configuration, wanted: &Wanted) -> Result<PoolName> {
    let pool = match (&wanted.pool, &wanted.service) {
        (Some(pool), None) => config.pools.get(pool),
        (None, Some(service)) => {
            config.services.get(service).and_then(|it| config.pools.get(&it.pool))
        }
        _ => {
            let detail = "The job names a pool or a service, and not both.";
            return Err(Problem::not_run(ProblemKind::BadRequest, detail));
        }
    };
    let serving = pool.filter(|it| it.role == PoolRole::Serving);
    serving.map(|it| it.name.clone()).ok_or_else(|| {
        Problem::not_run(ProblemKind::NotFound, "There is no such pool or service for jobs.")
    })
}

/// Reads a job; only one of `team`, if a team is given.
pub(super) async fn look_up(cx: &Cx, job: &JobId, team: Option<&TeamName>) -> Result<JobRow> {
    for _ in 0..READS {
        let index = read::<JobIndex>(cx, index_key(job)).await?;
        let index =
            index.filter(|it| team.is_none_or(|team| &it.team == team)).ok_or_else(no_job)?;
        if let Some(ended) = index.ended {
            return Ok(ended);
        }
        if let Some(row) = read(cx, job_key(&index.pool, job)).await? {
            return Ok(row);
        }
    }
    Err(store_unavailable("The job is just ending."))
}

async fn read<T: serde::de::DeserializeOwned>(cx: &Cx, key: String) -> Result<Option<T>> {
    let rows = cx.table.get(&[key]).await;
    let rows = rows.map_err(|_| store_unavailable("The job's row cannot be read now."))?;
    Ok(value_of(rows.into_iter().next().flatten()).map(|(value, _)| value))
}

fn answer(status: StatusCode, row: &JobRow) -> Result<Response> {
    let body = serde_json::to_vec(&view(row)).unwrap_or_default();
    Ok(Response::json(status, body))
}

fn view(row: &JobRow) -> View {
    let output = match &row.stage {
        Stage::Ended(Ended::Finished { output }) => Some(output.clone()),
        _ => None,
    };
    let JobView { id, pool, state, attempt, cancel, run, detail, .. } = JobView::from(row);
    View { id, pool, state, attempt, cancel, run, output, detail }
}

fn team(ring: &KeyRing, request: &Request) -> Result<TeamName> {
    let presented = request
        .text_header(header::AUTHORIZATION.as_str())
        .and_then(|it| it.strip_prefix("Bearer "));
    match ring.bearer(presented)? {
        Bearer::Team { team, .. } => Ok(team),
        Bearer::Open => Err(Problem::not_run(ProblemKind::KeyMissing, "A job needs a team's key.")),
    }
}

fn check_standing(cx: &Cx) -> Result<()> {
    match cx.cluster.standing().refusal() {
        None => Ok(()),
        Some(reason) => {
            let problem = Problem::unknown(ProblemKind::NotInStanding, reason);
            Err(problem.retry_after(RETRY_AFTER_MS))
        }
    }
}

fn idempotency_key(request: &Request) -> Result<String> {
    let key = request.text_header(IDEMPOTENCY_KEY).filter(|it| !it.is_empty());
    match key {
        Some(key) if key.len() <= LONGEST_IDEMPOTENCY_KEY => Ok(key.to_owned()),
        Some(_) => {
            let detail = format!("The idempotency key is over {LONGEST_IDEMPOTENCY_KEY} bytes.");
            Err(Problem::not_run(ProblemKind::BadRequest, detail))
        }
        None => {
            let detail = "A job needs an idempotency key.";
            Err(Problem::not_run(ProblemKind::IdempotencyKeyMissing, detail))
        }
    }
}

fn wrong_method(request: &Request) -> Problem {
    let detail = format!("'{}' does not take {}.", request.path(), request.method);
    Problem::not_run(ProblemKind::MethodNotAllowed, detail)
}

fn no_job() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "The team has no such job.")
}

fn store_unavailable(detail: &str) -> Problem {
    Problem::unknown(ProblemKind::StoreUnavailable, detail).retry_after(RETRY_AFTER_MS)
}
