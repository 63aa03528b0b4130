//! What an idle entry host costs at three sizes of the fleet: memory, processor time, peer bytes and
//! reads of the table. Entry hosts run on threads of this process, against a stand-in platform.

use std::{
    future::pending,
    net::SocketAddr,
    sync::mpsc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use argh::FromArgs;
use fuchsiamill_api::{ChangeReport, ChangeRequest};
use fuchsiamill_daemon::{embedded::EntryThread, run::block_on};
use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::{
    Change, ChangeId, Configuration, EntryName, Host, HostName, HostState, Pool, PoolName,
    Resources, Version, config::PoolRole,
};
use fuchsiamill_ports::{Commit, CommitOutcome};
use fuchsiamill_standin::site;
use serde_json::{Value, json};

use crate::entry_hosts::{
    MIB, OPERATOR_KEY, TICKS_PER_SECOND, gauge, peers, record, rss_bytes, settings, ticks,
    wait_ready,
};

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
    for (index, (name, peer)) in peers.iter().enumerate() {
        entries.push(EntryThread::start(settings(index, name, *peer, platform)?)?);
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

fn sample(platform: SocketAddr, entries: &[EntryThread]) -> Result<Sample> {
    let mut sample = Sample { ticks: 0, peer_bytes: 0, reads: record(platform)?.reads };
    for entry in entries {
        sample.ticks += ticks(entry)?;
        sample.peer_bytes += gauge(entry.addresses().metrics, "peer_bytes_sent")?;
    }
    Ok(sample)
}

/// The mean time from a change's proposal to its acceptance, by when every entry host has it.
fn change_time(entries: &[EntryThread]) -> Result<Duration> {
    let client = JsonClient::new(entries[0].addresses().operator, Bounds::default(), TIME);
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

fn seed(platform: SocketAddr, config: &Configuration) -> Result<()> {
    let commit = Commit::default().absent("config/snapshot").put("config/snapshot", config);
    let client =
        JsonClient::new(platform, Bounds { body_bytes: 1 << 28, ..Bounds::default() }, TIME);
    let outcome: CommitOutcome = block_on(async { client.post("/table/commit", &commit).await })?;
    ensure!(matches!(outcome, CommitOutcome::Done { .. }), "The table is not empty.");
    Ok(())
}
