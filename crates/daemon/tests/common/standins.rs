//! The stand-ins of a site, on threads of the test.

use std::{future::pending, net::SocketAddr, sync::mpsc, thread, time::Duration};

use fuchsiamill_daemon::run::block_on;
use fuchsiamill_model::{Configuration, Host, PoolName, Slots};
use fuchsiamill_platform::{Commit, CommitOutcome};
use fuchsiamill_standin::{
    backend::{self, BackendPlan},
    platform, proxy,
    worker::{self, WorkerPlan},
};

use super::net::{self, LoopbackNet};

const USAGE_LAG_MS: u64 = 500;

/// The addresses of the stand-ins.
pub struct Standins {
    /// The platform.
    pub platform: SocketAddr,
    /// The admin port of the backend servers.
    pub backends: SocketAddr,
    /// The admin port of the proxy.
    pub proxy: SocketAddr,
    /// The admin port of the workers.
    pub workers: SocketAddr,
    servers: Vec<(String, SocketAddr)>,
    agents: Vec<(String, SocketAddr)>,
}

impl Standins {
    /// Starts them all.
    pub fn start(net: &LoopbackNet, hosts: usize, slots: Slots, work_ms: u64) -> Self {
        let listen = net.any();
        let plan =
            BackendPlan { listen, count: hosts, slots, work: Duration::from_millis(work_ms) };
        let started = on_thread(move || backend::start(&plan).expect("free ports"));
        let plan = WorkerPlan { listen, count: hosts, usage_lag: USAGE_LAG_MS };
        let agents = on_thread(move || worker::start(&plan).expect("free ports"));
        let platform = on_thread(move || platform::start(listen).expect("a free port"));
        let proxy = on_thread(move || proxy::start(listen).expect("a free port"));
        Self {
            platform,
            backends: started.admin,
            proxy,
            workers: agents.admin,
            servers: started.servers,
            agents: agents.workers,
        }
    }

    /// The host with this index, on its backend server.
    pub fn host(&self, index: usize, pool: &PoolName) -> Host {
        let backend = self.servers[index].1;
        super::host(index, pool, backend, self.agents[index].1)
    }

    /// The name of a host's backend server.
    pub fn server_of(&self, host: &str) -> String {
        let index: usize = host.trim_start_matches("host-").parse().expect("host-N");
        self.servers[index].0.clone()
    }

    /// Writes the first configuration to the table.
    pub fn seed(&self, config: &Configuration) {
        let commit = Commit::default().absent("config/snapshot").put("config/snapshot", config);
        let outcome: CommitOutcome = net::post(self.platform, "/table/commit", &commit);
        assert!(matches!(outcome, CommitOutcome::Done { .. }), "the table was empty");
    }
}

fn on_thread<T: Send + 'static>(start: impl FnOnce() -> T + Send + 'static) -> T {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        block_on(async move {
            tx.send(start()).expect("the test waits");
            pending::<()>().await;
        })
    });
    rx.recv().expect("the stand-in starts")
}
