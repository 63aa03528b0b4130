//! What an idle entry host costs at three sizes of the fleet: memory, processor time, peer bytes and
//! reads of the table. Entry hosts run on threads of this process, against a stand-in platform.

use std::{
    collections::BTreeMap,
    fs,
    future::pending,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::mpsc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use argh::FromArgs;
use fuchsiamill_api::{ChangeReport, ChangeRequest};
use fuchsiamill_daemon::{Addresses, Entry, run::block_on};
use fuchsiamill_http::{Bounds, Connection, JsonClient, Request};
use fuchsiamill_model::{
    Change, ChangeId, Configuration, EntryName, Host, HostName, HostState, KeyDigest, Pool,
    PoolName, Resources, Version, config::PoolRole,
};
use fuchsiamill_platform::{Commit, CommitOutcome};
use fuchsiamill_settings::Settings;
use fuchsiamill_standin::{record::PlatformRecord, site};
use serde_json::{Value, json};

const OPERATOR_KEY: &str = "measure";
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
const MIB: f64 = 1024.0 * 1024.0;
const CHANGES: u32 = 20;
const TIME: Duration = Duration::from_secs(120);

/// measure what an idle entry host costs as the fleet grows
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// entry hosts at each size
    #[argh(option, default = "4")]
    entries: usize,
    /// seconds of idle time measured at each size
    #[argh(option, default = "10")]
    seconds: u64,
}

#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    pools: usize,
    teams: usize,
}

const SIZES: [Size; 3] = [
    Size { hosts: 50, pools: 5, teams: 6 },
    Size { hosts: 2_200, pools: 20, teams: 60 },
    Size { hosts: 22_000, pools: 72, teams: 310 },
];

struct RunningEntry {
    addresses: Addresses,
    thread: u32,
}

/// Prints the table.
pub fn run(args: &CapacityArgs) -> Result<()> {
    println!(
        "| Hosts | Pools | Teams | Entry hosts | Memory an entry host | Processor, idle | Peer bytes/s | Table reads/s, all | Time to start | Time a change, one host in force |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in SIZES {
        measure(size, args)?;
    }
    Ok(())
}

fn measure(size: Size, args: &CapacityArgs) -> Result<()> {
    let platform = start_platform()?;
    let peers = peers(args.entries)?;
    seed(platform, &configuration(size, &peers)?)?;
    let rss_before = rss_bytes()?;
    let began = Instant::now();
    let mut entries = Vec::new();
    for (name, peer) in &peers {
        entries.push(start_entry(settings(name, *peer, platform)?)?);
    }
    wait_ready(&entries)?;
    let started = began.elapsed();
    sleep(Duration::from_secs(3));
    let rss = rss_bytes()?.saturating_sub(rss_before) as f64 / entries.len() as f64;
    let before = sample(platform, &entries)?;
    sleep(Duration::from_secs(args.seconds));
    let after = sample(platform, &entries)?;
    let a_second = |now: u64, then: u64| (now - then) as f64 / args.seconds as f64;
    let count = entries.len() as f64;
    println!(
        "| {} | {} | {} | {} | {:.1} MiB | {:.2} % | {:.0} | {:.1} | {:.2} s | {:.1} ms |",
        size.hosts,
        size.pools,
        size.teams,
        entries.len(),
        rss / MIB,
        100.0 * a_second(after.ticks, before.ticks) / TICKS_PER_SECOND / count,
        a_second(after.peer_bytes, before.peer_bytes) / count,
        a_second(after.reads, before.reads),
        started.as_secs_f64(),
        change_time(&entries)?.as_secs_f64() * 1000.0,
    );
    Ok(())
}

struct Sample {
    ticks: u64,
    peer_bytes: u64,
    reads: u64,
}

fn sample(platform: SocketAddr, entries: &[RunningEntry]) -> Result<Sample> {
    let mut sample = Sample { ticks: 0, peer_bytes: 0, reads: record(platform)?.reads };
    for entry in entries {
        sample.ticks += thread_ticks(entry.thread)?;
        sample.peer_bytes += gauge(entry.addresses.metrics, "peer_bytes_sent")?;
    }
    Ok(sample)
}

/// The mean time from a change's proposal to its acceptance, by when every entry host has it.
fn change_time(entries: &[RunningEntry]) -> Result<Duration> {
    let client = JsonClient::new(entries[0].addresses.operator, Bounds::default(), TIME);
    let client = client.bearer(OPERATOR_KEY);
    let began = Instant::now();
    block_on(async {
        for number in 0..CHANGES {
            propose(&client, number).await?;
        }
        Ok::<_, anyhow::Error>(())
    })?;
    Ok(began.elapsed() / CHANGES)
}

async fn propose(client: &JsonClient, number: u32) -> Result<()> {
    let change = Change::SetShare { team: "team-0".try_into()?, share: number + 1 };
    let request = ChangeRequest {
        id: ChangeId(format!("measure-{number}")),
        intent: "measure".into(),
        basis: None,
        changes: vec![change],
    };
    let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "config.change", "params": request });
    let answer: Value = client.post("/rpc", &call).await?;
    let report: ChangeReport = serde_json::from_value(answer["result"].clone())?;
    ensure!(matches!(report, ChangeReport::Accepted { .. }), "{report:?}");
    Ok(())
}

fn configuration(size: Size, peers: &[(EntryName, SocketAddr)]) -> Result<Configuration> {
    let mut config =
        Configuration { version: Version(1), entry_version: Version(1), ..Default::default() };
    config.entry_hosts = peers.iter().cloned().collect();
    for index in 0..size.pools {
        let name = PoolName::try_from(format!("pool-{index}"))?;
        let role = PoolRole::Serving;
        let pool =
            Pool { name: name.clone(), role, least_serving: 0, most_out_per_domain: u32::MAX };
        config.pools.insert(name, pool);
    }
    for index in 0..size.teams {
        let team = site::team(&format!("team-{index}"), 100)?;
        let key = site::key_of(&team)?;
        config.keys.insert(key.id.clone(), key);
        config.teams.insert(team.name.clone(), team);
    }
    let nowhere: SocketAddr = "127.0.0.1:1".parse()?;
    for index in 0..size.hosts {
        let host = Host {
            name: HostName::try_from(format!("host-{index}"))?,
            pool: format!("pool-{}", index % size.pools).try_into()?,
            rack: format!("rack-{}", index / 4).try_into()?,
            data_centre: format!("dc-{}", index / 4 % 10).try_into()?,
            region: format!("region-{}", index / 4 % 3).try_into()?,
            backend: nowhere,
            worker: nowhere,
            slots: 8,
            connections: 64,
            resources: Resources { millicores: 16_000, memory_mib: 32 * 1024, accelerators: 1 },
            state: HostState::SetAside,
        };
        config.hosts.put(host);
    }
    Ok(config)
}

fn peers(entries: usize) -> Result<Vec<(EntryName, SocketAddr)>> {
    (0..entries)
        .map(|index| {
            let addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            Ok((EntryName::try_from(format!("entry-{index}"))?, addr))
        })
        .collect()
}

fn settings(name: &EntryName, peer: SocketAddr, platform: SocketAddr) -> Result<Settings> {
    let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let any = "127.0.0.1:0";
    sections.insert(
        "entry",
        vec![
            format!("name = {name}"),
            "region = region-0".into(),
            "data-centre = dc-0".into(),
            format!("caller = {any}"),
            format!("operator = {any}"),
            format!("metrics = {any}"),
            format!("peer = {peer}"),
        ],
    );
    let services = ["table", "objects", "hosts"].map(|it| format!("{it} = {platform}")).to_vec();
    sections.insert("platform", services);
    sections.insert("operators", vec![format!("measure = {}", KeyDigest::of(OPERATOR_KEY))]);
    let text: String =
        sections.iter().map(|(name, lines)| format!("[{name}]\n{}\n", lines.join("\n"))).collect();
    Ok(Settings::parse("measure.ini", &text)?)
}

fn start_platform() -> Result<SocketAddr> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        block_on(async move {
            let _ = tx.send(fuchsiamill_standin::platform::start(
                "127.0.0.1:0".parse().expect("an address"),
            ));
            pending::<()>().await;
        });
    });
    Ok(rx.recv()??)
}

fn start_entry(settings: Settings) -> Result<RunningEntry> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let thread = thread_id();
        block_on(async move {
            let entry = Entry::start(Rc::new(settings)).await;
            let started = entry.as_ref().map(Entry::addresses);
            let _ = tx.send((thread, started.map_err(|e| format!("{e:#}"))));
            if entry.is_ok() {
                pending::<()>().await;
            }
        });
    });
    let (thread, addresses) = rx.recv()?;
    Ok(RunningEntry { thread: thread?, addresses: addresses.map_err(anyhow::Error::msg)? })
}

fn seed(platform: SocketAddr, config: &Configuration) -> Result<()> {
    let commit = Commit::default().absent("config/snapshot").put("config/snapshot", config);
    let client =
        JsonClient::new(platform, Bounds { body_bytes: 1 << 28, ..Bounds::default() }, TIME);
    let outcome: CommitOutcome = block_on(async { client.post("/table/commit", &commit).await })?;
    ensure!(matches!(outcome, CommitOutcome::Done { .. }), "The table is not empty.");
    Ok(())
}

fn record(platform: SocketAddr) -> Result<PlatformRecord> {
    let client = JsonClient::new(platform, Bounds::default(), TIME);
    Ok(block_on(async { client.post("/admin/record", &()).await })?)
}

fn wait_ready(entries: &[RunningEntry]) -> Result<()> {
    let end = Instant::now() + TIME;
    while !entries.iter().all(|it| get(it.addresses.metrics, "/ready").is_ok_and(|(ok, _)| ok)) {
        ensure!(Instant::now() < end, "An entry host was not ready within {TIME:?}.");
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn get(addr: SocketAddr, target: &str) -> Result<(bool, String)> {
    block_on(async {
        let mut connection = Connection::connect(addr, Bounds::default(), TIME).await?;
        let deadline = monoio::time::Instant::now() + TIME;
        let response = connection.exchange(Request::get(target), deadline).await?;
        Ok((response.status.is_success(), String::from_utf8_lossy(&response.body).into_owned()))
    })
}

fn gauge(metrics: SocketAddr, name: &str) -> Result<u64> {
    let (_, text) = get(metrics, "/metrics")?;
    let line = text.lines().find(|it| it.starts_with(name)).context("The gauge is not shown.")?;
    let value = line.rsplit(' ').next().context("The gauge has no value.")?;
    Ok(value.parse::<f64>()? as u64)
}

fn thread_id() -> Result<u32> {
    let link = fs::read_link("/proc/thread-self")?;
    let id = link.file_name().and_then(|it| it.to_str()).context("No thread id.")?;
    Ok(id.parse()?)
}

/// User and system time of a thread, in clock ticks.
fn thread_ticks(thread: u32) -> Result<u64> {
    let stat = fs::read_to_string(format!("/proc/self/task/{thread}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field =
        |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or_default();
    Ok(field(11) + field(12))
}

fn rss_bytes() -> Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).context("No resident pages.")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
