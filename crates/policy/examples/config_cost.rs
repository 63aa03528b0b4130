//! Measures the cost of the configuration at several fleet sizes: the size of a snapshot and of an entry, and the
//! times to read a snapshot, to copy the configuration and to apply an entry. Run with `--release`.

use std::{hint::black_box, rc::Rc, time::Instant};

use fuchsiamill_model::{
    Change, ChangeId, Configuration, Host, HostState, LogEntry, Pool, Resources, WallTime,
    config::PoolRole,
};
use fuchsiamill_policy::config_log::Replica;

const SIZES: [u32; 3] = [50, 2_200, 22_000];
const ENTRIES: u32 = 512;
const HOSTS_PER_POOL: u32 = 300;
const HOSTS_PER_RACK: u32 = 4;

fn main() {
    println!("hosts  snapshot_bytes  entry_bytes  read_ms  copy_us  entry_us  entry_shared_us");
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: u32) {
    let cfg = configuration(size);
    let json = serde_json::to_string(&cfg).expect("a configuration is JSON");
    let started = Instant::now();
    let read: Configuration = serde_json::from_str(&json).expect("the JSON was just written");
    let read_ms = started.elapsed().as_secs_f64() * 1e3;
    assert_eq!(read, cfg);

    let started = Instant::now();
    for _ in 0..16 {
        black_box(cfg.clone());
    }
    let copy_us = started.elapsed().as_secs_f64() * 1e6 / 16.0;

    let entries: Vec<_> = (0..ENTRIES).map(|at| Rc::new(entry(size, at))).collect();
    let entry_bytes = serde_json::to_string(&*entries[0]).expect("an entry is JSON").len();

    let mut replica = Replica::new(cfg.clone());
    let started = Instant::now();
    replica.apply(entries.iter().cloned());
    let entry_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ENTRIES);
    assert_eq!(replica.version().0, u64::from(ENTRIES));

    let mut replica = Replica::new(cfg);
    let started = Instant::now();
    for entry in entries {
        let _reader = replica.configuration().clone();
        replica.apply([entry]);
    }
    let shared_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ENTRIES);
    let bytes = json.len();
    println!(
        "{size}  {bytes}  {entry_bytes}  {read_ms:.1}  {copy_us:.0}  {entry_us:.1}  {shared_us:.0}"
    );
}

fn configuration(size: u32) -> Configuration {
    let mut cfg = Configuration::default();
    for at in 0..size.div_ceil(HOSTS_PER_POOL) {
        let name = format!("pool-{at}").as_str().try_into().expect("a valid name");
        let role = PoolRole::Serving;
        let pool = Pool { name, role, least_serving: 0, most_out_per_domain: u32::MAX };
        cfg.pools.insert(pool.name.clone(), pool);
    }
    for at in 0..size {
        let host = host(at);
        cfg.hosts.put(host);
    }
    cfg
}

fn host(at: u32) -> Host {
    let [_, a, b, c] = at.to_be_bytes();
    let numbered = |prefix: &str, at: u32| format!("{prefix}-{at}");
    Host {
        name: numbered("worker", at).as_str().try_into().expect("a valid name"),
        pool: numbered("pool", at / HOSTS_PER_POOL).as_str().try_into().expect("a valid name"),
        rack: numbered("rack", at / HOSTS_PER_RACK).as_str().try_into().expect("a valid name"),
        data_centre: numbered("dc", at % 10).as_str().try_into().expect("a valid name"),
        region: numbered("region", at % 3).as_str().try_into().expect("a valid name"),
        backend: ([10, a, b, c], 8080).into(),
        worker: ([10, a, b, c], 8081).into(),
        slots: 8,
        connections: 64,
        resources: Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 1 },
        state: HostState::Serving,
    }
}

fn entry(size: u32, at: u32) -> LogEntry {
    let host = format!("worker-{}", (at / 2 * 97) % size);
    let state = if at.is_multiple_of(2) { HostState::Draining } else { HostState::Serving };
    LogEntry {
        version: fuchsiamill_model::Version(u64::from(at) + 1),
        id: ChangeId(format!("change-{at}")),
        who: "operator".try_into().expect("a valid name"),
        intent: format!("wave over pool-{at}"),
        plan: None,
        at: WallTime(0),
        changes: vec![Change::SetHostState {
            host: host.as_str().try_into().expect("a valid name"),
            state,
        }],
    }
}
