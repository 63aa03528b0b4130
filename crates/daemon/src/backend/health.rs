//! Which backend servers may take new work: host list, probes, their own answers and outliers.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_http::{Bounds, Connection, Request, Response};
use fuchsiamill_model::{Configuration, FastMap, FastSet, HostName, HostState, Moment, PoolName};
use fuchsiamill_policy::{
    backend_state::{BackendState, Intake, Listed, ProbeResult, ServerState},
    outlier::{self, Change, Eligibility, Outliers},
};
use fuchsiamill_ports::{HostReport, Liveness};
use http::{HeaderMap, StatusCode};
use monoio::time::{Instant, sleep};

use crate::{
    cx::Cx,
    dispatch::{Ending, Report},
};

const PERIOD: Duration = Duration::from_millis(1_000);
const PROBE_TIME: Duration = Duration::from_millis(900);
const SERVER_STATE: &str = "server-state";
const OUTLIERS: outlier::Bounds = outlier::Bounds {
    failures: 5,
    first_ejection: 5_000,
    max_ejection: 300_000,
    max_ejected_percent: 30,
    trial_timeout: 30_000,
};

/// Whether a host may be given a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Yes.
    Yes,
    /// One, to see whether it has recovered.
    Trial,
    /// No.
    No,
}

/// The last reading of the host list.
#[derive(Clone)]
pub struct ListReading {
    /// When it came.
    pub at: Moment,
    hosts: Rc<FastMap<HostName, Liveness>>,
}

impl ListReading {
    fn new(at: Moment, reports: Vec<HostReport>) -> Self {
        let hosts = reports.into_iter().map(|it| (it.host, it.liveness)).collect();
        Self { at, hosts: Rc::new(hosts) }
    }

    /// What it says of a host.
    pub fn listed(&self, host: &HostName) -> Listed {
        match self.hosts.get(host) {
            Some(Liveness::Live) => Listed::Live,
            Some(Liveness::Leaving) => Listed::Leaving,
            Some(Liveness::Gone) | None => Listed::Absent,
        }
    }

    fn leaving(&self) -> impl Iterator<Item = &HostName> {
        self.hosts.iter().filter(|(_, it)| **it == Liveness::Leaving).map(|(host, _)| host)
    }
}

/// What this entry host knows of the backend servers.
#[derive(Default)]
pub struct BackendHealth {
    list: RefCell<Option<ListReading>>,
    states: RefCell<FastMap<HostName, BackendState>>,
    closed: RefCell<FastSet<HostName>>,
    outliers: RefCell<FastMap<PoolName, Outliers<HostName>>>,
    probes: RefCell<FastMap<HostName, Connection>>,
}

impl BackendHealth {
    /// Starts to read the host list and to probe.
    pub fn start(&self, cx: &Rc<Cx>) {
        monoio::spawn(read_list_on(cx.clone()));
        monoio::spawn(probe_on(cx.clone()));
    }

    /// Whether a host may be given a request now.
    pub fn may_take(&self, now: Moment, pool: &PoolName, host: &HostName) -> Take {
        if self.is_closed(host) {
            return Take::No;
        }
        let outliers = self.outliers.borrow();
        match outliers.get(pool).map_or(Eligibility::In, |it| it.eligibility(now, host)) {
            Eligibility::In => Take::Yes,
            Eligibility::Trial => Take::Trial,
            Eligibility::OutUntil(_) => Take::No,
        }
    }

    /// The hosts that may not simply be given requests now.
    pub fn restricted(&self) -> FastSet<HostName> {
        let mut restricted = self.closed.borrow().clone();
        let outliers = self.outliers.borrow();
        restricted.extend(outliers.values().flat_map(Outliers::ejected).cloned());
        restricted
    }

    /// A host that `may_take` allowed a trial is given its request.
    pub fn begin_trial(&self, now: Moment, pool: &PoolName, host: &HostName) {
        if let Some(outliers) = self.outliers.borrow_mut().get_mut(pool) {
            outliers.begin_trial(now, host);
        }
    }

    /// An exchange with a host's backend server ended.
    pub fn record(&self, cx: &Cx, pool: &PoolName, host: &HostName, report: &Report) {
        let now = cx.clock.now();
        // A server that refuses work is no witness of its own serving.
        let said = report
            .said
            .filter(|it| *it == ServerState::Leaving || report.ending != Ending::Refused);
        if let Some(said) = said {
            self.change_state(cx, host, |it| it.record_answer(now, said));
        }
        let ending = match report.ending {
            Ending::Unsent | Ending::Refused => return,
            Ending::Answered => outlier::Outcome::Succeeded,
            Ending::Unreachable | Ending::Failed | Ending::Lost => outlier::Outcome::Failed,
        };
        if !self.outliers.borrow().contains_key(pool) {
            self.follow(&cx.config.current());
        }
        let change = match self.outliers.borrow_mut().get_mut(pool) {
            Some(outliers) => outliers.record(now, host, ending),
            None => Change::None,
        };
        tell(cx, host, change);
    }

    /// The last reading of the host list.
    pub fn list(&self) -> Option<ListReading> {
        self.list.borrow().clone()
    }

    /// Whether a host fails everything, its trials included.
    pub fn is_failing(&self, pool: &PoolName, host: &HostName) -> bool {
        self.outliers.borrow().get(pool).is_some_and(|it| it.is_failing(host))
    }

    fn change_state(&self, cx: &Cx, host: &HostName, change: impl FnOnce(&mut BackendState)) {
        let mut states = self.states.borrow_mut();
        let state = states.entry(host.clone()).or_default();
        let before = state.intake();
        change(state);
        match (before, state.intake()) {
            (Intake::Open, Intake::Closed(cause)) => {
                self.closed.borrow_mut().insert(host.clone());
                cx.metrics.event("backend_closed");
                log::info!("host {host} takes no new requests: {cause:?}");
            }
            (Intake::Closed(_), Intake::Open) => {
                self.closed.borrow_mut().remove(host);
                cx.metrics.event("backend_opened");
                log::info!("host {host} takes new requests again");
            }
            _ => {}
        }
    }

    fn is_closed(&self, host: &HostName) -> bool {
        self.closed.borrow().contains(host)
    }

    fn follow(&self, config: &Configuration) {
        let mut outliers = self.outliers.borrow_mut();
        outliers.retain(|pool, _| config.pools.contains_key(pool));
        for pool in config.pools.keys() {
            let members: Vec<HostName> = config.hosts_of(pool).map(|it| it.name.clone()).collect();
            let known = outliers.entry(pool.clone()).or_insert_with(|| Outliers::new(OUTLIERS));
            known.set_members(&members);
            // A host that comes back into service is judged anew.
            let out = config.hosts_of(pool).filter(|it| it.state != HostState::Serving);
            out.for_each(|it| known.forget(&it.name));
        }
        self.states.borrow_mut().retain(|host, _| config.hosts.contains_key(host));
        self.closed.borrow_mut().retain(|host| config.hosts.contains_key(host));
        self.probes.borrow_mut().retain(|host, _| config.hosts.contains_key(host));
    }

    async fn probe(&self, host: &HostName, addr: SocketAddr) -> ProbeResult {
        let kept = self.probes.borrow_mut().remove(host);
        let Ok(Ok((connection, response))) =
            monoio::time::timeout(PROBE_TIME, ask(kept, addr)).await
        else {
            return ProbeResult::Missed;
        };
        if connection.is_reusable() {
            self.probes.borrow_mut().insert(host.clone(), connection);
        }
        match (response.status, said(&response.headers)) {
            (_, Some(ServerState::Leaving)) => ProbeResult::Answered(ServerState::Leaving),
            (StatusCode::OK, _) => ProbeResult::Answered(ServerState::Serving),
            _ => ProbeResult::Missed,
        }
    }
}

/// What a backend server says of itself in an answer.
pub fn said(headers: &HeaderMap) -> Option<ServerState> {
    match headers.get(SERVER_STATE)?.to_str().ok()? {
        "serving" => Some(ServerState::Serving),
        "draining" => Some(ServerState::Leaving),
        _ => None,
    }
}

async fn ask(
    kept: Option<Connection>,
    addr: SocketAddr,
) -> Result<(Connection, Response), fuchsiamill_http::ExchangeError> {
    let mut connection = match kept {
        Some(connection) => connection,
        None => Connection::connect(addr, Bounds::default(), PROBE_TIME).await?,
    };
    let response =
        connection.exchange(Request::get("/health"), Instant::now() + PROBE_TIME).await?;
    Ok((connection, response))
}

async fn probe_on(cx: Rc<Cx>) {
    let mut followed: Rc<Configuration> = Rc::default();
    loop {
        let config = cx.config.current();
        let is_same =
            config.hosts.is_shared_with(&followed.hosts) && config.pools == followed.pools;
        if !is_same {
            cx.health.follow(&config);
        }
        followed = config;
        let probes = probed_hosts(&cx).into_iter().map(|(host, addr)| probe_one(&cx, host, addr));
        futures_util::future::join_all(probes).await;
        sleep(PERIOD).await;
    }
}

async fn probe_one(cx: &Cx, host: HostName, addr: SocketAddr) {
    let begun = cx.clock.now();
    let probe = cx.health.probe(&host, addr).await;
    cx.health.change_state(cx, &host, |it| it.record_probe(begun, cx.clock.now(), probe));
}

async fn read_list_on(cx: Rc<Cx>) {
    loop {
        if let Ok(reports) = cx.hosts.list().await {
            let reading = ListReading::new(cx.clock.now(), reports);
            take_list(&cx, &reading);
            cx.health.list.replace(Some(reading));
        }
        sleep(PERIOD).await;
    }
}

/// Live hosts that nothing is known of need no state of their own.
fn take_list(cx: &Cx, list: &ListReading) {
    let mut hosts: FastSet<HostName> = cx.health.states.borrow().keys().cloned().collect();
    hosts.extend(list.leaving().cloned());
    for host in hosts {
        cx.health.change_state(cx, &host, |it| it.set_listed(list.listed(&host)));
    }
}

/// The hosts to probe: those of owned pools, and those that were closed here and may come back.
fn probed_hosts(cx: &Cx) -> Vec<(HostName, SocketAddr)> {
    let config = cx.config.current();
    let is_owned =
        |pool: &&PoolName| cx.cluster.owner(pool).as_ref() == Some(&cx.settings.entry.name);
    let owned: FastSet<&PoolName> = config.pools.keys().filter(is_owned).collect();
    config
        .hosts
        .values()
        .filter(|it| matches!(it.state, HostState::Serving | HostState::Checking))
        .filter(|it| owned.contains(&it.pool) || cx.health.is_closed(&it.name))
        .map(|it| (it.name.clone(), it.backend))
        .collect()
}

fn tell(cx: &Cx, host: &HostName, change: Change) {
    match change {
        Change::None => {}
        Change::Ejected => {
            cx.metrics.event("backend_ejected");
            log::warn!("host {host} failed everything it started; it is taken out for a while");
        }
        Change::Readmitted => {
            cx.metrics.event("backend_readmitted");
            log::info!("host {host} serves again after its trial");
        }
        Change::Capped => cx.metrics.event("backend_ejection_capped"),
    }
}
