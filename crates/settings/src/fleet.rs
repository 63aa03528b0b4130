//! Section `[fleet]`: an entry host that runs on a site's platform and keeps nothing of its own.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use fuchsiamill_model::Millisecond;
use smol_str::SmolStr;

use crate::{
    error::{Error, Result},
    section::{Document, Section},
};

const ADDRESS: &str = "IP:PORT";
const ON_OR_OFF: &str = "on or off";
const SECTION: &str = "fleet";

/// The least and the greatest `cancel-ms`. The copy of the jobs by which tasks start may be a second old without any
/// fault and a call to a worker takes up to one; entry hosts remember cancellations for the greatest.
const CANCEL_MS: RangeInclusive<Millisecond> = 2_500..=10_000;

/// The largest row of learned durations. A store that takes no row of this size would refuse the coordinator's whole
/// transaction.
const DURATIONS_ROW_BYTES: usize = 16_384;

/// Settings of an entry host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The entry host's name.
    pub name: SmolStr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness and metrics are told.
    pub ready: SocketAddr,
    /// Where metrics are served; at `ready` too.
    pub metrics: Option<SocketAddr>,
    /// Where the other entry hosts connect.
    pub peers: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The service that moves and maintains hosts.
    pub hosts: Option<SocketAddr>,
    /// The service that knows which workers may run a step.
    pub advice: Option<SocketAddr>,
    /// The longest lease that a worker grants.
    pub longest_lease_ms: Millisecond,
    /// How long a host takes to change its pool.
    pub move_s: f64,
    /// How long maintenance of a host takes.
    pub upkeep_s: f64,
    /// How long a former holder of the lease may still have given orders to a host.
    pub holder_change_ms: Millisecond,
    /// The longest time from the answer to a cancellation to the last start of a task of its job.
    pub cancel_ms: Millisecond,
    /// Whether orders to hosts are checked for their fence: then one that was not answered may come late.
    pub fenced_hosts: bool,
    /// How long a stop waits for requests in flight, in seconds.
    pub grace_s: f64,
    /// How many times as long a task takes far from its data.
    pub far_factor: f64,
    /// Whether durations of tasks are learned from finished runs.
    pub learned_durations: bool,
    /// How long a finished job's state is told, in seconds.
    pub status_s: u64,
    /// The largest row that the store takes, in bytes.
    pub row_bytes: usize,
    /// The processors of this entry host; a part of one is possible.
    pub processors: f64,
    /// The bandwidth of this entry host's link, in megabits a second.
    pub link_mbps: f64,
    /// Whether jobs that their pool cannot do in time are refused when they are posted.
    pub admission: bool,
    /// Whether pools are sized by whole tasks on whole hosts, and hosts leave when their pool's peak ends.
    pub demand_pools: bool,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Fleet {
    /// Reads and checks a file; `None` when it is not about an entry host on a platform.
    pub fn load(path: &Path) -> Result<Option<Self>> {
        Self::read(&Document::load(path)?)
    }

    /// Checks the text of a file; `file` is its name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Option<Self>> {
        Self::read(&Document::parse(file, text)?)
    }

    fn read(document: &Document) -> Result<Option<Self>> {
        if !document.has_section(SECTION) {
            return Ok(None);
        }
        document.allow_sections(&[SECTION])?;
        document.section(SECTION)?.try_into().map(Some)
    }
}

impl TryFrom<Section<'_>> for Fleet {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let factor = "a number";
        let row_bytes = section.number("row-bytes", 65_536, 4_096..=16_777_216)?;
        let learned_durations = switch(&mut section, "learned-durations")?;
        if learned_durations && row_bytes < DURATIONS_ROW_BYTES {
            return Err(section.refused(
                "learned-durations",
                "on",
                "off, or row-bytes of at least 16384",
            ));
        }
        let settings = Self {
            name: section.value("name", "the entry host's name")?,
            callers: section.value("callers", ADDRESS)?,
            ready: section.value("ready", ADDRESS)?,
            metrics: optional(&mut section, "metrics")?,
            peers: optional(&mut section, "peers")?,
            store: section.value("store", ADDRESS)?,
            hosts: optional(&mut section, "hosts")?,
            advice: optional(&mut section, "advice")?,
            longest_lease_ms: section.number("longest-lease-ms", 10_000, 1_000..=600_000)?,
            move_s: section.value_or("move-s", factor, 1.5)?,
            upkeep_s: section.value_or("upkeep-s", factor, 2.0)?,
            holder_change_ms: section.number("holder-change-ms", 3_000, 0..=600_000)?,
            cancel_ms: section.number("cancel-ms", 3_000, CANCEL_MS)?,
            far_factor: section.value_or("far-factor", factor, 1.5)?,
            fenced_hosts: section.value_or("fenced-hosts", "true or false", false)?,
            grace_s: section.value_or("grace-s", factor, 6.0)?,
            status_s: section.number("status-s", 120, 1..=86_400)?,
            row_bytes,
            learned_durations,
            processors: section.value_or("processor-share", factor, 1.0)?
                * section.value_or("processors", factor, 1.0)?,
            link_mbps: section.value_or("link-mbps", factor, 1_000.0)?,
            admission: switch(&mut section, "admission")?,
            demand_pools: switch(&mut section, "demand-pools")?,
            log_level: section.value_or(
                "log-level",
                "off, error, warn, info, debug or trace",
                log::LevelFilter::Info,
            )?,
        };
        section.finish()?;
        Ok(settings)
    }
}

/// A part of the product that is off unless it is asked for.
fn switch(section: &mut Section<'_>, key: &'static str) -> Result<bool> {
    let raw: String = section.value_or(key, ON_OR_OFF, "off".to_owned())?;
    match raw.trim() {
        "on" => Ok(true),
        "off" => Ok(false),
        other => Err(section.refused(key, other, ON_OR_OFF)),
    }
}

/// An address that may be left empty where a site lacks the service.
fn optional(section: &mut Section<'_>, key: &'static str) -> Result<Option<SocketAddr>> {
    let raw: String = section.value_or(key, ADDRESS, String::new())?;
    let raw = raw.trim();
    if raw.is_empty() {
        return Ok(None);
    }
    raw.parse().map(Some).map_err(|_| section.refused(key, raw, ADDRESS))
}
