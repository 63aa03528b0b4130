//! Entry hosts on threads of this process, and what they cost.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    thread::sleep,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use fuchsiamill_daemon::{embedded::EntryThread, run::block_on};
use fuchsiamill_http::{Bounds, Connection, JsonClient, Request};
use fuchsiamill_model::{EntryName, KeyDigest};
use fuchsiamill_settings::Settings;
use fuchsiamill_standin::{record::PlatformRecord, site};

/// The key of the operator of measured sites.
pub const OPERATOR_KEY: &str = "measure";
/// Clock ticks of processor time in a second.
pub const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes in a mebibyte.
pub const MIB: f64 = 1024.0 * 1024.0;

const PAGE_BYTES: u64 = 4096;
const TIME: Duration = Duration::from_secs(120);

/// Waits until every entry host tells the balancer that it is ready.
pub fn wait_ready(entries: &[EntryThread]) -> Result<()> {
    let end = Instant::now() + TIME;
    while !entries.iter().all(|it| get(it.addresses().metrics, "/ready").is_ok_and(|(ok, _)| ok)) {
        ensure!(Instant::now() < end, "An entry host was not ready within {TIME:?}.");
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Gets a page, and whether its status tells success.
pub fn get(addr: SocketAddr, target: &str) -> Result<(bool, String)> {
    block_on(async {
        let mut connection = Connection::connect(addr, Bounds::default(), TIME).await?;
        let deadline = monoio::time::Instant::now() + TIME;
        let response = connection.exchange(Request::get(target), deadline).await?;
        Ok((response.status.is_success(), String::from_utf8_lossy(&response.body).into_owned()))
    })
}

/// The value of a gauge without attributes on an entry host's metrics port.
pub fn gauge(metrics: SocketAddr, name: &str) -> Result<u64> {
    let (_, text) = get(metrics, "/metrics")?;
    let line = text.lines().find(|it| it.starts_with(name)).context("The gauge is not shown.")?;
    let value = line.rsplit(' ').next().context("The gauge has no value.")?;
    Ok(value.parse::<f64>()? as u64)
}

/// User and system time of an entry host's thread, in clock ticks.
pub fn ticks(entry: &EntryThread) -> Result<u64> {
    let thread = entry.thread().context("The system names no threads.")?;
    let stat = fs::read_to_string(format!("/proc/self/task/{thread}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field =
        |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or_default();
    Ok(field(11) + field(12))
}

/// The resident memory of this process.
pub fn rss_bytes() -> Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).context("No resident pages.")?.parse()?;
    Ok(pages * PAGE_BYTES)
}

/// The names and peer addresses of so many entry hosts.
pub fn peers(entries: usize) -> Result<Vec<(EntryName, SocketAddr)>> {
    (0..entries)
        .map(|index| {
            let addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            Ok((EntryName::try_from(format!("entry-{index}"))?, addr))
        })
        .collect()
}

/// The settings of one entry host, on free ports but for its peer port.
pub fn settings(
    index: usize,
    name: &EntryName,
    peer: SocketAddr,
    platform: SocketAddr,
) -> Result<Settings> {
    let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let any = "127.0.0.1:0";
    sections.insert(
        "entry",
        vec![
            format!("name = {name}"),
            "region = region-0".into(),
            format!("data-centre = dc-{}", index % site::DATA_CENTRES),
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

/// What the platform truly did.
pub fn record(platform: SocketAddr) -> Result<PlatformRecord> {
    let client = JsonClient::new(platform, Bounds::default(), TIME);
    Ok(block_on(async { client.post("/admin/record", &()).await })?)
}
