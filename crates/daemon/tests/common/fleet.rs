//! A site on a stand-in of the platform: entry hosts as processes, and callers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    ops::Deref,
    time::{Duration, Instant},
};

use fuchsiamill_http::{Request, Response};
use fuchsiamill_standin::{
    admin::{Route, RouteFault, SetRouteFault},
    fleet::{FleetSite, HEALTH_PATH, LASTING, World},
};
use http::{HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

use super::{
    net::{self, LoopbackNet},
    process::Daemon,
    wait_until,
};

/// The key of the team that posts jobs.
pub const KEY: &str = "north-key";

/// The key of another team.
pub const OTHER_KEY: &str = "south-key";

/// The prefix of a queue that takes calls without a key, where a configuration has it.
pub const OPEN_PREFIX: &str = "/open/";

/// Entry hosts on a stand-in.
pub struct Fleet {
    pub site: FleetSite,
    pub entries: Vec<Process>,
    pub jobs: RefCell<Vec<String>>,
    /// The queues and pools that every configuration has.
    layout: Layout,
}

/// The pools of a site.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Pools with queues of their own, `/NAME/`, and how many hosts each has at first.
    pub own: Vec<(&'static str, usize)>,
    /// The pool of the queue `/jobs/`, if there is one, and how many hosts it has at first.
    pub web: Option<usize>,
    /// The pool whose hosts are off, and how many it has at first.
    pub spare: (&'static str, usize),
}

impl Layout {
    /// Pools `web` and `spare` of so many hosts each.
    pub fn of_web(hosts: usize) -> Self {
        Self { own: Vec::new(), web: Some(hosts), spare: ("spare", hosts) }
    }

    fn pools(&self) -> Vec<(&'static str, usize)> {
        let web = self.web.map(|it| ("web", it));
        web.into_iter().chain(self.own.iter().copied()).chain([self.spare]).collect()
    }

    fn config(&self, version: u64, host: &str, prefixes: &[&str]) -> Value {
        let web = prefixes.iter().map(|it| ((*it).to_owned(), "web"));
        let own = self.own.iter().map(|it| (format!("/{}/", it.0), it.0));
        let queues: Vec<(String, &str)> = web.filter(|_| self.web.is_some()).chain(own).collect();
        let pools: Vec<&str> = self.pools().iter().map(|it| it.0).collect();
        config(version, host, &queues, &pools, self.spare.0)
    }
}

/// One entry host.
pub struct Process {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
    /// Its way to the store, through the proxy.
    route: SocketAddr,
    daemon: Daemon,
}

impl Fleet {
    /// Starts so many entry hosts, and pools `web` and `spare` of so many hosts each.
    pub fn start(entries: usize, hosts: usize) -> Self {
        Self::start_on(entries, hosts, |_| {})
    }

    /// Starts them after the platform was set up.
    pub fn start_on(entries: usize, hosts: usize, set_up: impl FnOnce(&mut World)) -> Self {
        Self::start_with(entries, hosts, "", set_up)
    }

    /// Starts them with further settings, after the platform was set up.
    pub fn start_with(
        entries: usize,
        hosts: usize,
        settings: &str,
        set_up: impl FnOnce(&mut World),
    ) -> Self {
        Self::start_each(&vec![settings; entries], hosts, set_up)
    }

    /// Starts an entry host with each of these further settings, after the platform was set up.
    pub fn start_each(settings: &[&str], hosts: usize, set_up: impl FnOnce(&mut World)) -> Self {
        Self::start_pools(settings, Layout::of_web(hosts), set_up)
    }

    /// Does so with these pools.
    pub fn start_pools(settings: &[&str], layout: Layout, set_up: impl FnOnce(&mut World)) -> Self {
        let net = LoopbackNet::new();
        let pools = layout.pools();
        let site = FleetSite::start_pools(net.any(), &pools, layout.spare.0).expect("it starts");
        set_up(&mut site.world());
        let fleet_ip = net.any().ip().to_string();
        site.world().rows.put("op", "config", &layout.config(1, &fleet_ip, &["/jobs/"]));
        let each = settings.iter().enumerate();
        let entries = each.map(|(it, own)| Process::start(&site, &net, it, own)).collect();
        let fleet = Self { site, entries, jobs: RefCell::default(), layout };
        fleet.wait_ready();
        fleet
    }

    pub fn wait_ready(&self) {
        for it in &self.entries {
            wait_until("the entry host is ready", || it.is_ready());
        }
    }

    /// Puts a newer configuration with these queues in force.
    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        let ip = self.entries[0].front.ip().to_string();
        self.site.world().rows.put("op", "config", &self.layout.config(version, &ip, prefixes));
    }

    /// The entry host that coordinates, by the lease.
    pub fn coordinator(&self) -> Option<usize> {
        let lease = self.site.world().rows.value("coordinator", "", "lease")?;
        self.entries.iter().position(|it| lease["holder"] == it.name.as_str())
    }

    /// The entry host that coordinates; between a graceful return of the lease and the next look there is none.
    pub fn wait_coordinator(&self) -> usize {
        let mut found = None;
        wait_until("somebody coordinates", || {
            found = self.coordinator();
            found.is_some()
        });
        found.expect("it was found")
    }

    /// Posts a job until it is accepted or `patience` is over.
    pub fn accept(&self, job: &Value, patience: Duration) -> Option<String> {
        self.accept_in("jobs", job, patience)
    }

    /// Posts a job to a queue, which has the name of its pool, until it is accepted or `patience` is over.
    pub fn accept_in(&self, queue: &str, job: &Value, patience: Duration) -> Option<String> {
        let id = format!("{:016x}", fastrand::u64(..));
        let path = format!("/{queue}/{id}");
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let entry = &self.entries[fastrand::usize(0..self.entries.len())];
            let answer = entry.send_to(Method::POST, &path, Some(job), KEY);
            if answer.is_some_and(|it| it.status.is_success()) {
                self.jobs.borrow_mut().push(id.clone());
                return Some(id);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// The state of a job, as some entry host tells it.
    pub fn state(&self, id: &str) -> Option<String> {
        let entry = &self.entries[fastrand::usize(0..self.entries.len())];
        let answer = entry.send(Method::GET, id, None)?;
        if answer.status.as_u16() == 410 {
            return Some("gone".into());
        }
        let state: Value = serde_json::from_slice(&answer.body).ok()?;
        state["state"].as_str().map(str::to_owned)
    }

    pub fn wait_state(&self, id: &str, state: &str) {
        wait_until(&format!("job {id} is {state}"), || self.state(id).as_deref() == Some(state));
    }

    /// Waits until a task of a job has started.
    pub fn wait_start(&self, id: &str) {
        wait_until("its task starts", || {
            self.site.world().runs.iter().any(|it| it.task.starts_with(id))
        });
    }

    /// Waits until the entry hosts know each other: they read each other's rows some seconds after their start.
    pub fn wait_known(&self) {
        std::thread::sleep(Duration::from_secs(9));
    }

    /// Waits until every accepted job is completed, and checks that no task ran twice.
    pub fn check(&self) {
        for id in self.jobs.borrow().iter() {
            self.wait_state(id, "completed");
        }
        let twice = self.site.world().twice.clone();
        twice.iter().for_each(|it| self.print_story(it));
        assert!(twice.is_empty(), "ran twice: {twice:?}");
    }

    /// Prints what the workers did with a task, and what the entry hosts logged of its job, of leases and of workers.
    pub fn print_story(&self, task: &str) {
        let world = self.site.world();
        let runs: Vec<_> = world.runs.iter().filter(|it| it.task == task).collect();
        let Some(first) = runs.first().map(|it| it.began) else { return };
        for it in &runs {
            let ended =
                it.ended.as_ref().map(|(at, how)| (at.saturating_duration_since(first), how));
            let began = it.began.saturating_duration_since(first);
            eprintln!("{task} run {} on {}: began {began:?}, ended {ended:?}", it.run, it.worker);
        }
        let job = task.split('.').next().unwrap_or(task);
        let words = [job, "lease", "coordinator", "worker-", "state-loaded", "started\""];
        for entry in &self.entries {
            let log = entry.log();
            let told = log.lines().filter(|line| words.iter().any(|it| line.contains(it)));
            told.for_each(|line| eprintln!("{} {line}", entry.name));
        }
    }

    /// Puts a fault on the way of one entry host to the store.
    pub fn store_fault(&self, entry: usize, fault: RouteFault) {
        self.route_fault(self.entries[entry].route, fault);
    }

    /// Puts a fault on a route of the proxy.
    pub fn route_fault(&self, listen: SocketAddr, fault: RouteFault) {
        net::post::<_, ()>(self.site.proxy, "/fault", &SetRouteFault { listen, fault });
    }

    /// Lists each worker at a route of the proxy. Returns these routes, by host.
    pub fn route_workers(&self) -> Vec<SocketAddr> {
        let count = self.site.world().host_count();
        let routes = (0..count).map(|host| {
            let to = self.site.world().addr(host).expect("the host has an address");
            let listen = SocketAddr::new(to.ip(), 0);
            let route = net::post(self.site.proxy, "/route", &Route { listen, to });
            self.site.world().set_addr(host, route);
            route
        });
        routes.collect()
    }
}

impl Process {
    fn start(site: &FleetSite, net: &LoopbackNet, number: usize, settings: &str) -> Self {
        let name = format!("entry-{number}");
        let (front, ready, peers) = (net.free(), net.free(), net.free());
        let listen = net.any();
        let route = net::post(site.proxy, "/route", &Route { listen, to: site.store });
        let text = format!(
            "[fleet]\nname = {name}\ncallers = {front}\nready = {ready}\npeers = {peers}\n\
             store = {route}\nhosts = {}\nmove-s = 0.3\nupkeep-s = 0.3\ngrace-s = 4\n{settings}",
            site.hosts
        );
        let daemon = Daemon::start(front, &text);
        Self { name, front, ready, peers, route, daemon }
    }

    pub fn is_ready(&self) -> bool {
        net::send(self.ready, Request::get("/ready")).is_some_and(|it| it.status.is_success())
    }

    pub fn post(&self, id: &str, job: &Value) -> Option<Response> {
        self.send(Method::POST, id, Some(job))
    }

    /// Sends a request to the queue `/jobs/`.
    pub fn send(&self, method: Method, id: &str, body: Option<&Value>) -> Option<Response> {
        self.send_to(method, &format!("/jobs/{id}"), body, KEY)
    }

    /// The id of its process.
    pub fn pid(&self) -> u32 {
        self.daemon.pid()
    }

    /// Sends a request with this key, or without one if it is empty.
    pub fn send_to(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        key: &str,
    ) -> Option<Response> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = Request { method, ..Request::post(path, body) };
        let request = match key {
            "" => request,
            key => request.header(
                HeaderName::from_static("x-api-key"),
                HeaderValue::from_str(key).expect("a key"),
            ),
        };
        net::send(self.front, request)
    }

    /// Ends the process, gracefully or not, and starts it anew.
    pub fn replace(&self, gracefully: bool) {
        if gracefully {
            self.signal("TERM");
            self.wait_end();
        }
        self.restart();
    }

    /// A page of the metrics.
    pub fn metrics(&self) -> String {
        let answer = net::send(self.ready, Request::get("/metrics")).expect("the metrics");
        String::from_utf8_lossy(&answer.body).into_owned()
    }
}

impl Deref for Process {
    type Target = Daemon;

    fn deref(&self) -> &Daemon {
        &self.daemon
    }
}

/// Polls the worker with this id under a fence, and acknowledges its ends up to a number.
pub fn send_poll(addr: SocketAddr, id: &str, fence: u64, upto: u64) -> Option<Response> {
    call_worker(addr, id, "/hold", &json!({ "fence_token": fence, "seen_upto": upto }))
}

/// Orders the worker with this id to start run 1 of a task under a fence.
pub fn send_start(addr: SocketAddr, id: &str, task: &str, fence: u64) -> Option<Response> {
    let start = json!({
        "task": task, "run": 1, "spec": "", "deadline_ms": 60_000, "fence_token": fence
    });
    call_worker(addr, id, "/run-start", &start)
}

fn call_worker(addr: SocketAddr, id: &str, path: &str, body: &Value) -> Option<Response> {
    let name = HeaderName::from_static("x-fuchsiamill-expect-instance");
    let value = HeaderValue::from_str(id).expect("an id");
    net::send(addr, Request::post(path, body.to_string()).header(name, value))
}

/// A job whose steps follow one another; each has so many tasks of so many milliseconds.
pub fn job(ms: u64, steps: &[u32]) -> Value {
    let steps: Vec<Value> = steps
        .iter()
        .enumerate()
        .map(|(number, count)| {
            let after: Vec<usize> = (0..number).collect();
            json!({
                "count": count, "cpu": 500, "mem_mb": 64, "estimate_ms": ms, "after": after
            })
        })
        .collect();
    json!({ "spec": format!("ms={ms}"), "steps": steps })
}

/// A job of one step whose tasks run until it is cancelled.
pub fn lasting_job(tasks: u32, cpu: u32) -> Value {
    let step = json!({ "count": tasks, "cpu": cpu, "mem_mb": 64, "long_running": true });
    json!({ "spec": LASTING, "steps": [step] })
}

fn config(
    version: u64,
    host: &str,
    queues: &[(String, &str)],
    pools: &[&str],
    spare: &str,
) -> Value {
    let service = |name: &&str| match *name == spare {
        true => json!({ "name": name, "rejects_overload": true, "spare": true }),
        false => json!({
            "name": name, "rejects_overload": true, "spare": false, "health_path": HEALTH_PATH
        }),
    };
    let services: Vec<Value> = pools.iter().map(service).collect();
    let routes: Vec<Value> = queues
        .iter()
        .map(|(prefix, pool)| {
            json!({
                "name": format!("queue{}", prefix.replace('/', "-")), "host": host,
                "path_prefix": prefix, "service": pool, "kind": "non_idempotent",
                "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
                "max_attempts": 3, "stretch": 1.6, "public": prefix == OPEN_PREFIX
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144 },
        "tenants": [
            {
                "name": "north", "api_keys": [KEY], "weight": 1000,
                "cap": { "cpu": 0, "mem_mb": 0, "gpu": 0 }
            },
            {
                "name": "south", "api_keys": [OTHER_KEY], "weight": 1000,
                "cap": { "cpu": 0, "mem_mb": 0, "gpu": 0 }
            }
        ]
    })
}
