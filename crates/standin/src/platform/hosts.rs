//! The lagging list of hosts.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fuchsiamill_model::HostName;
use fuchsiamill_ports::{HostReport, Liveness};

use crate::admin::SetLiveness;

/// What the list says now, and what it will say later.
#[derive(Default)]
pub struct HostList {
    shown: BTreeMap<String, Liveness>,
    pending: Vec<(Instant, SetLiveness)>,
}

impl HostList {
    /// Takes a change that the list shows after its lag.
    pub fn set(&mut self, set: SetLiveness) {
        self.pending.push((Instant::now() + Duration::from_millis(set.lag_ms), set));
    }

    /// The list as it shows now.
    pub fn list(&mut self) -> Vec<HostReport> {
        let now = Instant::now();
        for (_, set) in self.pending.extract_if(.., |(at, _)| *at <= now) {
            self.shown.insert(set.host, set.liveness);
        }
        let report = |(host, liveness): (&String, &Liveness)| {
            Some(HostReport { host: HostName::try_from(host.as_str()).ok()?, liveness: *liveness })
        };
        self.shown
            .iter()
            .filter(|(_, liveness)| **liveness != Liveness::Gone)
            .filter_map(report)
            .collect()
    }
}
