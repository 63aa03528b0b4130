//! One run of a site: stand-ins, entry hosts, callers and faults.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow};
use fuchsiamill_daemon::{embedded::EntryThread, run::block_on};
use fuchsiamill_http::{Bounds, JsonClient};
use fuchsiamill_model::{Configuration, EntryName, HostState};
use fuchsiamill_standin::{record::BackendRecord, site::Standins};

use super::{
    callers::{Callers, Sent, Target},
    demand::{self, ENTRIES, WORK},
    faults::{self, KILLED, KILLED_AT},
    plain::PlainSite,
    profile::{HOSTS, HOSTS_PER_POOL, Profile, SERVING_POOLS, pools},
    request::Told,
    tally::{Tally, tally},
};
use crate::entry_hosts::{
    MIB, TICKS_PER_SECOND, gauge, peers, record, rss_bytes, settings, ticks, wait_ready,
};

const LARGE_BODY: usize = 256 * 1024 * 1024;
const TIME: Duration = Duration::from_secs(60);
const ANY_PORT: &str = "127.0.0.1:0";
/// How long entry hosts run before requests are sent.
const SETTLE: Duration = Duration::from_secs(2);

/// What serves the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Entry hosts of the product.
    Product,
    /// The plain baseline.
    Plain,
}

/// Whether things fail during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    /// Nothing fails.
    Calm,
    /// Some things do.
    Faults,
}

/// What a run came to.
pub struct Figures {
    /// From the records and what callers were told.
    pub tally: Tally,
    /// What entry hosts cost; none for the baseline.
    pub cost: Option<Cost>,
}

/// What entry hosts cost while requests were sent.
pub struct Cost {
    /// Reads of the table a second, of all entry hosts.
    pub reads: f64,
    /// Commits to the table a second, of all entry hosts.
    pub writes: f64,
    /// Bytes to other entry hosts a second and entry host.
    pub peer_bytes: f64,
    /// Percent of a core an entry host.
    pub processor: f64,
    /// Memory an entry host before requests were sent, in MiB.
    pub memory: f64,
}

struct Site {
    standins: Standins,
    entries: Vec<EntryThread>,
    memory: f64,
}

/// The configuration of a site, without its processes.
pub fn configuration_of(profile: &Profile) -> Result<Configuration> {
    let standins = Standins::start(ANY_PORT.parse()?, HOSTS, WORK)?;
    standins.configuration(&pools()?, &profile.teams, &peers(ENTRIES)?)
}

/// Runs a site once.
pub fn measure(profile: &Profile, way: Way, weather: Weather, seed: u64) -> Result<Figures> {
    let mut site = start(profile, way)?;
    let arrivals = demand::arrivals(profile, seed);
    let target = match way {
        Way::Product => {
            let callers = site.entries.iter().map(|it| it.addresses().caller);
            Target::Entries(Arc::new(callers.collect()))
        }
        Way::Plain => Target::Plain(Arc::new(plain_site(profile, &site.standins)?)),
    };
    let offset = backend_record(&site.standins)?.now_ms;
    let before = sample(&site)?;
    let began = Instant::now();
    let is_down = Arc::new(AtomicBool::new(false));
    let teams = Arc::new(profile.teams.clone());
    let callers = Callers { target, teams, is_down: is_down.clone(), began };
    let entry = match (weather, way) {
        (Weather::Faults, Way::Product) => Some(site.entries.remove(KILLED)),
        _ => None,
    };
    let running = thread::spawn(move || callers.run(&arrivals));
    if weather == Weather::Faults {
        faults::bring_about(began, &site.standins, entry, &is_down)?;
    }
    let mut sent = running.join().map_err(|_| anyhow!("The callers ended."))??;
    if (weather, way) == (Weather::Faults, Way::Plain) {
        forget_killed(&mut sent);
    }
    let cost = cost(&site, &before, began.elapsed())?;
    let record = backend_record(&site.standins)?;
    for entry in site.entries {
        entry.kill();
    }
    Ok(Figures { tally: tally(profile, &sent, &record, offset), cost })
}

fn start(profile: &Profile, way: Way) -> Result<Site> {
    let standins = Standins::start(ANY_PORT.parse()?, HOSTS, WORK)?;
    if way == Way::Plain {
        return Ok(Site { standins, entries: Vec::new(), memory: 0.0 });
    }
    let peers = peers(ENTRIES)?;
    standins.seed(&standins.configuration(&pools()?, &profile.teams, &peers)?)?;
    let before = rss_bytes()?;
    let mut entries = Vec::new();
    for (index, (name, peer)) in peers.iter().enumerate() {
        entries.push(EntryThread::start(settings(index, name, *peer, standins.platform)?)?);
    }
    wait_ready(&entries)?;
    thread::sleep(SETTLE);
    let memory = rss_bytes()?.saturating_sub(before) as f64 / ENTRIES as f64 / MIB;
    Ok(Site { standins, entries, memory })
}

fn plain_site(profile: &Profile, standins: &Standins) -> Result<PlainSite> {
    let nobody: Vec<(EntryName, SocketAddr)> = Vec::new();
    let config = standins.configuration(&pools()?, &profile.teams, &nobody)?;
    let servers = |pool: usize| {
        let first = pool * HOSTS_PER_POOL;
        let hosts = (first..first + HOSTS_PER_POOL).filter_map(|at| {
            let host = config.hosts.get(format!("host-{at}").as_str())?;
            (host.state == HostState::Serving).then_some(host.backend)
        });
        hosts.collect()
    };
    Ok(PlainSite { servers: (0..SERVING_POOLS).map(servers).collect() })
}

/// The callers of a plain entry host that was killed are told nothing.
fn forget_killed(sent: &mut [Sent]) {
    let is_cut =
        |it: &&mut Sent| it.arrival.entry == KILLED && it.at < KILLED_AT && it.told_at > KILLED_AT;
    for it in sent.iter_mut().filter(is_cut) {
        it.told = Told::Unknown("connection lost".into());
    }
}

struct Sample {
    ticks: Vec<u64>,
    peer_bytes: Vec<u64>,
    reads: u64,
    commits: u64,
}

fn sample(site: &Site) -> Result<Sample> {
    let record = record(site.standins.platform)?;
    let bytes = |it: &EntryThread| gauge(it.addresses().metrics, "peer_bytes_sent");
    Ok(Sample {
        ticks: site.entries.iter().map(ticks).collect::<Result<_>>()?,
        peer_bytes: site.entries.iter().map(bytes).collect::<Result<_>>()?,
        reads: record.reads,
        commits: record.commits,
    })
}

/// The cost since `before`, of the entry hosts that still run.
fn cost(site: &Site, before: &Sample, span: Duration) -> Result<Option<Cost>> {
    if site.entries.is_empty() {
        return Ok(None);
    }
    let after = sample(site)?;
    let a_second = |count: u64| count as f64 / span.as_secs_f64();
    let mean = |now: &[u64], then: &[u64]| {
        let grown: u64 = now.iter().zip(then).map(|(now, then)| now - then).sum();
        a_second(grown) / now.len() as f64
    };
    Ok(Some(Cost {
        reads: a_second(after.reads - before.reads),
        writes: a_second(after.commits - before.commits),
        peer_bytes: mean(&after.peer_bytes, &before.peer_bytes),
        processor: 100.0 * mean(&after.ticks, &before.ticks) / TICKS_PER_SECOND,
        memory: site.memory,
    }))
}

fn backend_record(standins: &Standins) -> Result<BackendRecord> {
    let bounds = Bounds { body_bytes: LARGE_BODY, ..Bounds::default() };
    let client = JsonClient::new(standins.backends, bounds, TIME);
    Ok(block_on(async { client.post("/record", &()).await })?)
}
