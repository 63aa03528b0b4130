//! Settings of `fuchsiamilld`, read from an INI file and checked before anything starts.
//!
//! A wrong, missing or unknown key is an error that names the file, the section, the key, what is
//! allowed and the remedy. Units stand in the key names: `-ms` is milliseconds.

mod callers;
mod claims;
mod entry;
mod error;
mod fleet;
mod jobs;
mod maintenance;
mod operators;
mod peers;
mod platform;
mod retries;
mod section;
mod timing;
mod weights;

use std::path::Path;

use log::LevelFilter;

pub use callers::Callers;
pub use claims::Claims;
pub use entry::Entry;
pub use error::{Error, Result};
pub use fleet::Fleet;
pub use jobs::Jobs;
pub use maintenance::Maintenance;
pub use operators::Operators;
pub use peers::Peers;
pub use platform::Platform;
pub use retries::Retries;
pub use section::{Document, Section};
pub use timing::Timing;
pub use weights::Weights;

const SECTIONS: [&str; 12] = [
    "entry",
    "peers",
    "platform",
    "callers",
    "claims",
    "jobs",
    "operators",
    "timing",
    "retries",
    "weights",
    "maintenance",
    "log",
];

/// The checked settings of one entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who this entry host is and where it listens.
    pub entry: Entry,
    /// The entry hosts to start with, when the table has no record of them yet.
    pub peers: Peers,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Bounds towards callers.
    pub callers: Callers,
    /// Bounds on the claims of idempotency keys.
    pub claims: Claims,
    /// Time limits and bounds of jobs.
    pub jobs: Jobs,
    /// The operators and the digests of their keys.
    pub operators: Operators,
    /// Time limits of the entry hosts' protocols.
    pub timing: Timing,
    /// Bounds on retries.
    pub retries: Retries,
    /// What the planner values.
    pub weights: Weights,
    /// Plans and waves.
    pub maintenance: Maintenance,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self> {
        Document::load(path)?.try_into()
    }

    /// Checks the text of a file; `file` is its name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Document::parse(file, text)?.try_into()
    }

    fn check_across(&self, document: &Document) -> Result<()> {
        if !self.peers.0.is_empty() && !self.peers.0.contains_key(&self.entry.name) {
            let remedy =
                format!("add a line for this entry host itself: '{} = IP:PORT'", self.entry.name);
            return Err(document.clash("peers", self.entry.name.as_str(), remedy));
        }
        if self.timing.start_by_ms >= self.callers.longest_deadline_ms {
            let remedy = "set it below 'longest-deadline-ms' of section 'callers'";
            return Err(document.clash("timing", "start-by-ms", remedy));
        }
        let needed = self.timing.shutdown_notice_ms + self.callers.longest_deadline_ms;
        if self.timing.shutdown_ms < needed {
            let remedy = format!(
                "set it to at least {needed}, the sum of 'shutdown-notice-ms' and 'longest-deadline-ms', so that a shutdown cuts no request"
            );
            return Err(document.clash("timing", "shutdown-ms", remedy));
        }
        Ok(())
    }
}

impl TryFrom<Document> for Settings {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self> {
        document.allow_sections(&SECTIONS)?;
        let settings = Self {
            entry: document.section("entry")?.try_into()?,
            peers: document.section("peers")?.try_into()?,
            platform: document.section("platform")?.try_into()?,
            callers: document.section("callers")?.try_into()?,
            claims: document.section("claims")?.try_into()?,
            jobs: document.section("jobs")?.try_into()?,
            operators: document.section("operators")?.try_into()?,
            timing: document.section("timing")?.try_into()?,
            retries: document.section("retries")?.try_into()?,
            weights: document.section("weights")?.try_into()?,
            maintenance: document.section("maintenance")?.try_into()?,
            log_level: log_level(document.section("log")?)?,
        };
        settings.check_across(&document)?;
        Ok(settings)
    }
}

fn log_level(mut section: Section<'_>) -> Result<LevelFilter> {
    let level =
        section.value_or("level", "off, error, warn, info, debug or trace", LevelFilter::Info)?;
    section.finish()?;
    Ok(level)
}
