//! One entry host: starts its tasks, tells its addresses and stops it gracefully.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, Result};
use fuchsiamill_http::{Bounds, Server, ShutdownHandle, shutdown_pair};
use fuchsiamill_model::Incarnation;
use fuchsiamill_peer::{PeerServer, Router};
use fuchsiamill_ports::{HostListClient, ObjectClient, TableClient};
use fuchsiamill_settings::Settings;
use monoio::{task::JoinHandle, time::sleep};
use tokio::sync::watch;

use crate::{
    audit::AuditHandle,
    backend::{BackendHealth, Backends},
    caller::{Callers, Queueing},
    claims,
    clock::Clock,
    cluster::ClusterHandle,
    config::ConfigHandle,
    cx::Cx,
    dispatch::DispatchHandle,
    health::{Health, Intake},
    jobs::{self, JobsHandle},
    maintenance::{self, Maintenance},
    metrics::Metrics,
    operator::{self, Operators},
};

/// The most open connections of other entry hosts.
const MAX_PEER_CONNECTIONS: usize = 4_096;

/// How long a shutdown waits for the table to take the last claims.
const CLAIMS_TIME: Duration = Duration::from_secs(5);

/// How long a shutdown waits, after its last request, for units that work elsewhere still uses.
const UNITS_TIME: Duration = Duration::from_secs(5);

/// Where an entry host listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For the other entry hosts.
    pub peer: SocketAddr,
    /// For metrics, readiness and liveness.
    pub metrics: SocketAddr,
}

/// A running entry host.
pub struct Entry {
    cx: Rc<Cx>,
    addresses: Addresses,
    intake: Rc<Cell<Intake>>,
    queueing: watch::Sender<Queueing>,
    callers: Running,
    operators: Running,
}

struct Running {
    shutdown: ShutdownHandle,
    task: JoinHandle<()>,
}

impl Entry {
    /// Binds every port and starts every task.
    pub async fn start(settings: Rc<Settings>) -> Result<Self> {
        let clock = Clock::start();
        let incarnation = new_incarnation();
        let platform = &settings.platform;
        let time = Duration::from_millis(platform.request_timeout_ms);
        let mut router = Router::default();
        let peer = PeerServer::bind(settings.entry.peer, MAX_PEER_CONNECTIONS)
            .context("The peer port cannot be bound.")?;
        let peer_addr = peer.local_addr()?;
        let table = Rc::new(TableClient::new(platform.table, time));
        let objects = Rc::new(ObjectClient::new(platform.objects, time));
        let claims = claims::Config::new(&settings.claims, clock, incarnation.clone());
        let claims = claims::start(claims, table.clone(), objects.clone());
        claims.route(&mut router);
        let cx = Rc::new(Cx {
            claims,
            clock,
            incarnation: incarnation.clone(),
            metrics: Metrics::new()?,
            table,
            objects,
            hosts: Rc::new(HostListClient::new(platform.hosts, time)),
            audit: AuditHandle::default(),
            config: ConfigHandle::new(&mut router),
            cluster: ClusterHandle::new(&settings, clock, incarnation, &mut router),
            dispatch: DispatchHandle::new(&mut router),
            jobs: JobsHandle::new(&mut router),
            backends: Backends::new(&settings),
            health: BackendHealth::default(),
            settings,
        });
        cx.audit.start(&cx);
        cx.config.start(&cx);
        cx.cluster.start(&cx);
        cx.dispatch.start(&cx);
        cx.jobs.start(&cx);
        cx.health.start(&cx);
        monoio::spawn(peer.run(Rc::new(router)));
        let intake = Rc::new(Cell::new(Intake::Open));
        let health = serve(
            cx.settings.entry.metrics,
            Bounds::default(),
            Health::new(cx.clone(), intake.clone()),
        )?;
        let (queueing, queueing_rx) = watch::channel(Queueing::Open);
        let callers = serve(
            cx.settings.entry.caller,
            caller_bounds(&cx.settings),
            Callers::new(cx.clone(), queueing_rx),
        )?;
        let mut router = Router::default();
        operator::route(&mut router).start(&cx);
        maintenance::route(&mut router).start(&cx);
        jobs::rpc::route(&mut router).start(&cx);
        Maintenance::new(cx.clone()).start();
        let operators = Operators::new(cx.clone(), Rc::new(router));
        let operator = serve(cx.settings.entry.operator, Bounds::default(), operators)?;
        let addresses = Addresses {
            caller: callers.0,
            operator: operator.0,
            peer: peer_addr,
            metrics: health.0,
        };
        Ok(Self { cx, addresses, intake, queueing, callers: callers.1, operators: operator.1 })
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: unready first, still serving while the balancer notices; then what runs
    /// finishes and the rest is refused.
    pub async fn stop(self) {
        let timing = &self.cx.settings.timing;
        log::info!("shutting down");
        self.intake.set(Intake::Closing);
        self.cx.cluster.leave();
        let units = self.give_units_back();
        sleep(Duration::from_millis(timing.shutdown_notice_ms)).await;
        self.queueing.send_replace(Queueing::Closed);
        self.callers.shutdown.stop();
        self.operators.shutdown.stop();
        let longest = Duration::from_millis(timing.shutdown_ms);
        if monoio::time::timeout(longest, self.callers.task).await.is_err() {
            log::warn!("requests were still running at the end of shutdown-ms");
        }
        if monoio::time::timeout(CLAIMS_TIME, self.cx.claims.settle()).await.is_err() {
            log::warn!("the table did not take the last claims; repeats are told 'unknown'");
        }
        if monoio::time::timeout(UNITS_TIME, units).await.is_err() {
            log::warn!("units of upper limits are still in use; they come back later by reclaim");
        }
        log::info!("stopped");
    }

    /// Begins to give back the units of upper limits; ends when none is left.
    fn give_units_back(&self) -> JoinHandle<()> {
        let cx = self.cx.clone();
        monoio::spawn(async move { cx.dispatch.leave().await })
    }
}

fn serve<H: fuchsiamill_http::Handler + 'static>(
    addr: SocketAddr,
    bounds: Bounds,
    handler: H,
) -> Result<(SocketAddr, Running)> {
    let server = Server::bind(addr, bounds, Rc::new(handler));
    let server = server.with_context(|| format!("The address {addr} cannot be bound."))?;
    let bound = server.local_addr()?;
    let (handle, shutdown) = shutdown_pair();
    let task = monoio::spawn(server.run(shutdown));
    Ok((bound, Running { shutdown: handle, task }))
}

fn caller_bounds(settings: &Settings) -> Bounds {
    let callers = &settings.callers;
    Bounds {
        head_bytes: callers.head_bytes,
        body_bytes: callers.body_bytes,
        held_body_bytes: usize::MAX,
        head_time: Duration::from_millis(callers.head_ms),
        body_time: Duration::from_millis(callers.body_ms),
        idle_time: Duration::from_millis(callers.idle_ms),
        connections: callers.connections,
    }
}

fn new_incarnation() -> Incarnation {
    let raw = format!("{:012x}", fastrand::u64(..1 << 48));
    Incarnation::try_from(raw.as_str()).expect("hexadecimal digits are a name")
}
