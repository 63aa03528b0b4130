//! Backend servers: slots, graceful shutdown, late, cut and failing answers, and a record of all runs.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use fuchsiamill_http::{Bounds, Handler, Incoming, Request, Response};
use http::{HeaderName, HeaderValue, StatusCode};
use monoio::time::sleep;

use crate::{
    admin::{BackendMode, SetMode},
    cli::BackendArgs,
    record::{BackendRecord, Run, RunEnd},
    reply,
    story::Story,
};

const RUN_STATE: HeaderName = HeaderName::from_static("run-state");
const SERVER_STATE: HeaderName = HeaderName::from_static("server-state");
const SLOTS_IN_USE: HeaderName = HeaderName::from_static("slots-in-use");
const REQUEST_TIMEOUT: &str = "request-timeout-ms";

/// How often a request that is held looks whether it may begin.
const HOLD_POLL: Duration = Duration::from_millis(1);

/// How many backend servers to start, and of what size.
#[derive(Clone, Copy, Debug)]
pub struct BackendPlan {
    /// The address whose free ports are taken.
    pub listen: SocketAddr,
    /// How many servers.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// How long a request runs unless it says otherwise.
    pub work: Duration,
}

impl From<BackendArgs> for BackendPlan {
    fn from(args: BackendArgs) -> Self {
        let work = Duration::from_millis(args.work_ms);
        Self { listen: args.listen, count: args.count, slots: args.slots, work }
    }
}

/// The addresses of started backend servers.
#[derive(Clone, Debug)]
pub struct Started {
    /// Each server's name and address.
    pub servers: Vec<(String, SocketAddr)>,
    /// Where tests set modes and read the record.
    pub admin: SocketAddr,
}

/// Starts backend servers on the current runtime.
pub fn start(plan: &BackendPlan) -> io::Result<Started> {
    start_telling(plan, Story::default())
}

/// Like [`start`]; tells `story` what runs and what is refused.
pub fn start_telling(plan: &BackendPlan, story: Story) -> io::Result<Started> {
    let fleet = Rc::new(Fleet::new(story));
    let mut servers = Vec::with_capacity(plan.count);
    for index in 0..plan.count {
        let name = format!("backend-{index}");
        let backend = Backend {
            name: name.clone(),
            plan: *plan,
            fleet: fleet.clone(),
            running: Cell::new(0),
        };
        servers.push((name, reply::serve(plan.listen, Bounds::default(), Rc::new(backend))?));
    }
    let admin = reply::serve(plan.listen, Bounds::default(), Rc::new(Admin { fleet }))?;
    Ok(Started { servers, admin })
}

struct Fleet {
    began: Instant,
    modes: RefCell<BTreeMap<String, BackendMode>>,
    record: RefCell<BackendRecord>,
    by_team: RefCell<BTreeMap<String, u32>>,
    story: Story,
}

impl Fleet {
    fn new(story: Story) -> Self {
        Self {
            began: Instant::now(),
            story,
            modes: RefCell::default(),
            record: RefCell::default(),
            by_team: RefCell::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn mode(&self, server: &str) -> BackendMode {
        self.modes.borrow().get(server).copied().unwrap_or_default()
    }

    fn begin(&self, server: &str, server_running: u32, incoming: &Incoming) -> usize {
        let request = &incoming.request;
        let team = team_of(request);
        let team_running = {
            let mut by_team = self.by_team.borrow_mut();
            let running = by_team.entry(team.clone()).or_default();
            *running += 1;
            *running
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let left_ms = header_ms(request, REQUEST_TIMEOUT).map(|it| it.as_millis() as u64);
        self.story.tell(server, || {
            let at_once = format!("{team_running} of the team, {server_running} here");
            format!("begins {body} of {team} from {}, left {left_ms:?}, {at_once}", incoming.peer)
        });
        let mut record = self.record.borrow_mut();
        record.runs.push(Run {
            server: server.into(),
            target: request.target.clone(),
            team,
            body,
            left_ms,
            began_ms: self.now_ms(),
            ended_ms: None,
            end: RunEnd::Running,
            team_running,
            server_running,
        });
        record.runs.len() - 1
    }

    fn end(&self, run: usize, end: RunEnd) {
        let mut record = self.record.borrow_mut();
        let now = self.now_ms();
        let run = &mut record.runs[run];
        run.ended_ms = Some(now);
        run.end = end;
        self.story.tell(&run.server, || format!("ends {} of {}: {end:?}", run.body, run.team));
        if let Some(running) = self.by_team.borrow_mut().get_mut(&run.team) {
            *running -= 1;
        }
    }
}

struct Backend {
    name: String,
    plan: BackendPlan,
    fleet: Rc<Fleet>,
    running: Cell<u32>,
}

impl Handler for Backend {
    fn accepted(&self, open: usize) {
        let mut record = self.fleet.record.borrow_mut();
        let most = record.connections.entry(self.name.clone()).or_default();
        *most = (*most).max(open as u32);
    }

    async fn handle(&self, incoming: Incoming) -> Response {
        let mode = self.fleet.mode(&self.name);
        if incoming.request.path() == "/health" {
            return self.describe(Response::empty(self.health_status(mode)), mode);
        }
        if matches!(mode, BackendMode::Draining | BackendMode::Refusing) {
            self.fleet.record.borrow_mut().refused += 1;
            return self.refuse(&incoming, mode);
        }
        if self.running.get() >= self.plan.slots {
            self.fleet.record.borrow_mut().busy += 1;
            return self.refuse(&incoming, mode);
        }
        self.hold(&incoming.request).await;
        let response = self.run(&incoming, mode).await;
        match mode {
            BackendMode::Cut => reply::never(incoming).await,
            BackendMode::Late { ms } => {
                sleep(Duration::from_millis(ms)).await;
                response
            }
            _ => response,
        }
    }
}

impl Backend {
    /// Waits while this server holds what it has read.
    async fn hold(&self, request: &Request) {
        let is_holding = || self.fleet.mode(&self.name) == BackendMode::Holding;
        if !is_holding() {
            return;
        }
        let team = team_of(request);
        *self.fleet.record.borrow_mut().held.entry(team.clone()).or_default() += 1;
        while is_holding() {
            sleep(HOLD_POLL).await;
        }
        *self.fleet.record.borrow_mut().held.entry(team).or_default() -= 1;
    }

    async fn run(&self, incoming: &Incoming, mode: BackendMode) -> Response {
        self.running.set(self.running.get() + 1);
        let run = self.fleet.begin(&self.name, self.running.get(), incoming);
        let wanted = header_ms(&incoming.request, "work-ms").unwrap_or(self.plan.work);
        let deadline = header_ms(&incoming.request, REQUEST_TIMEOUT).unwrap_or(Duration::MAX);
        sleep(wanted.min(deadline)).await;
        self.running.set(self.running.get() - 1);
        let end = match mode {
            _ if wanted > deadline => RunEnd::DeadlinePassed,
            BackendMode::Failing => RunEnd::Failed,
            _ => RunEnd::Finished,
        };
        self.fleet.end(run, end);
        let status = if end == RunEnd::Finished {
            StatusCode::OK
        } else {
            StatusCode::INTERNAL_SERVER_ERROR
        };
        let body = format!("{} ran {}", self.name, String::from_utf8_lossy(&incoming.request.body));
        self.describe(Response::text(status, body), self.fleet.mode(&self.name))
    }

    fn refuse(&self, incoming: &Incoming, mode: BackendMode) -> Response {
        self.fleet.story.tell(&self.name, || {
            let body = String::from_utf8_lossy(&incoming.request.body);
            format!("refuses {body}, {} run here, {mode:?}", self.running.get())
        });
        let response = Response::empty(StatusCode::SERVICE_UNAVAILABLE);
        self.describe(response.header(RUN_STATE, HeaderValue::from_static("not-run")), mode)
    }

    fn describe(&self, response: Response, mode: BackendMode) -> Response {
        let state = if mode == BackendMode::Draining { "draining" } else { "serving" };
        let response = response.header(SERVER_STATE, HeaderValue::from_static(state));
        response.header(SLOTS_IN_USE, self.running.get().into())
    }

    fn health_status(&self, mode: BackendMode) -> StatusCode {
        match mode {
            BackendMode::Draining | BackendMode::Refusing => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        }
    }
}

fn team_of(request: &Request) -> String {
    request.text_header("team").unwrap_or_default().to_owned()
}

fn header_ms(request: &Request, name: &str) -> Option<Duration> {
    request.text_header(name)?.parse().ok().map(Duration::from_millis)
}

struct Admin {
    fleet: Rc<Fleet>,
}

impl Handler for Admin {
    async fn handle(&self, incoming: Incoming) -> Response {
        match incoming.request.path() {
            "/mode" => reply::with_body(&incoming.request.body, |set: SetMode| {
                self.fleet.modes.borrow_mut().insert(set.server, set.mode);
                reply::value(&())
            }),
            "/record" => {
                let mut record = self.fleet.record.borrow_mut();
                record.now_ms = self.fleet.now_ms();
                reply::value(&*record)
            }
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}
