//! A whole small site of stand-ins: threads that serve, and the configuration that names them.

use std::{
    future::{Future, pending},
    io,
    net::SocketAddr,
    sync::mpsc,
    thread,
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::{
    Configuration, EntryName, Host, HostName, HostState, Key, KeyDigest, KeyId, Pool, PoolName,
    Resources, Service, Slots, Team, Units, Version,
    config::{Access, PoolRole},
    team::Urgency,
};
use fuchsiamill_ports::{Commit, CommitOutcome};

use crate::{
    backend::{self, BackendPlan},
    platform, proxy,
    run::block_on,
    story::Story,
    worker::{self, WorkerPlan},
};

/// The slots of each host's backend server.
pub const SLOTS: Slots = 8;
/// The connections that each backend server accepts.
pub const CONNECTIONS: u32 = 64;
/// The hosts of a rack.
pub const HOSTS_PER_RACK: usize = 4;
/// The data centres that racks stand in, in turn.
pub const DATA_CENTRES: usize = 3;

const USAGE_LAG_MS: u64 = 500;
const HOST_RESOURCES: Resources =
    Resources { millicores: 16_000, memory_mib: 32 * 1024, accelerators: 0 };
const SEED_TIME: Duration = Duration::from_secs(10);

/// A pool to make.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// The pool with its budget. A serving pool has a service of the same name.
    pub pool: Pool,
    /// How many hosts it has.
    pub hosts: usize,
}

/// The addresses of the stand-ins of a site.
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
    /// Starts them all on threads of this process, on free ports of the address `listen`.
    pub fn start(listen: SocketAddr, hosts: usize, work: Duration) -> Result<Self> {
        Self::start_telling(listen, hosts, work, &Story::default())
    }

    /// Like [`Standins::start`]; the platform and the backend servers tell `story` what they do.
    pub fn start_telling(
        listen: SocketAddr,
        hosts: usize,
        work: Duration,
        story: &Story,
    ) -> Result<Self> {
        let plan = BackendPlan { listen, count: hosts, slots: SLOTS, work };
        let started = on_thread({
            let story = story.clone();
            move || backend::start_telling(&plan, story)
        })?;
        let plan = WorkerPlan { listen, count: hosts, usage_lag: USAGE_LAG_MS };
        let agents = on_thread(move || worker::start(&plan))?;
        Ok(Self {
            platform: on_thread({
                let story = story.clone();
                move || platform::start_telling(listen, story)
            })?,
            backends: started.admin,
            proxy: on_thread(move || proxy::start(listen))?,
            workers: agents.admin,
            servers: started.servers,
            agents: agents.workers,
        })
    }

    /// The name of a host's backend server.
    pub fn server_of(&self, host: &str) -> Option<String> {
        Some(self.servers.get(host_index(host)?)?.0.clone())
    }

    /// The configuration of a site of these pools, teams and entry hosts, at version 1.
    pub fn configuration(
        &self,
        pools: &[PoolPlan],
        teams: &[Team],
        entries: &[(EntryName, SocketAddr)],
    ) -> Result<Configuration> {
        let mut config = Configuration {
            version: Version(1),
            entry_version: Version(1),
            entry_hosts: entries.iter().cloned().collect(),
            ..Default::default()
        };
        for plan in pools {
            self.add_pool(&mut config, plan)?;
        }
        for team in teams {
            let key = key_of(team)?;
            config.keys.insert(key.id.clone(), key);
            config.teams.insert(team.name.clone(), team.clone());
        }
        Ok(config)
    }

    /// Writes the first configuration to the table, which must be empty.
    pub fn seed(&self, config: &Configuration) -> Result<()> {
        let commit = Commit::default().absent("config/snapshot").put("config/snapshot", config);
        let client = JsonClient::new(self.platform, Bounds::default(), SEED_TIME);
        let outcome = block_on(async { client.post("/table/commit", &commit).await })?;
        ensure!(matches!(outcome, CommitOutcome::Done { .. }), "The table is not empty.");
        Ok(())
    }

    fn add_pool(&self, config: &mut Configuration, plan: &PoolPlan) -> Result<()> {
        let pool = &plan.pool.name;
        for _ in 0..plan.hosts {
            let host = self.host(config.hosts.len(), pool)?;
            config.hosts.put(host);
        }
        config.pools.insert(pool.clone(), plan.pool.clone());
        if plan.pool.role == PoolRole::Serving {
            let name = pool.as_str().try_into()?;
            let service = Service { name, pool: pool.clone(), access: Access::Teams };
            config.services.insert(service.name.clone(), service);
        }
        Ok(())
    }

    /// The host with this index: four to a rack, racks in turn over the data centres.
    fn host(&self, index: usize, pool: &PoolName) -> Result<Host> {
        let rack = index / HOSTS_PER_RACK;
        let (_, backend) = self.servers.get(index).context("More hosts than backend servers.")?;
        let (_, worker) = self.agents.get(index).context("More hosts than workers.")?;
        Ok(Host {
            name: HostName::try_from(format!("host-{index}"))?,
            pool: pool.clone(),
            rack: format!("rack-{rack}").try_into()?,
            data_centre: format!("dc-{}", rack % DATA_CENTRES).try_into()?,
            region: "north".try_into()?,
            backend: *backend,
            worker: *worker,
            slots: SLOTS,
            connections: CONNECTIONS,
            resources: HOST_RESOURCES,
            state: HostState::Serving,
        })
    }
}

/// A team with a share of 1.
pub fn team(name: &str, upper_limit: Units) -> Result<Team> {
    let name = name.try_into()?;
    Ok(Team { name, share: 1, upper_limit, queue: 1000, urgent: Urgency::Normal })
}

/// The key of a team of a site: its name followed by `-key`.
pub fn key_of(team: &Team) -> Result<Key> {
    let id = KeyId::try_from(format!("{}-1", team.name))?;
    let digest = KeyDigest::of(&format!("{}-key", team.name));
    Ok(Key { id, team: team.name.clone(), digest })
}

/// Starts something on a thread with a runtime of its own that runs as long as the process.
fn on_thread<T: Send + 'static>(
    start: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> Result<T> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || serve(async move { tx.send(start()).is_ok() }));
    Ok(rx.recv().context("The stand-in's thread ended.")??)
}

fn serve(start: impl Future<Output = bool>) {
    block_on(async {
        if start.await {
            pending::<()>().await;
        }
    });
}

fn host_index(host: &str) -> Option<usize> {
    host.strip_prefix("host-")?.parse().ok()
}
