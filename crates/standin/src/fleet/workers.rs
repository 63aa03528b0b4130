//! A worker's port: orders under a fence and a lease.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fuchsiamill_http::{Handler, Incoming, Response};
use http::StatusCode;
use monoio::time::sleep;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{
    lock,
    narrow_link::NarrowLinks,
    world::{Worker, WorkerFault, World},
};
use crate::reply;

const HOLD_STEP: Duration = Duration::from_millis(5);

/// Where workers tell whether they are healthy.
pub const HEALTH_PATH: &str = "/healthz";

/// The most ends in one answer.
const MAX_ENDS: usize = 500;

/// The longest lease.
const LONGEST_LEASE_MS: u64 = 10_000;

/// The port of one host, whatever worker lives there.
#[derive(Clone)]
pub struct Port {
    /// The state of everything.
    pub world: Arc<Mutex<World>>,
    /// The host.
    pub host: usize,
}

enum Verdict {
    Serve,
    Silent,
    Unanswered,
    Late(u64),
}

impl Handler for Port {
    async fn handle(&self, incoming: Incoming) -> Response {
        let path = incoming.request.path();
        if lock(&self.world).links.as_ref().is_none_or(|it| !it.holds(path)) {
            return self.serve(incoming).await;
        }
        // The call arrives although its sender gives it up.
        let (port, born, (tx, rx)) = (self.clone(), self.born(), oneshot::channel());
        monoio::spawn(async move {
            port.pass_link(incoming.peer, incoming.request.body.len()).await;
            // A worker that has ended meanwhile takes the call with it, as its connections end.
            let answer = match port.born() == born {
                true => port.serve(incoming).await,
                false => reply::never(incoming).await,
            };
            // The sender may be gone.
            let _ = tx.send(answer);
        });
        rx.await.unwrap_or_else(|_| Response::empty(StatusCode::SERVICE_UNAVAILABLE))
    }
}

impl Port {
    /// Waits until a call that has just arrived from `peer` has passed the link of its sender.
    async fn pass_link(&self, peer: SocketAddr, body_bytes: usize) {
        let arrived = Instant::now();
        let owner = lock(&self.world).links.as_ref().map(|it| it.ask_owner(peer));
        let Some(owner) = owner else { return };
        let sender = owner.await.unwrap_or_default();
        let pass = |it: &mut NarrowLinks| it.pass(sender, body_bytes, arrived);
        let way = lock(&self.world).links.as_mut().map(pass);
        sleep(way.unwrap_or_default()).await;
    }

    async fn serve(&self, incoming: Incoming) -> Response {
        let path = incoming.request.path().to_owned();
        if path == HEALTH_PATH {
            return self.health(incoming).await;
        }
        let Ok(body) = serde_json::from_slice::<Value>(&incoming.request.body) else {
            return Response::empty(StatusCode::BAD_REQUEST);
        };
        let meant = incoming.request.text_header("x-fuchsiamill-expect-instance");
        let meant = meant.unwrap_or_default().to_owned();
        match self.verdict(&path) {
            Verdict::Silent => return reply::never(incoming).await,
            Verdict::Unanswered => {
                self.answer(&path, &body, &meant);
                return reply::never(incoming).await;
            }
            Verdict::Late(ms) => {
                let port = self.clone();
                let born = self.born();
                monoio::spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    // A worker that has ended meanwhile takes the call with it.
                    if port.born() == born {
                        port.answer(&path, &body, &meant);
                    }
                });
                return reply::never(incoming).await;
            }
            Verdict::Serve => {}
        }
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        let born = self.born();
        while path == "/hold" && Instant::now() < until && !self.has_ends(&body) {
            sleep(HOLD_STEP).await;
        }
        // A worker that has ended meanwhile takes the call with it.
        match self.born() == born {
            true => self.answer(&path, &body, &meant),
            false => reply::never(incoming).await,
        }
    }

    fn born(&self) -> Option<u64> {
        lock(&self.world).worker_mut(self.host).map(|it| it.born)
    }

    async fn health(&self, incoming: Incoming) -> Response {
        let fault = {
            let mut world = lock(&self.world);
            let loses_report = world.loses_reports;
            world.worker_mut(self.host).map(|it| it.fault).filter(|_| !loses_report)
        };
        match fault {
            None | Some(WorkerFault::Silent) => reply::never(incoming).await,
            Some(WorkerFault::Sick | WorkerFault::SickFalsely) => {
                Response::empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            Some(_) => Response::empty(StatusCode::OK),
        }
    }

    fn verdict(&self, path: &str) -> Verdict {
        let mut world = lock(&self.world);
        let loses_report = world.loses_reports && path == "/hold";
        match world.worker_mut(self.host).map(|it| it.fault) {
            None | Some(WorkerFault::Silent) => Verdict::Silent,
            Some(WorkerFault::AnswersLost) if path == "/run-start" => Verdict::Unanswered,
            Some(_) if loses_report => Verdict::Unanswered,
            Some(WorkerFault::Late(ms)) if path == "/run-start" => Verdict::Late(ms),
            Some(WorkerFault::StopsLate(ms)) if path == "/run-stop" => Verdict::Late(ms),
            Some(WorkerFault::OrdersLate(ms)) if matches!(path, "/run-start" | "/run-stop") => {
                Verdict::Late(ms)
            }
            Some(_) => Verdict::Serve,
        }
    }

    fn has_ends(&self, body: &Value) -> bool {
        let seen = body["seen_upto"].as_u64().unwrap_or(0);
        let mut world = lock(&self.world);
        world.worker_mut(self.host).is_some_and(|it| it.ended.iter().any(|end| end.0 > seen))
    }

    fn answer(&self, path: &str, body: &Value, meant: &str) -> Response {
        let response = self.carry_out(path, body, meant);
        if matches!(path, "/run-start" | "/run-stop") {
            let (task, run) = task_of(body);
            let (fence, born) = (&body["fence_token"], self.born().unwrap_or_default());
            let order = format!("{path} {task} run {run}, fence {fence}, for {meant}");
            let outcome = format!("{order}: {} of the life born at {born}", response.status);
            lock(&self.world).orders.push((Instant::now(), outcome));
        }
        response
    }

    fn carry_out(&self, path: &str, body: &Value, meant: &str) -> Response {
        let mut world = lock(&self.world);
        let Some(worker) = world.worker_mut(self.host) else {
            return Response::empty(StatusCode::MISDIRECTED_REQUEST);
        };
        if worker.id != meant {
            return Response::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        let fence = body["fence_token"].as_u64().unwrap_or(0);
        if fence < worker.fence {
            return refuse(worker, "fence");
        }
        worker.fence = fence;
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            let longest = worker.clock_ms() + LONGEST_LEASE_MS;
            worker.deadline = worker.deadline.max(deadline.min(longest));
        }
        match path {
            "/hold" => {
                let forgotten = forget_ends(worker, body);
                let answer = hold(worker);
                world.orders.extend(forgotten.map(|it| (Instant::now(), it)));
                answer
            }
            "/run-stop" => stop(&mut world, self.host, body),
            "/run-start" => start(&mut world, self.host, body),
            "/pace" => reply::value(&json!({ "clock_ms": worker.clock_ms() })),
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn refuse(worker: &Worker, reason: &str) -> Response {
    let body = json!({ "clock_ms": worker.clock_ms(), "reason": reason });
    Response::json(StatusCode::CONFLICT, body.to_string())
}

/// Forgets the ends that a poll acknowledges; tells which, if there are any.
fn forget_ends(worker: &mut Worker, body: &Value) -> Option<String> {
    let seen = body["seen_upto"].as_u64().unwrap_or(0);
    let forgotten: Vec<String> = worker
        .ended
        .extract_if(.., |it| it.0 <= seen)
        .map(|(number, task, run, how)| format!("{number}: {task} run {run} {how}"))
        .collect();
    let poll = format!("/hold up to {seen}, fence {}, for {}", body["fence_token"], worker.id);
    let life = format!("the life born at {}", worker.born);
    (!forgotten.is_empty()).then(|| format!("{poll}: {life} forgets {forgotten:?}"))
}

fn hold(worker: &Worker) -> Response {
    let running: Vec<Value> = worker
        .running
        .iter()
        .map(|(task, it)| {
            let left = it.until.saturating_duration_since(Instant::now()).as_millis() as u64;
            let percent = match it.is_lasting {
                true => 100,
                false => 100 - (left * 100 / it.work_ms.max(1)).min(100),
            };
            json!([task, it.run, "", percent, 0])
        })
        .collect();
    let listed = worker.ended.iter().take(MAX_ENDS);
    let ended: Vec<Value> = listed.map(|it| json!([it.0, it.1, it.2, it.3, ""])).collect();
    reply::value(&json!({
        "clock_ms": worker.clock_ms(), "born": worker.born, "running": running, "ended": ended
    }))
}

fn task_of(body: &Value) -> (String, u64) {
    let task = body["task"].as_str().unwrap_or_default().to_owned();
    (task, body["run"].as_u64().unwrap_or(0))
}

fn stop(world: &mut World, host: usize, body: &Value) -> Response {
    let (task, run) = task_of(body);
    let Some(worker) = world.worker_mut(host) else {
        return Response::empty(StatusCode::MISDIRECTED_REQUEST);
    };
    let highest = worker.highest.entry(task.clone()).or_default();
    *highest = (*highest).max(run);
    let is_there = worker.running.get(&task).is_some_and(|it| it.run <= run);
    let record = is_there.then(|| worker.stop(&task)).flatten();
    let answer = reply::value(&json!({ "clock_ms": worker.clock_ms() }));
    if let Some(record) = record {
        world.runs[record].ended = Some((Instant::now(), "stopped".to_owned()));
    }
    answer
}

fn start(world: &mut World, host: usize, body: &Value) -> Response {
    let (task, run) = task_of(body);
    let Some(worker) = world.worker_mut(host) else {
        return Response::empty(StatusCode::MISDIRECTED_REQUEST);
    };
    if worker.running.get(&task).is_some_and(|it| it.run == run) {
        return reply::value(&json!({ "clock_ms": worker.clock_ms() }));
    }
    if worker.highest.get(&task).is_some_and(|highest| run <= *highest) {
        return refuse(worker, "old");
    }
    if worker.clock_ms() > body["deadline_ms"].as_u64().unwrap_or(0) {
        return refuse(worker, "late");
    }
    let answer = reply::value(&json!({ "clock_ms": worker.clock_ms() }));
    let payload = body["spec"].as_str().unwrap_or_default().to_owned();
    world.begin(host, &task, run, &payload);
    answer
}
