//! Starts the tasks of an entry host and stops them gracefully.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, Result};
use fuchsiamill_fleet::{Name, Terms};
use fuchsiamill_http::{
    Bounds, Response, Server, ShutdownHandle,
    server::{Handler, Incoming},
    shutdown_pair,
};
use fuchsiamill_model::FastMap;
use fuchsiamill_peer::{PeerServer, Router};
use fuchsiamill_platform::{AdviceClient, HostClient, Store};
use fuchsiamill_settings::Fleet;
use futures_util::future::join;
use http::StatusCode;
use monoio::{task::JoinHandle, time::timeout};
use tokio::sync::{mpsc, watch};

use crate::{
    clock::Clock,
    config::{Follower, Intent},
    dependency::Dependency,
    front::{Front, Submitter},
    lead::{
        Candidate, Entries, EntryRow, LeaseRow, Standing, follow_entries, serve_standing, strength,
    },
    metrics::Metrics,
    relay::{self, Relay},
    story, tables,
};

/// The longest call to the store. Its slow days take over half a second for an answer.
const STORE_TIME: Duration = Duration::from_millis(2_500);

/// The longest call to the service that has the hosts.
const HOSTS_TIME: Duration = Duration::from_millis(1_200);

/// The longest question to the advice service, which answers one after another.
const ADVICE_TIME: Duration = Duration::from_millis(2_500);

/// Kept of the longest lease for the way of an order, as a divisor: 10 is a tenth.
const LEASE_MARGIN_DIVISOR: u64 = 10;

/// The longest lease that is asked for: a shorter one frees tasks of a lost worker sooner, a longer one outlives
/// the loss of a coordinator.
const LEASE_MS: u64 = 6_000;

/// How long a former coordinator may go on renewing leases without the store.
const RENEWAL_MS: u64 = 12_000;

/// Where fences of orders to hosts are checked, one without an answer is carried out within this time or never.
const LATE_ORDER_MS: u64 = 12_000;

/// An answer of the store this long ago shows that it can be reached: its feed is asked every second.
const STORE_HEARD: Duration = Duration::from_millis(1_800);

/// Keeps incarnations within the whole numbers that every JSON reader takes.
const INCARNATION_SHIFT: u32 = 12;

/// A job that is over is kept longer than its state has to be told: a repeat of its post may be late.
const KEEP_MARGIN_MS: u64 = 60_000;

/// The most connections of callers.
const CALLER_CONNECTIONS: usize = 2_000;

/// A running entry host.
pub struct Entry {
    is_stopping: Rc<Cell<bool>>,
    term: Rc<Cell<u64>>,
    callers: Running,
    candidate: JoinHandle<()>,
    grace: Duration,
}

struct Running {
    stop: ShutdownHandle,
    task: JoinHandle<()>,
}

const METRICS_PATH: &str = "/metrics";

/// Tells whether this entry host takes callers, its metrics, and what is stored of a job.
struct Ready {
    metrics: Rc<Metrics>,
    intent: watch::Receiver<Intent>,
    store: Rc<Store>,
    is_stopping: Rc<Cell<bool>>,
}

impl Handler for Ready {
    async fn handle(&self, incoming: Incoming) -> Response {
        let path = incoming.request.path();
        if path == METRICS_PATH {
            return match self.metrics.text() {
                Ok(text) => Response::text(StatusCode::OK, text),
                Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            };
        }
        if let Some(job) = path.strip_prefix(story::PATH_PREFIX) {
            return story::reply(&self.store, &job.into()).await;
        }
        let is_ready = !self.is_stopping.get()
            && self.intent.borrow().config.is_some()
            && self.store.has_answered_within(STORE_HEARD);
        Response::empty(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

impl Entry {
    /// Starts all tasks.
    pub fn start(settings: &Fleet) -> Result<Self> {
        let clock = Clock::start();
        let store = Rc::new(Store::new(settings.store, STORE_TIME));
        let is_stopping = Rc::new(Cell::new(false));
        let (tx, intent) = watch::channel(Intent::default());
        let health = Dependency::new("store");
        monoio::spawn(Follower { store: store.clone(), tx, health }.run());

        let metrics = Rc::new(Metrics::new()?);
        let ready = Ready {
            metrics: metrics.clone(),
            intent: intent.clone(),
            store: store.clone(),
            is_stopping: is_stopping.clone(),
        };
        let (_, shutdown) = shutdown_pair();
        let ready = Rc::new(ready);
        for addr in std::iter::once(settings.ready).chain(settings.metrics) {
            let server = Server::bind(addr, Bounds::default(), ready.clone())
                .with_context(|| format!("cannot listen at {addr} for readiness and metrics"))?;
            monoio::spawn(server.run(shutdown.clone()));
        }

        let term = Rc::<Cell<u64>>::default();
        let incarnation = fastrand::u64(..) >> INCARNATION_SHIFT;
        let entries = Entries::default();
        let relay = Relay::new(entries.clone());
        store.set_relay(relay.clone());
        monoio::spawn(store.clone().watch_direct_path());
        if let Some(addr) = settings.peers {
            let (told, asked) = (term.clone(), store.clone());
            let tell = move || Standing {
                incarnation,
                term: told.get(),
                reaches_store: asked.is_direct_path_up() && asked.has_answered_within(STORE_HEARD),
            };
            let mut router = Router::default();
            serve_standing(&mut router, tell);
            relay::serve(&mut router, store.clone());
            let server = PeerServer::bind(addr)
                .with_context(|| format!("cannot listen at {addr} for other entry hosts"))?;
            monoio::spawn(server.run(Rc::new(router)));
        }

        let front = front(&store, clock, &intent, &relay, &metrics, settings.row_bytes);
        let bounds = Bounds { connections: CALLER_CONNECTIONS, ..Bounds::default() };
        let server = Server::bind(settings.callers, bounds, Rc::new(front))
            .with_context(|| format!("cannot listen at {} for callers", settings.callers))?;
        let (stop, shutdown) = shutdown_pair();
        let callers = Running { stop, task: monoio::spawn(server.run(shutdown)) };

        let own = EntryRow {
            address: settings.peers.map(|it| it.to_string().into()).unwrap_or_default(),
            incarnation,
            strength: strength(settings.processors, settings.link_mbps),
        };
        let (name, address) = (settings.name.clone(), own.address.clone());
        monoio::spawn(follow_entries(store.clone(), name, own, entries.clone()));

        let candidate = Candidate {
            store,
            clock,
            hosts: settings
                .hosts
                .map(|it| Rc::new(HostClient::new(it, &settings.name, HOSTS_TIME))),
            advice: settings.advice.map(|it| Rc::new(AdviceClient::new(it, ADVICE_TIME))),
            terms: terms(settings),
            intent,
            own: LeaseRow {
                holder: settings.name.clone(),
                incarnation,
                address,
                ..LeaseRow::default()
            },
            is_stopping: is_stopping.clone(),
            term: term.clone(),
            entries,
            metrics,
        };
        let candidate = monoio::spawn(candidate.run());
        let grace = Duration::from_secs_f64(settings.grace_s * GRACE_SHARE);
        Ok(Self { is_stopping, term, callers, candidate, grace })
    }

    /// Takes no new callers, answers those in flight and gives the lease back.
    pub async fn stop(self) {
        self.is_stopping.set(true);
        self.callers.stop.stop();
        let drained = timeout(self.grace, self.callers.task);
        let given_back = async {
            if self.term.get() != 0 {
                let given_back = timeout(self.grace, self.candidate).await;
                tracing::info!(event = "lease-returned", in_time = given_back.is_ok());
            }
        };
        let (drained, ()) = join(drained, given_back).await;
        tracing::info!(event = "stopped", drained = drained.is_ok());
    }
}

/// The part of the time until the process is killed that a graceful stop may take.
const GRACE_SHARE: f64 = 0.7;

fn front(
    store: &Rc<Store>,
    clock: Clock,
    intent: &watch::Receiver<Intent>,
    relay: &Rc<Relay>,
    metrics: &Rc<Metrics>,
    row_bytes: usize,
) -> Front {
    let mut submitters = FastMap::default();
    for part in tables::job_parts() {
        let (tx, rx) = mpsc::unbounded_channel();
        monoio::spawn(Submitter { store: store.clone(), clock, rx, relay: relay.clone() }.run());
        submitters.insert(Name::from(part), tx);
    }
    Front {
        store: store.clone(),
        clock,
        intent: intent.clone(),
        submitters,
        relay: relay.clone(),
        row_bytes,
        board: RefCell::default(),
        metrics: metrics.clone(),
    }
}

fn terms(settings: &Fleet) -> Terms {
    let longest = settings.longest_lease_ms;
    Terms {
        lease_ms: LEASE_MS.min(longest - longest / LEASE_MARGIN_DIVISOR),
        move_ms: (settings.move_s * 1_000.0) as u64,
        upkeep_ms: (settings.upkeep_s * 1_000.0) as u64,
        holder_change_ms: settings.holder_change_ms,
        renewal_ms: RENEWAL_MS,
        keep_ms: settings.status_s * 1_000 + KEEP_MARGIN_MS,
        late_order_ms: if settings.fenced_hosts { LATE_ORDER_MS } else { 0 },
        far_percent: (settings.far_factor * 100.0) as u64,
    }
}
