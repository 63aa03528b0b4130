//! What fails during a run, and when.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use fuchsiamill_daemon::{embedded::EntryThread, run::block_on};
use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::Millisecond;
use fuchsiamill_standin::{
    admin::{BackendMode, PlatformFault, SetMode},
    site::Standins,
};
use serde::Serialize;

/// The entry host that is killed.
pub const KILLED: usize = 7;
/// When it is killed, from the beginning of the run.
pub const KILLED_AT: Millisecond = 8_000;
/// How long the balancer sends to a host that is gone.
pub const BALANCER_LAG: Millisecond = 1_000;

const SLOW_HOST: &str = "host-3";
const SLOW_FROM: Millisecond = 1_000;
const SLOW_BY_MS: u64 = 500;
const SLOW_UNTIL: Millisecond = 4_000;
const TABLE_DOWN_FROM: Millisecond = 5_000;
const TABLE_DOWN_UNTIL: Millisecond = 9_500;
const TIME: Duration = Duration::from_secs(10);

/// Brings the faults about; returns when the last one is over.
pub fn bring_about(
    began: Instant,
    standins: &Standins,
    entry: Option<EntryThread>,
    is_down: &AtomicBool,
) -> Result<()> {
    let server = standins.server_of(SLOW_HOST).context("The slow host is not there.")?;
    let mode = |mode| SetMode { server: server.clone(), mode };
    wait(began, SLOW_FROM);
    post(standins.backends, "/mode", &mode(BackendMode::Late { ms: SLOW_BY_MS }))?;
    wait(began, SLOW_UNTIL);
    post(standins.backends, "/mode", &mode(BackendMode::Serving))?;
    wait(began, TABLE_DOWN_FROM);
    post(standins.platform, "/admin/fault", &PlatformFault::Down)?;
    wait(began, KILLED_AT);
    if let Some(entry) = entry {
        entry.kill();
    }
    wait(began, KILLED_AT + BALANCER_LAG);
    is_down.store(true, Ordering::Relaxed);
    wait(began, TABLE_DOWN_UNTIL);
    post(standins.platform, "/admin/fault", &PlatformFault::None)
}

fn wait(began: Instant, at: Millisecond) {
    sleep((began + Duration::from_millis(at)).saturating_duration_since(Instant::now()));
}

fn post<T: Serialize>(addr: std::net::SocketAddr, target: &str, value: &T) -> Result<()> {
    let client = JsonClient::new(addr, Bounds::default(), TIME);
    Ok(block_on(async { client.post(target, value).await })?)
}
