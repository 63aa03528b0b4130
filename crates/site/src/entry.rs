//! Starts an entry host and stops it gracefully.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, Result};
use fuchsiamill_fleet::{Name, Timing};
use fuchsiamill_http::{
    Bounds, Response, Server, ShutdownHandle,
    server::{Handler, Incoming},
    shutdown_pair,
};
use fuchsiamill_model::{FastMap, units::Moment};
use fuchsiamill_peer::{PeerServer, Router};
use fuchsiamill_platform::{AdviceClient, HostClient, Store, StoreLimits};
use fuchsiamill_settings::Fleet;
use futures_util::future::join;
use http::StatusCode;
use monoio::{task::JoinHandle, time::timeout};
use tokio::sync::{mpsc, watch};

use crate::{
    clock::Clock,
    config::{Intent, IntentFollower},
    dependency::Dependency,
    descriptors::{self, Shares},
    front::{Admission, Front, Insert, Submitter},
    lead::{
        Candidate, Entries, EntryRow, LeaseRow, Standing, publish_and_follow_entries,
        serve_standing, strength,
    },
    metrics::Metrics,
    relay::{self, Relay},
    senders::{self, Cancellations, Payloads, SenderService},
    story, tables,
};

/// The timeout of a call to the store. A slow store takes over half a second to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The timeout of a call to the hosts service.
const HOSTS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The timeout of a query to the advice service, which answers queries one after another.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The share of the longest lease that is reserved for the transmission of an order, as a divisor: 10 is a tenth.
const LEASE_MARGIN_DIVISOR: u64 = 10;

/// The longest lease that is requested from workers. A shorter one frees the tasks of a lost worker sooner; a longer
/// one lets runs outlive the loss of a coordinator.
const MAX_LEASE_MS: u64 = 6_000;

/// How long a coordinator may go on renewing leases after the store's last confirmation.
const RENEWAL_MS: u64 = 12_000;

/// If the hosts service checks the fencing tokens of orders, an unanswered order is executed within this time or never.
const LATE_ORDER_MS: u64 = 12_000;

/// The store counts as reachable if it has answered within this time; its feed is polled every second.
const STORE_REACHABLE_TIME: Duration = Duration::from_millis(1_800);

/// Shortens random incarnation numbers to the integers that every JSON reader represents exactly.
const INCARNATION_SHIFT: u32 = 12;

/// Added to the time for which the state of an ended job has to be served, since a repeated post of the job may be
/// late.
const KEEP_MARGIN_MS: u64 = 60_000;

/// The largest body of a caller's request, as a multiple of the largest row: a job is stored in one row, in a form that is
/// hardly smaller than its body.
const BODY_BYTES_PER_ROW_BYTE: usize = 4;

/// The most bytes of bodies that are held for all callers together. Each takes several times its length while it is decoded
/// and stored, and the smallest entry hosts have 160 MB.
const MAX_HELD_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A running entry host.
pub struct Entry {
    is_stopping: Rc<Cell<bool>>,
    term: Rc<Cell<u64>>,
    callers: CallerServer,
    candidate: JoinHandle<()>,
    grace: Duration,
}

struct CallerServer {
    stop: ShutdownHandle,
    task: JoinHandle<()>,
}

const METRICS_PATH: &str = "/metrics";

/// Serves the readiness check, the metrics and what is stored about a job.
struct StatusHandler {
    metrics: Rc<Metrics>,
    intent: watch::Receiver<Intent>,
    store: Rc<Store>,
    is_stopping: Rc<Cell<bool>>,
}

impl Handler for StatusHandler {
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
            && self.store.has_answered_within(STORE_REACHABLE_TIME);
        Response::empty(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

impl Entry {
    /// Binds the listeners and starts all tasks.
    pub fn start(settings: &Fleet) -> Result<Self> {
        let clock = Clock::start();
        let shares = Shares::of(descriptors::limit());
        tracing::info!(event = "connections", ?shares);
        let limits =
            StoreLimits { caller_reads: shares.caller_reads, relayed_calls: shares.relayed_calls };
        let store = Rc::new(Store::with_limits(settings.store, STORE_TIMEOUT, limits));
        let is_stopping = Rc::new(Cell::new(false));
        let (tx, intent) = watch::channel(Intent::default());
        let health = Dependency::new("store");
        monoio::spawn(IntentFollower { store: store.clone(), clock, tx, health }.run());

        let metrics = Rc::new(Metrics::new()?);
        let status_handler = StatusHandler {
            metrics: metrics.clone(),
            intent: intent.clone(),
            store: store.clone(),
            is_stopping: is_stopping.clone(),
        };
        let (_, shutdown) = shutdown_pair();
        let status_handler = Rc::new(status_handler);
        for addr in std::iter::once(settings.ready).chain(settings.metrics) {
            let bounds = Bounds { connections: shares.status, ..Bounds::default() };
            let server = Server::bind(addr, bounds, status_handler.clone())
                .with_context(|| format!("cannot listen at {addr} for readiness and metrics"))?;
            monoio::spawn(server.run(shutdown.clone()));
        }

        let payloads = Rc::<RefCell<Payloads>>::default();
        let cancellations = Rc::<RefCell<Cancellations>>::default();
        let term = Rc::<Cell<u64>>::default();
        let incarnation = fastrand::u64(..) >> INCARNATION_SHIFT;
        let entries = Entries::default();
        let relay = Relay::new(entries.clone());
        store.set_relay(relay.clone());
        monoio::spawn(store.clone().watch_direct_path());
        if let Some(addr) = settings.peers {
            let (status_term, status_store) = (term.clone(), store.clone());
            let strength = strength(settings.processors, settings.link_mbps);
            let standing = move || Standing {
                incarnation,
                term: status_term.get(),
                reaches_store: status_store.is_direct_path_up()
                    && status_store.has_answered_within(STORE_REACHABLE_TIME),
                strength,
            };
            let mut router = Router::default();
            serve_standing(&mut router, standing);
            relay::serve(&mut router, store.clone());
            let service = SenderService::new(
                incarnation,
                clock,
                payloads.clone(),
                cancellations.clone(),
                intent.clone(),
                metrics.clone(),
            );
            senders::serve(&mut router, service);
            let server = PeerServer::bind(addr, shares.peers)
                .with_context(|| format!("cannot listen at {addr} for other entry hosts"))?;
            monoio::spawn(server.run(Rc::new(router)));
        }

        let address: Name = settings.peers.map(|it| it.to_string().into()).unwrap_or_default();
        let is_on = settings.admission;
        let admission =
            Admission::new(is_on, address.clone(), store.clone(), clock, metrics.clone());
        let admission = Rc::new(admission);
        monoio::spawn(admission.clone().follow());
        let front = Front {
            store: store.clone(),
            clock,
            intent: intent.clone(),
            submitters: start_submitters(&store, clock, &relay),
            relay: relay.clone(),
            row_bytes: settings.row_bytes,
            board: RefCell::default(),
            metrics: metrics.clone(),
            own_address: address.clone(),
            payloads,
            cancellations,
            admission,
        };
        let bounds = Bounds {
            connections: shares.callers,
            body_bytes: settings.row_bytes * BODY_BYTES_PER_ROW_BYTE,
            held_body_bytes: MAX_HELD_BODY_BYTES,
            ..Bounds::default()
        };
        let server = Server::bind(settings.callers, bounds, Rc::new(front))
            .with_context(|| format!("cannot listen at {} for callers", settings.callers))?;
        let (stop, shutdown) = shutdown_pair();
        let callers = CallerServer { stop, task: monoio::spawn(server.run(shutdown)) };

        let own = EntryRow {
            address: address.clone(),
            incarnation,
            strength: strength(settings.processors, settings.link_mbps),
        };
        let name = settings.name.clone();
        monoio::spawn(publish_and_follow_entries(store.clone(), name, own, entries.clone()));

        let candidate = Candidate {
            store,
            clock,
            hosts: settings
                .hosts
                .map(|it| Rc::new(HostClient::new(it, &settings.name, HOSTS_TIMEOUT))),
            advice: settings.advice.map(|it| Rc::new(AdviceClient::new(it, ADVICE_TIMEOUT))),
            learns_durations: settings.learned_durations,
            timing: timing(settings),
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
            keeps_until: Moment(0),
            metrics,
            is_admission_on: settings.admission,
        };
        let candidate = monoio::spawn(candidate.run());
        let grace = Duration::from_secs_f64(settings.grace_s * GRACE_SHARE);
        Ok(Self { is_stopping, term, callers, candidate, grace })
    }

    /// Stops accepting callers, answers requests in flight and releases the lease.
    pub async fn stop(self) {
        self.is_stopping.set(true);
        self.callers.stop.stop();
        let drained = timeout(self.grace, self.callers.task);
        let released = async {
            if self.term.get() != 0 {
                let released = timeout(self.grace, self.candidate).await;
                tracing::info!(event = "lease-returned", in_time = released.is_ok());
            }
        };
        let (drained, ()) = join(drained, released).await;
        tracing::info!(event = "stopped", drained = drained.is_ok());
    }
}

/// The share of the time until the process is killed that a graceful stop may use.
const GRACE_SHARE: f64 = 0.7;

/// Starts the task that writes rows to each partition of the table of jobs.
fn start_submitters(
    store: &Rc<Store>,
    clock: Clock,
    relay: &Rc<Relay>,
) -> FastMap<Name, mpsc::UnboundedSender<Insert>> {
    let mut submitters = FastMap::default();
    for part in tables::job_parts() {
        let (tx, rx) = mpsc::unbounded_channel();
        monoio::spawn(Submitter { store: store.clone(), clock, rx, relay: relay.clone() }.run());
        submitters.insert(Name::from(part), tx);
    }
    submitters
}

fn timing(settings: &Fleet) -> Timing {
    let longest = settings.longest_lease_ms;
    Timing {
        lease_ms: MAX_LEASE_MS.min(longest - longest / LEASE_MARGIN_DIVISOR),
        longest_lease_ms: longest,
        move_ms: (settings.move_s * 1_000.0) as u64,
        maintenance_ms: (settings.upkeep_s * 1_000.0) as u64,
        holder_change_ms: settings.holder_change_ms,
        cancel_ms: settings.cancel_ms,
        renewal_ms: RENEWAL_MS,
        retention_ms: settings.status_s * 1_000 + KEEP_MARGIN_MS,
        late_order_ms: if settings.fenced_hosts { LATE_ORDER_MS } else { 0 },
        far_percent: (settings.far_factor * 100.0) as u64,
        demand_pools: settings.demand_pools,
    }
}
