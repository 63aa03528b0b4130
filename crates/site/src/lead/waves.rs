//! Logs how far waves of maintenance are, and what holds them up.

use fuchsiamill_fleet::{Coordinator, Tenure, coordinator::WaveProgress};
use fuchsiamill_model::units::{Millisecond, Moment};

/// The least time between two rounds of log lines.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// Logs the progress of open waves when it changes.
#[derive(Default)]
pub struct WaveLog {
    logged: Moment,
    last: Vec<WaveProgress>,
}

impl WaveLog {
    /// Logs each open wave whose progress differs from the last round; does nothing within [`LOG_INTERVAL_MS`] of that round, or while
    /// another coordinator may plan the waves.
    pub fn log_changes(&mut self, coordinator: &Coordinator, tenure: Tenure, now: Moment) {
        if now.since(self.logged) < LOG_INTERVAL_MS || tenure == Tenure::Unknown {
            return;
        }
        self.logged = now;
        let waves = coordinator.wave_progress(now);
        for it in waves.iter().filter(|it| !self.last.contains(it)) {
            tracing::info!(
                event = "wave-planned",
                wave = it.number,
                left = it.left,
                lost = it.lost,
                drained = it.drained,
                drained_lasting = it.drained_lasting,
                down = it.down,
                at_once = it.at_once,
                kept = it.kept,
                waiting_lasting = it.waiting_lasting,
            );
        }
        self.last = waves;
    }
}
