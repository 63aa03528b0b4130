//! Probes of the hosts that a plan has out: their backend servers and their workers.

use std::time::Duration;

use fuchsiamill_http::{Bounds, Connection, Request};
use fuchsiamill_model::Host;
use fuchsiamill_policy::waves::{Health, Probe};
use fuchsiamill_ports::{Worker, WorkerClient};
use futures_util::future::{join, join_all};
use monoio::time::Instant;

use crate::cx::Cx;

const HEALTH: &str = "/health";
const SLOTS_IN_USE: &str = "slots-in-use";

/// Probes the backend servers of hosts side by side.
pub async fn all(cx: &Cx, hosts: &[Host]) -> Vec<Option<Probe>> {
    join_all(hosts.iter().map(|host| one(cx, host))).await
}

/// Probes one host; `None` when its backend server or its worker gave no usable answer.
async fn one(cx: &Cx, host: &Host) -> Option<Probe> {
    let at = cx.clock.now();
    let time = Duration::from_millis(cx.settings.maintenance.probe_ms);
    let worker = WorkerClient::new(host.worker, time);
    let (backend, load) = join(probe_backend(host, time), worker.load()).await;
    let (requests, healthy) = backend?;
    Some(Probe { at, in_flight: requests + load.ok()?.running, healthy })
}

async fn probe_backend(host: &Host, time: Duration) -> Option<(u32, Health)> {
    let deadline = Instant::now() + time;
    let mut connection = Connection::connect(host.backend, Bounds::default(), time).await.ok()?;
    let response = connection.exchange(Request::get(HEALTH), deadline).await.ok()?;
    let requests = response.headers.get(SLOTS_IN_USE)?.to_str().ok()?.parse().ok()?;
    let healthy = if response.status.is_success() { Health::Good } else { Health::Bad };
    Some((requests, healthy))
}
