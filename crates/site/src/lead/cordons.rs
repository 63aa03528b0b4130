//! Applies evacuations of data centres to the coordinator.

use fuchsiamill_fleet::{Name, coordinator::CordonChange};
use fuchsiamill_model::FastSet;

use super::leader::Leader;

impl Leader {
    /// Cordons the hosts of the data centres that the operator evacuates, and no others.
    pub(super) fn apply_evacuations(&mut self, evacuated: &FastSet<Name>) {
        let now = self.cx.clock.now();
        if let Some(change) = self.coordinator.set_evacuated(evacuated, now) {
            log(&change);
            self.cx.metrics.set_evacuated(evacuated.len());
        }
    }
}

fn log(change: &CordonChange) {
    let withdrawn = change.withdrawn;
    for (data_centre, workers) in &change.begun {
        match workers {
            // The operator may have mistyped the name, or its workers are still to register.
            0 => {
                tracing::warn!(event = "cordoned", %data_centre, workers, cause = "no worker there")
            }
            _ => tracing::info!(event = "cordoned", %data_centre, workers, withdrawn),
        }
    }
    for data_centre in &change.ended {
        tracing::info!(event = "cordon-lifted", %data_centre);
    }
}
