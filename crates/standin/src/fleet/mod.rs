//! A stand-in of a site's platform: the store of rows, workers that run tasks, and the service that has the hosts.
//!
//! All share one [`World`], which the test reads and changes directly.

mod hosts;
mod narrow_link;
mod owners;
mod rows;
mod workers;
mod world;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    thread,
    time::Duration,
};

use anyhow::{Context, Result};
use fuchsiamill_http::Bounds;
use monoio::time::sleep;

pub use hosts::{DUTY_TIME, Duty, DutyRecord, Loss};
pub use narrow_link::NarrowLinks;
pub use rows::{Rows, StoreFault};
pub use workers::HEALTH_PATH;
pub use world::{LASTING, RunRecord, Worker, WorkerFault, World};

use crate::{proxy, reply, run::block_on};

/// How often workers look at their tasks.
const TICK: Duration = Duration::from_millis(10);

/// A running stand-in.
pub struct FleetSite {
    /// Where the store listens.
    pub store: SocketAddr,
    /// Where the service that has the hosts listens.
    pub hosts: SocketAddr,
    /// Where routes of the fault-injecting proxy are opened.
    pub proxy: SocketAddr,
    world: Arc<Mutex<World>>,
}

impl FleetSite {
    /// Starts the stand-in with `count` hosts in each of `pools` and as many in the pool `spare`.
    pub fn start(listen: SocketAddr, pools: &[&str], count: usize) -> Result<Self> {
        let pools: Vec<(&str, usize)> = pools.iter().map(|it| (*it, count)).collect();
        Self::start_pools(listen, &pools, "spare")
    }

    /// Starts the stand-in with so many hosts in each of `pools`; those of the pool `spare` are off.
    pub fn start_pools(listen: SocketAddr, pools: &[(&str, usize)], spare: &str) -> Result<Self> {
        let world = World::with_spare(spare);
        let world = Arc::new(Mutex::new(world));
        let pools: Vec<(String, usize)> = pools.iter().map(|it| (it.0.to_owned(), it.1)).collect();
        let (tx, rx) = mpsc::channel();
        let shared = world.clone();
        thread::Builder::new().name("fleet".into()).spawn(move || {
            block_on(async move {
                // The other side waits for it.
                let _ = tx.send(serve(listen, &shared, &pools));
                loop {
                    sleep(TICK).await;
                    lock(&shared).tick();
                }
            });
        })?;
        let (store, hosts, proxy) = rx.recv().context("the stand-in did not start")??;
        Ok(Self { store, hosts, proxy, world })
    }

    /// The state of everything.
    pub fn world(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }
}

fn serve(
    listen: SocketAddr,
    world: &Arc<Mutex<World>>,
    pools: &[(String, usize)],
) -> Result<(SocketAddr, SocketAddr, SocketAddr)> {
    let bounds = Bounds { body_bytes: 8 * 1024 * 1024, connections: 4_096, ..Bounds::default() };
    let store = reply::serve(listen, bounds, std::rc::Rc::new(rows::Port(world.clone())))?;
    let hosts = reply::serve(listen, bounds, std::rc::Rc::new(hosts::Port(world.clone())))?;
    for (pool, count) in pools {
        for _ in 0..*count {
            let number = lock(world).add_host(pool);
            let port = workers::Port { world: world.clone(), host: number };
            let addr = reply::serve(listen, bounds, std::rc::Rc::new(port))?;
            lock(world).boot(number, addr);
        }
    }
    Ok((store, hosts, proxy::start(listen)?))
}

pub(crate) fn lock(world: &Mutex<World>) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}
