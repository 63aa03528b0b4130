//! Task agents over HTTP: one port for each worker, and one for tests.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use fuchsiamill_http::{Bounds, Handler, Incoming, Response};
use fuchsiamill_model::{Incarnation, Millisecond, Moment};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::agent::{Agent, Conduct, Run};
use crate::{cli::WorkerArgs, reply};

/// How many workers to start, and how far their usage figures lag.
#[derive(Clone, Copy, Debug)]
pub struct WorkerPlan {
    /// The address whose free ports are taken.
    pub listen: SocketAddr,
    /// How many workers.
    pub count: usize,
    /// The lag of their usage figures, in milliseconds.
    pub usage_lag: Millisecond,
}

impl From<WorkerArgs> for WorkerPlan {
    fn from(args: WorkerArgs) -> Self {
        Self { listen: args.listen, count: args.count, usage_lag: args.usage_lag_ms }
    }
}

/// The addresses of started workers.
#[derive(Clone, Debug)]
pub struct Started {
    /// Each worker's name and address.
    pub workers: Vec<(String, SocketAddr)>,
    /// Where tests set conduct and read the record.
    pub admin: SocketAddr,
}

/// Whether a worker's agent can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// It answers.
    #[default]
    Reachable,
    /// It carries out nothing and answers nothing; its tasks run on until their leases end.
    CutOff,
    /// It carries out orders and its answers are lost.
    AnswersLost,
}

/// Sets how one worker treats what it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetConduct {
    /// The worker's name.
    pub worker: String,
    /// Its conduct from then on.
    pub conduct: Conduct,
}

/// Sets whether one worker can be reached.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetAccess {
    /// The worker's name.
    pub worker: String,
    /// Its access from then on.
    pub access: Access,
}

/// What truly ran on one worker, restarts included.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's name.
    pub worker: String,
    /// Every run that began, in order.
    pub runs: Vec<Run>,
}

/// Starts workers on the current runtime.
pub fn start(plan: &WorkerPlan) -> io::Result<Started> {
    let began = Instant::now();
    let mut agents = Vec::with_capacity(plan.count);
    let mut workers = Vec::with_capacity(plan.count);
    for index in 0..plan.count {
        let worker = Rc::new(Worker::new(format!("worker-{index}"), plan.usage_lag, began));
        workers.push((
            worker.name.clone(),
            reply::serve(plan.listen, Bounds::default(), worker.clone())?,
        ));
        agents.push(worker);
    }
    let admin = reply::serve(plan.listen, Bounds::default(), Rc::new(Admin { workers: agents }))?;
    Ok(Started { workers, admin })
}

struct Worker {
    name: String,
    usage_lag: Millisecond,
    began: Instant,
    boots: Cell<u32>,
    access: Cell<Access>,
    agent: RefCell<Agent>,
    past: RefCell<Vec<Run>>,
}

impl Worker {
    fn new(name: String, usage_lag: Millisecond, began: Instant) -> Self {
        let agent = RefCell::new(Agent::new(boot(&name, 0), usage_lag));
        let (boots, access, past) = (Cell::new(0), Cell::default(), RefCell::default());
        Self { name, usage_lag, began, boots, access, agent, past }
    }

    fn now(&self) -> Moment {
        Moment(self.began.elapsed().as_millis() as u64)
    }

    fn restart(&self) {
        self.boots.set(self.boots.get() + 1);
        let new = Agent::new(boot(&self.name, self.boots.get()), self.usage_lag);
        let mut old = self.agent.replace(new);
        old.restart(self.now());
        self.past.borrow_mut().extend(old.record().iter().cloned());
    }

    fn record(&self) -> WorkerRecord {
        let mut agent = self.agent.borrow_mut();
        agent.advance(self.now());
        let past = self.past.borrow();
        let runs = past.iter().chain(agent.record()).cloned().collect();
        WorkerRecord { worker: self.name.clone(), runs }
    }
}

fn boot(name: &str, number: u32) -> Incarnation {
    let raw = format!("{name}.{number}");
    Incarnation::try_from(raw).expect("a worker's name and a number are a name")
}

impl Handler for Worker {
    async fn handle(&self, incoming: Incoming) -> Response {
        if self.access.get() == Access::CutOff {
            return reply::never(incoming).await;
        }
        if incoming.request.method == Method::GET {
            return reply::value(&self.agent.borrow_mut().load(self.now()));
        }
        let response = reply::with_body(&incoming.request.body, |sync| {
            reply::value(&self.agent.borrow_mut().sync(sync, self.now()))
        });
        match self.access.get() {
            Access::AnswersLost => reply::never(incoming).await,
            Access::Reachable | Access::CutOff => response,
        }
    }
}

struct Admin {
    workers: Vec<Rc<Worker>>,
}

impl Admin {
    fn with(&self, name: &str, change: impl FnOnce(&Worker)) -> Response {
        match self.workers.iter().find(|it| it.name == name) {
            Some(worker) => {
                change(worker);
                reply::value(&())
            }
            None => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Admin {
    async fn handle(&self, incoming: Incoming) -> Response {
        let body = &incoming.request.body;
        match incoming.request.path() {
            "/conduct" => reply::with_body(body, |set: SetConduct| {
                self.with(&set.worker, |it| it.agent.borrow_mut().set_conduct(set.conduct))
            }),
            "/access" => reply::with_body(body, |set: SetAccess| {
                self.with(&set.worker, |it| it.access.set(set.access))
            }),
            "/restart" => {
                reply::with_body(body, |worker: String| self.with(&worker, |it| it.restart()))
            }
            "/record" => {
                let records: Vec<_> = self.workers.iter().map(|it| it.record()).collect();
                reply::value(&records)
            }
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}
