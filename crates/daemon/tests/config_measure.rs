//! Measures the configuration's way through a site. Run with `--release -- --ignored --nocapture`.

mod common;

use std::{
    fs,
    time::{Duration, Instant},
};

use common::{Site, operator};
use fuchsiamill_api::ChangeReport;
use fuchsiamill_model::Change;

const CHANGES: usize = 100;
const IDLE: Duration = Duration::from_secs(8);
const TICKS_PER_SECOND: f64 = 100.0;

fn share(value: usize) -> Change {
    Change::SetShare { team: "north".try_into().unwrap(), share: 1 + value as u32 % 9 }
}

/// What the site has used since its start.
struct Usage {
    reads: u64,
    table_bytes: u64,
    peer_bytes: u64,
    processor_s: f64,
}

fn usage(site: &Site) -> Usage {
    let record = site.platform_record();
    let processor = |pid: u32| {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        ticks / TICKS_PER_SECOND
    };
    Usage {
        reads: record.reads,
        table_bytes: record.bytes,
        peer_bytes: site.entries.iter().map(peer_bytes).sum(),
        processor_s: site.entries.iter().map(|it| processor(it.pid())).sum(),
    }
}

fn peer_bytes(entry: &common::EntryProcess) -> u64 {
    let text = entry.get("/metrics").expect("metrics").body;
    let text = String::from_utf8_lossy(&text).into_owned();
    let line = text.lines().find(|it| it.starts_with("peer_bytes_sent"));
    let value = line.and_then(|it| it.split_whitespace().last());
    value.map_or(0, |it| it.parse::<f64>().expect("a number") as u64)
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len() - 1);
    sorted[index].as_secs_f64() * 1e3
}

fn accept(site: &Site, turn: usize, prefix: &str) -> Duration {
    let entry = &site.entries[turn % site.entries.len()];
    let began = Instant::now();
    let id = format!("{prefix}{turn}");
    let report = operator::change(entry.operator, "ada-key", &id, None, vec![share(turn)]);
    assert!(matches!(report, ChangeReport::Accepted { .. }), "{report:?}");
    began.elapsed()
}

#[test]
#[ignore = "a measurement, run by hand"]
fn configuration_costs() {
    println!(
        "hosts  store_reads/s  peer_B/s/host  cpu%/host  accepted_p50_ms  p99_ms  max_ms  table_B/change  peer_B/change"
    );
    for hosts in [2, 4, 8] {
        let site = Site::of(hosts).pool("rota", 1).team("north", 8).start();
        accept(&site, 0, "w");
        let before = usage(&site);
        std::thread::sleep(IDLE);
        let idle = usage(&site);
        let seconds = IDLE.as_secs_f64();
        let per_host = seconds * hosts as f64;
        let mut times: Vec<Duration> = (0..CHANGES).map(|turn| accept(&site, turn, "c")).collect();
        let total: Duration = times.iter().sum();
        let after = usage(&site);
        times.sort();
        let idle_peer = (idle.peer_bytes - before.peer_bytes) as f64 / seconds;
        let idle_table = (idle.table_bytes - before.table_bytes) as f64 / seconds;
        let per_change =
            |bytes: u64, idle: f64| (bytes as f64 - idle * total.as_secs_f64()) / CHANGES as f64;
        println!(
            "{hosts}  {:.2}  {:.0}  {:.2}  {:.1}  {:.1}  {:.1}  {:.0}  {:.0}",
            (idle.reads - before.reads) as f64 / seconds,
            (idle.peer_bytes - before.peer_bytes) as f64 / per_host,
            (idle.processor_s - before.processor_s) / per_host * 100.0,
            percentile(&times, 50),
            percentile(&times, 99),
            percentile(&times, 100),
            per_change(after.table_bytes - idle.table_bytes, idle_table),
            per_change(after.peer_bytes - idle.peer_bytes, idle_peer),
        );
    }
}

#[test]
#[ignore = "a measurement, run by hand"]
fn acceptance_with_a_host_down() {
    let site = Site::of(8).pool("rota", 1).team("north", 8).start();
    accept(&site, 1, "w");
    site.entries[7].kill();
    let mut times: Vec<Duration> =
        (0..10).map(|turn| accept(&site, turn % 7, &format!("{turn}-"))).collect();
    times.sort();
    println!(
        "8 hosts, one down: accepted p50 {:.0} ms, max {:.0} ms",
        percentile(&times, 50),
        percentile(&times, 100)
    );
}
