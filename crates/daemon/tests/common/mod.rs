//! A small site for tests: real entry-host processes between this test and stand-ins.
//!
//! `Site::of(3).pool("front", 10).team("north", 40).start()` reads as it runs. The stand-ins run on
//! threads of the test; the entry hosts are processes. Every address is on a loopback address of
//! this test's own, so that tests side by side never meet.

#![allow(dead_code, missing_docs)]

pub mod callers;
pub mod entry;
pub mod evacuations;
pub mod fleet;
pub mod jobs;
pub mod load;
pub mod losses;
pub mod net;
pub mod operator;
pub mod order_log;
pub mod pressers;
pub mod process;
pub mod recuts;
pub mod session;
pub mod shared_ids;
pub mod soak;
pub mod soak_entries;
pub mod soak_faults;
pub mod standing;
pub mod story;
pub mod unanswered;
pub mod waves;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use fuchsiamill_http::{Request, Response};
use fuchsiamill_model::{
    Configuration, EntryName, KeyDigest, Pool, PoolName, Slots, Team, Units, config::PoolRole,
};
use fuchsiamill_policy::membership::View;
use fuchsiamill_standin::{
    admin::{BackendMode, PlatformFault, Route, RouteFault, SetMode, SetRouteFault},
    record::{BackendRecord, PlatformRecord},
    site::{DATA_CENTRES, PoolPlan, Standins, team},
    story::Story,
};

pub use entry::EntryProcess;
use net::LoopbackNet;
use story::StoryKeeper;

/// The longest that a test waits for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// What a site is made of, before it starts.
pub struct SiteBuilder {
    entry_hosts: usize,
    pools: Vec<PoolPlan>,
    teams: Vec<Team>,
    work_ms: u64,
    settings: BTreeMap<String, String>,
    proxied: Proxied,
    seed: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Proxied {
    Nothing,
    Everything,
}

/// A running site.
pub struct Site {
    /// Dropped first, while the entry hosts' logs are there.
    keeper: StoryKeeper,
    /// The entry hosts.
    pub entries: Vec<EntryProcess>,
    /// The configuration that the site started with.
    pub config: Configuration,
    standins: Standins,
    routes: BTreeMap<(String, String), SocketAddr>,
}

impl Site {
    /// A site with so many entry hosts.
    pub fn of(entry_hosts: usize) -> SiteBuilder {
        SiteBuilder {
            entry_hosts,
            pools: Vec::new(),
            teams: Vec::new(),
            work_ms: 20,
            settings: BTreeMap::new(),
            proxied: Proxied::Nothing,
            seed: None,
        }
    }

    /// Posts `body` to a service through one entry host with a team's key.
    pub fn post(&self, entry: usize, service: &str, key: &str, body: &str) -> Response {
        self.try_post(entry, service, key, body).expect("the entry host answers")
    }

    /// Like [`Site::post`], or `None` when no answer came.
    pub fn try_post(&self, entry: usize, service: &str, key: &str, body: &str) -> Option<Response> {
        let request = Request::post(format!("/v1/services/{service}"), body.to_owned());
        let who = format!("caller of {}", entry_name(entry));
        self.story().tell(&who, || format!("posts {body} to {service} with {key}"));
        let answer = net::send(self.entries[entry].caller, net::with_key(request, key));
        self.story().tell(&who, || format!("{body}: {:?}", answer.as_ref().map(|it| it.status)));
        answer
    }

    /// What the stand-ins and callers tell; a test that fails keeps it.
    pub fn story(&self) -> &Story {
        &self.keeper.story
    }

    /// What truly ran at the backend servers.
    pub fn backend_record(&self) -> BackendRecord {
        net::post(self.standins.backends, "/record", &())
    }

    /// What the platform truly did.
    pub fn platform_record(&self) -> PlatformRecord {
        net::post(self.standins.platform, "/admin/record", &())
    }

    /// The address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.standins.platform
    }

    /// Makes the platform misbehave.
    pub fn platform_fault(&self, fault: PlatformFault) {
        net::post::<_, ()>(self.standins.platform, "/admin/fault", &fault);
    }

    /// Sets how the backend server of one host behaves.
    pub fn backend_mode(&self, host: &str, mode: BackendMode) {
        let server = self.standins.server_of(host).expect("a host of the site");
        net::post::<_, ()>(self.standins.backends, "/mode", &SetMode { server, mode });
    }

    /// Puts a fault on the way from one process to another; names are 'entry-0' or 'platform'.
    pub fn route_fault(&self, from: &str, to: &str, fault: RouteFault) {
        self.story().tell("test", || format!("{from} to {to}: {fault:?}"));
        let listen = self.routes[&(from.to_owned(), to.to_owned())];
        net::post::<_, ()>(self.standins.proxy, "/fault", &SetRouteFault { listen, fault });
    }

    /// Cuts or heals both ways between two groups of entry hosts.
    pub fn partition(&self, left: &[usize], right: &[usize], fault: RouteFault) {
        for &a in left {
            for &b in right {
                self.route_fault(&entry_name(a), &entry_name(b), fault);
                self.route_fault(&entry_name(b), &entry_name(a), fault);
            }
        }
    }

    /// Waits until every entry host that runs is ready.
    pub fn wait_ready(&self) {
        for entry in self.entries.iter().filter(|it| it.is_running()) {
            wait_until("the entry host is ready", || entry.is_ready());
        }
    }

    /// The owner of a pool while every entry host is in the view.
    pub fn owner_of(&self, pool: &str) -> usize {
        let mut members: Vec<EntryName> =
            self.entries.iter().map(|it| it.name.as_str().try_into().unwrap()).collect();
        members.sort();
        let view = View { members, ..View::default() };
        let owner = view.owner(&pool.try_into().unwrap()).expect("an owner").clone();
        self.entries.iter().position(|it| it.name == owner.as_str()).expect("an entry host")
    }

    /// Starts an entry host anew that was killed or stopped.
    pub fn restart(&mut self, entry: usize) {
        self.entries[entry].restart();
    }
}

impl SiteBuilder {
    /// Adds a pool of so many hosts that serves a service of the same name.
    pub fn pool(self, name: &str, hosts: usize) -> Self {
        self.pool_with_budget(name, hosts, 0, u32::MAX)
    }

    /// Adds a pool with an availability budget: the least serving slots and the most hosts out in
    /// one data centre.
    pub fn pool_with_budget(self, name: &str, hosts: usize, least: Slots, most_out: u32) -> Self {
        self.add_pool(name, hosts, PoolRole::Serving, (least, most_out))
    }

    /// Adds a spare pool of so many hosts.
    pub fn spare(self, name: &str, hosts: usize) -> Self {
        self.add_pool(name, hosts, PoolRole::Spare, (0, u32::MAX))
    }

    fn add_pool(mut self, name: &str, hosts: usize, role: PoolRole, budget: (Slots, u32)) -> Self {
        let name = PoolName::try_from(name).expect("a name");
        let (least_serving, most_out_per_domain) = budget;
        let pool = Pool { name, role, least_serving, most_out_per_domain };
        self.pools.push(PoolPlan { pool, hosts });
        self
    }

    /// Adds a team whose key is its name followed by `-key`.
    pub fn team(mut self, name: &str, upper_limit: Units) -> Self {
        self.teams.push(team(name, upper_limit).expect("a team"));
        self
    }

    /// Adds a team like [`SiteBuilder::team`] with so many places in its queue of each pool.
    pub fn team_with_queue(mut self, name: &str, upper_limit: Units, queue: u32) -> Self {
        self.teams.push(Team { queue, ..team(name, upper_limit).expect("a team") });
        self
    }

    /// Sets how long a request runs at a backend server, in milliseconds.
    pub fn work_ms(mut self, ms: u64) -> Self {
        self.work_ms = ms;
        self
    }

    /// Sets one settings key of every entry host, as `section.key`.
    pub fn setting(mut self, key: &str, value: impl ToString) -> Self {
        self.settings.insert(key.into(), value.to_string());
        self
    }

    /// Puts a route of the fault-injecting proxy between all processes.
    pub fn proxied(mut self) -> Self {
        self.proxied = Proxied::Everything;
        self
    }

    /// Tells the seed of the test's load, for the name of the story that a failing test keeps.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Starts the stand-ins, writes the configuration to the table and starts the entry hosts.
    pub fn start(self) -> Site {
        let site = self.start_without_waiting();
        site.wait_ready();
        for entry in &site.entries {
            assert!(entry.is_running(), "{} ended by itself at its start", entry.name);
        }
        site
    }

    /// Like [`SiteBuilder::start`], without waiting for the entry hosts to be ready.
    pub fn start_without_waiting(self) -> Site {
        let net = LoopbackNet::new();
        let hosts = self.pools.iter().map(|it| it.hosts).sum();
        let work = Duration::from_millis(self.work_ms);
        let story = Story::kept();
        let standins = Standins::start_telling(net.any(), hosts, work, &story);
        let standins = standins.expect("the stand-ins start");
        let peers: Vec<SocketAddr> = (0..self.entry_hosts).map(|_| net.free()).collect();
        let named: Vec<_> =
            peers.iter().enumerate().map(|(it, peer)| (entry_id(it), *peer)).collect();
        let config =
            standins.configuration(&self.pools, &self.teams, &named).expect("a configuration");
        standins.seed(&config).expect("an empty table");
        let routes = self.open_routes(&standins, &net, &peers);
        let entries: Vec<_> = (0..self.entry_hosts)
            .map(|index| {
                let settings = self.settings_of(index, &net, &standins, &peers, &routes);
                EntryProcess::start(entry_name(index), settings, story.clone())
            })
            .collect();
        let logs = entries.iter().map(|it| (it.name.clone(), it.log_file())).collect();
        let keeper = StoryKeeper { story, seed: self.seed, logs };
        Site { keeper, entries, config, standins, routes }
    }

    fn open_routes(
        &self,
        standins: &Standins,
        net: &LoopbackNet,
        peers: &[SocketAddr],
    ) -> BTreeMap<(String, String), SocketAddr> {
        let mut routes = BTreeMap::new();
        if self.proxied == Proxied::Nothing {
            return routes;
        }
        let mut open = |from: usize, to_name: String, to: SocketAddr| {
            let addr = net::post(standins.proxy, "/route", &Route { listen: net.any(), to });
            routes.insert((entry_name(from), to_name), addr);
        };
        for from in 0..peers.len() {
            open(from, "platform".into(), standins.platform);
            for (to, peer) in peers.iter().enumerate().filter(|(to, _)| *to != from) {
                open(from, entry_name(to), *peer);
            }
        }
        routes
    }

    fn settings_of(
        &self,
        index: usize,
        net: &LoopbackNet,
        standins: &Standins,
        peers: &[SocketAddr],
        routes: &BTreeMap<(String, String), SocketAddr>,
    ) -> BTreeMap<String, String> {
        let me = entry_name(index);
        let route =
            |to: String, direct: SocketAddr| *routes.get(&(me.clone(), to)).unwrap_or(&direct);
        let platform = route("platform".into(), standins.platform);
        let mut settings = self.settings.clone();
        let mut set = |key: &str, value: String| {
            settings.entry(key.into()).or_insert(value);
        };
        set("entry.name", me.clone());
        set("entry.region", "north".into());
        set("entry.data-centre", format!("dc-{}", index % DATA_CENTRES));
        set("entry.caller", net.free().to_string());
        set("entry.operator", net.free().to_string());
        set("entry.metrics", net.free().to_string());
        set("entry.peer", peers[index].to_string());
        for (to, peer) in peers.iter().enumerate() {
            set(&format!("peers.{}", entry_name(to)), route(entry_name(to), *peer).to_string());
        }
        for service in ["table", "objects", "hosts"] {
            set(&format!("platform.{service}"), platform.to_string());
        }
        set("operators.ada", KeyDigest::of("ada-key").to_string());
        set("operators.ben", KeyDigest::of("ben-key").to_string());
        settings
    }
}

/// The name of the entry host with this index.
pub fn entry_name(index: usize) -> String {
    format!("entry-{index}")
}

/// The checked name of the entry host with this index.
pub fn entry_id(index: usize) -> EntryName {
    EntryName::try_from(entry_name(index)).expect("a name")
}

/// Waits until `condition` holds; panics with `what` when it does not within [`PATIENCE`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
