//! Jobs of a site, and what truly ran on its workers.

use std::collections::BTreeMap;

use fuchsiamill_http::{Request, Response};
use fuchsiamill_ports::Row;
use fuchsiamill_standin::worker::{Access, Conduct, Run, SetAccess, SetConduct, WorkerRecord};
use http::{HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

use super::{Site, net};

/// A job that a test posts.
#[derive(Clone, Copy, Debug)]
pub struct TestJob<'a> {
    /// Its idempotency key.
    pub key: &'a str,
    /// How long it truly runs, in milliseconds.
    pub run_ms: u64,
    /// What it declares, in millicores.
    pub millicores: u32,
    /// `idempotent` or `at-most-once`.
    pub rerun: &'a str,
}

impl TestJob<'_> {
    fn body(&self, pool: &str, team: &str) -> Value {
        let payload = json!({ "run_ms": self.run_ms, "team": team, "key": self.key });
        json!({
            "pool": pool,
            "resources": { "millicores": self.millicores, "memory_mib": 100, "accelerators": 0 },
            "run_time_ms": 1,
            "payload": payload.to_string(),
            "rerun": self.rerun,
        })
    }
}

impl Site {
    /// Posts a job; `None` when no answer came.
    pub fn post_job(
        &self,
        entry: usize,
        pool: &str,
        team: &str,
        job: &TestJob<'_>,
    ) -> Option<Response> {
        let body = serde_json::to_vec(&job.body(pool, team)).unwrap();
        let request = Request::post("/v1/jobs", body).header(
            HeaderName::from_static("idempotency-key"),
            HeaderValue::from_str(job.key).unwrap(),
        );
        net::send(self.entries[entry].caller, net::with_key(request, &format!("{team}-key")))
    }

    /// Posts a job until it is accepted, and gives its id.
    pub fn accept_job(&self, entry: usize, pool: &str, team: &str, job: &TestJob<'_>) -> String {
        let mut id = None;
        super::wait_until("the job is accepted", || {
            let response = self.post_job(entry, pool, team, job);
            let accepted = response.filter(|it| it.status == http::StatusCode::ACCEPTED);
            id = accepted.and_then(|it| text(&value(&it), "id"));
            id.is_some()
        });
        id.unwrap()
    }

    /// What a team is told of a job.
    pub fn job(&self, entry: usize, team: &str, id: &str) -> Option<Response> {
        let request = Request::get(format!("/v1/jobs/{id}"));
        net::send(self.entries[entry].caller, net::with_key(request, &format!("{team}-key")))
    }

    /// The state of a job, empty while it cannot be told.
    pub fn job_state(&self, entry: usize, team: &str, id: &str) -> String {
        let response = self.job(entry, team, id).filter(|it| it.status.is_success());
        response.and_then(|it| text(&value(&it), "state")).unwrap_or_default()
    }

    /// Cancels a job.
    pub fn cancel_job(&self, entry: usize, team: &str, id: &str) -> Option<Response> {
        let request = Request { method: Method::DELETE, ..Request::get(format!("/v1/jobs/{id}")) };
        net::send(self.entries[entry].caller, net::with_key(request, &format!("{team}-key")))
    }

    /// Waits until a job is over and gives its state.
    pub fn wait_job(&self, entry: usize, team: &str, id: &str) -> String {
        let mut state = String::new();
        super::wait_until("the job is over", || {
            state = self.job_state(entry, team, id);
            !matches!(state.as_str(), "" | "waiting" | "running")
        });
        state
    }

    /// The index of the entry host that holds the lease on a pool's jobs.
    pub fn job_owner(&self, pool: &str) -> usize {
        let keys = [format!("job-lease/{pool}")];
        let rows: Vec<Option<Row>> = net::post(self.standins.platform, "/table/get", &keys);
        let row = rows[0].as_ref().expect("a lease was taken");
        let holder = text(&row.value, "entry").expect("a holder");
        self.entries.iter().position(|it| it.name == holder).expect("an entry host of the site")
    }

    /// What truly ran on every worker.
    pub fn worker_record(&self) -> Vec<WorkerRecord> {
        net::post(self.standins.workers, "/record", &())
    }

    /// What truly ran, by job.
    pub fn runs_by_job(&self) -> BTreeMap<String, Vec<Run>> {
        let mut by_job: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in self.worker_record().into_iter().flat_map(|it| it.runs) {
            by_job.entry(run.task.job.to_string()).or_default().push(run);
        }
        by_job
    }

    /// Sets how a worker treats what it starts.
    pub fn worker_conduct(&self, worker: usize, conduct: Conduct) {
        let set = SetConduct { worker: format!("worker-{worker}"), conduct };
        net::post::<_, ()>(self.standins.workers, "/conduct", &set);
    }

    /// Sets whether a worker can be reached.
    pub fn worker_access(&self, worker: usize, access: Access) {
        let set = SetAccess { worker: format!("worker-{worker}"), access };
        net::post::<_, ()>(self.standins.workers, "/access", &set);
    }

    /// Restarts a worker's agent; its tasks end.
    pub fn restart_worker(&self, worker: usize) {
        net::post::<_, ()>(self.standins.workers, "/restart", &format!("worker-{worker}"));
    }
}

/// The JSON body of a response.
pub fn value(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

fn text(value: &Value, field: &str) -> Option<String> {
    value.get(field).and_then(Value::as_str).map(str::to_owned)
}
