//! One entry host of a site.

use std::{collections::BTreeMap, fmt::Write as _, net::SocketAddr, ops::Deref};

use fuchsiamill_http::{Request, Response};
use fuchsiamill_standin::story::Story;

use super::{net, process::Daemon};

/// An entry host: a [`Daemon`] with its addresses.
pub struct EntryProcess {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where metrics, readiness and liveness are served.
    pub metrics: SocketAddr,
    daemon: Daemon,
}

impl EntryProcess {
    /// Writes the settings file and starts the process.
    pub fn start(name: String, settings: BTreeMap<String, String>, story: Story) -> Self {
        let addr = |key: &str| -> SocketAddr { settings[key].parse().expect("an address") };
        let (caller, operator, metrics) =
            (addr("entry.caller"), addr("entry.operator"), addr("entry.metrics"));
        let daemon = Daemon::start_telling(caller, &ini(&settings), name.clone(), story);
        Self { name, caller, operator, metrics, daemon }
    }

    /// Whether it tells the balancer that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/ready").is_some_and(|it| it.status.is_success())
    }

    /// Gets a page of the metrics port.
    pub fn get(&self, target: &str) -> Option<Response> {
        net::send(self.metrics, Request::get(target))
    }
}

impl Deref for EntryProcess {
    type Target = Daemon;

    fn deref(&self) -> &Daemon {
        &self.daemon
    }
}

fn ini(settings: &BTreeMap<String, String>) -> String {
    let mut sections: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for (key, value) in settings {
        let (section, key) = key.split_once('.').expect("section.key");
        sections.entry(section).or_default().push((key, value));
    }
    let mut text = String::new();
    for (section, keys) in sections {
        let _ = writeln!(text, "[{section}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    text
}
