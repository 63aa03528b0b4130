//! A small site: the store, executors, the list of machines, and entry hosts as processes.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::parse,
    net::{Reply, Request, free_addr, own_ip, send, serve},
    record::Record,
    store::Store,
    worker::{Book, Executor, Spec},
};

/// The host of all queues.
const HOST: &str = "queues.example";

/// How long a caller waits for an answer.
const CALLER_TIME: Duration = Duration::from_millis(3_000);

/// A queue: its path, the service that runs its work items, and the tenant that uses it.
pub struct Queue {
    pub prefix: &'static str,
    pub service: &'static str,
    pub tenant: &'static str,
}

/// An entry host.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
}

/// The processes that were started and have not been ended, by entry host.
static PROCESSES: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let mut processes = PROCESSES.lock().unwrap_or_else(|it| it.into_inner());
    for (_, process) in processes.iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    processes.clear();
}

/// The site.
pub struct Site {
    pub record: Record,
    pub store: Arc<Store>,
    pub book: Arc<Book>,
    pub executors: Vec<Arc<Executor>>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

impl Site {
    /// Starts a site with so many entry hosts, and waits until they are ready.
    pub fn start(record: &Record, queues: &[Queue], specs: Vec<Spec>, entries: usize) -> Self {
        let (store, store_addr) = Store::start(record);
        let book = Book::new(record);
        store.put("op", "config", &manifest(queues));
        let hold_max_ms = specs[0].hold_max_ms;
        let executors: Vec<_> =
            specs.into_iter().map(|it| Executor::start(it, &store, &book)).collect();
        let cloud = start_cloud(&executors);
        let folder = std::env::temp_dir().join(format!("drill-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let entries: Vec<Entry> = (0..entries)
            .map(|it| Entry::new(&folder, it, store_addr, cloud, hold_max_ms))
            .collect();
        entries.iter().for_each(|it| it.start(record));
        let site = Self { record: record.clone(), store, book, executors, entries, folder };
        site.wait_ready();
        site
    }

    fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            while !entry.is_ready() {
                if Instant::now() > until {
                    self.give_up("the entry hosts are not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.say("all entry hosts are ready");
    }

    /// Ends everything with the code for a case that could not run.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.say(&format!("could not run: {why}"));
        self.end(2)
    }

    /// Ends all processes, and this one with `code`.
    pub fn end(&self, code: i32) -> ! {
        kill_all();
        if code == 0 || std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs of the entry hosts: {}", self.folder.display());
        }
        std::process::exit(code)
    }

    /// Posts a job; returns whether it was accepted. Attempts without an answer, and refusals that say so, are repeated
    /// at other entry hosts.
    pub fn post(&self, prefix: &str, id: &str, key: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let entry = &self.entries[attempt % self.entries.len()];
            let status =
                self.call(entry, "POST", &format!("{prefix}{id}"), key, body).map(|it| it.0);
            match status {
                Some(200..=299) => return true,
                Some(400..=499) => return false,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Returns the state of a job as an entry host tells it.
    pub fn state(&self, prefix: &str, id: &str, key: &str) -> String {
        for entry in &self.entries {
            match self.call(entry, "GET", &format!("{prefix}{id}"), key, "") {
                Some((200, body)) => {
                    return parse(&body).map_or(body, |it| it.get("state").text().to_owned());
                }
                Some((status @ (404 | 410), _)) => return status.to_string(),
                _ => {}
            }
        }
        "no answer".into()
    }

    /// Sends a caller's request and writes it into the record.
    pub fn call(
        &self,
        entry: &Entry,
        method: &str,
        target: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers =
            [("host", HOST), ("x-api-key", key), ("x-fuchsiamill-request-deadline", "3000")];
        let answer = send(entry.front, method, target, &headers, body, CALLER_TIME);
        let told = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        let sent: String = body.chars().take(200).collect();
        self.record.line(&format!("{method} {target} at {} {sent} -> {told}", entry.name));
        answer
    }

    /// Returns whether the check holds within `time`.
    pub fn wait(&self, time: Duration, check: impl Fn() -> bool) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if check() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        check()
    }

    /// Returns the entry host that holds the lease.
    pub fn coordinator(&self) -> Option<&Entry> {
        let lease = parse(&self.store.value("coordinator", "", "lease")?)?;
        self.entries.iter().find(|it| it.name == lease.get("holder").text())
    }

    /// Waits until an entry host coordinates.
    pub fn wait_coordinator(&self) -> &Entry {
        if !self.wait(Duration::from_secs(15), || self.coordinator().is_some()) {
            self.give_up("no entry host coordinates");
        }
        let coordinator = self.coordinator().expect("one was found");
        self.record.say(&format!("{} coordinates", coordinator.name));
        coordinator
    }
}

impl Entry {
    fn new(
        folder: &std::path::Path,
        number: usize,
        store: SocketAddr,
        cloud: SocketAddr,
        hold_max_ms: u64,
    ) -> Self {
        let name = format!("front-{number}");
        let (front, ready, metrics, peers) = (free_addr(), free_addr(), free_addr(), free_addr());
        let config = folder.join(format!("{name}.ini"));
        // The lines of `deploy/entry.ini` with the values of a small site; no queue here needs advice.
        let text = format!(
            "[fleet]\nname = {name}\ncallers = {front}\nready = {ready}\nmetrics = {metrics}\n\
             peers = {peers}\nstore = {store}\nhosts = {cloud}\nlongest-lease-ms = {hold_max_ms}\n\
             move-s = 1.5\nupkeep-s = 2\nholder-change-ms = 3000\ncancel-ms = 3000\n\
             fenced-hosts = false\ngrace-s = 6\nfar-factor = 1.5\nstatus-s = 120\n\
             row-bytes = 65536\nprocessor-share = 0.25\nprocessors = 1\nlink-mbps = 1000.0\n"
        );
        fs::write(&config, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name, front, ready, config, log }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let error_log = log.try_clone().expect("a log file");
        let process = Command::new("target/release/fuchsiamilld")
            .arg("--config")
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn();
        match process {
            Ok(it) => {
                record.line(&format!("{} starts as process {}", self.name, it.id()));
                PROCESSES.lock().unwrap().push((self.name.clone(), it));
            }
            Err(e) => {
                println!("could not run: target/release/fuchsiamilld: {e}");
                kill_all();
                std::process::exit(2);
            }
        }
    }

    fn is_ready(&self) -> bool {
        send(self.ready, "GET", "/ready", &[], "", Duration::from_millis(500))
            .is_some_and(|it| it.0 == 200)
    }
}

fn manifest(queues: &[Queue]) -> String {
    let routes: Vec<String> = queues
        .iter()
        .map(|Queue { prefix, service, .. }| {
            format!(
                r#"{{"name":"r{}","host":"{HOST}","path_prefix":"{prefix}","kind":"non_idempotent",
                "timeout_ms":3000,"target_duration_ms":600,"priority":0,"service":"{service}",
                "max_attempts":4,"stretch":1.6,"public":false}}"#,
                prefix.replace('/', "-")
            )
        })
        .collect();
    let mut services: Vec<&str> = queues.iter().map(|it| it.service).collect();
    services.sort();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                r#"{{"name":"{it}","rejects_overload":true,"spare":false,"health_path":"/health"}}"#
            )
        })
        .collect();
    let mut tenants: Vec<&str> = queues.iter().map(|it| it.tenant).collect();
    tenants.sort();
    tenants.dedup();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|it| {
            format!(
                r#"{{"name":"{it}","api_keys":["key-{it}"],"weight":100,
                "cap":{{"cpu":0,"mem_mb":0,"gpu":0}}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":262144}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Starts the service that lists the machines. It moves none: all are leaving for another purpose or in use.
fn start_cloud(executors: &[Arc<Executor>]) -> SocketAddr {
    let rows: Vec<String> = executors
        .iter()
        .map(|it| {
            let Spec { id, service, labels: [kind, rack], cpu, mem_mb, .. } = &it.spec;
            format!(
                r#"{{"machine":"m-{id}","pool":"{service}","state":"up","zone":"zone-a",
                "labels":["{kind}","{rack}"],"capacity":{{"cpu":{cpu},"mem_mb":{mem_mb},"gpu":0}},"id":"{id}"}}"#
            )
        })
        .collect();
    let list = format!(r#"{{"machines":[{}],"next_token":null}}"#, rows.join(","));
    let listener = TcpListener::bind((own_ip(), 0)).expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let handler = move |it: &Request| match it.path() {
        "/machines" => Reply::Answer(200, list.clone()),
        _ => Reply::Answer(409, r#"{"reason":"busy"}"#.into()),
    };
    serve(listener, Arc::new(|| true), Arc::new(handler));
    addr
}
