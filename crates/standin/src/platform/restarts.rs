//! Restarts of hosts: once for each id, with hosts that are slow or never come back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fuchsiamill_ports::restart::{RestartOrder, RestartState};

use crate::{
    admin::{RestartMode, SetRestart},
    record::Restart,
};

/// The restarts that were ordered.
#[derive(Default)]
pub struct Restarts {
    modes: BTreeMap<String, RestartMode>,
    back_at: BTreeMap<String, Option<Instant>>,
}

impl Restarts {
    /// Sets how a host restarts from now on.
    pub fn set(&mut self, set: SetRestart) {
        self.modes.insert(set.host, set.mode);
    }

    /// Takes an order; the record is there when it begins a restart.
    pub fn order(&mut self, order: &RestartOrder, now_ms: u64) -> (RestartState, Option<Restart>) {
        if let Some(back_at) = self.back_at.get(&order.id) {
            let is_back = back_at.is_some_and(|at| at <= Instant::now());
            return (if is_back { RestartState::Done } else { RestartState::Running }, None);
        }
        let mode = self.modes.get(order.host.as_str()).copied().unwrap_or_default();
        let (back_at, back_ms) = match mode {
            RestartMode::Back { ms } => {
                (Some(Instant::now() + Duration::from_millis(ms)), Some(now_ms + ms))
            }
            RestartMode::Never => (None, None),
        };
        self.back_at.insert(order.id.clone(), back_at);
        let host = order.host.to_string();
        let begun = Restart { host, id: order.id.clone(), began_ms: now_ms, back_ms };
        (RestartState::Running, Some(begun))
    }
}
