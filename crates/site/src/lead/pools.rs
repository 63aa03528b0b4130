//! Logs the figures from which the sizes of pools are planned.

use fuchsiamill_fleet::coordinator::PoolNeed;
use fuchsiamill_model::units::{Millisecond, Moment};

use crate::metrics::Metrics;

/// The least time between two rounds of log lines: a pool's size changes within seconds, so one line a second shows it.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// Logs the needs of pools when they change.
#[derive(Default)]
pub struct PoolLog {
    logged: Moment,
    last: Vec<PoolNeed>,
}

impl PoolLog {
    /// Logs each pool whose need differs from the last round, and records all in the metrics; does nothing within [`LOG_INTERVAL_MS`] of that round.
    pub fn log_changes(&mut self, needs: &[PoolNeed], metrics: &Metrics, now: Moment) {
        if now.since(self.logged) < LOG_INTERVAL_MS {
            return;
        }
        self.logged = now;
        needs.iter().for_each(|it| metrics.set_pool(it));
        for need in needs.iter().filter(|it| !self.last.contains(it)) {
            tracing::info!(
                event = "pool-planned",
                pool = %need.pool,
                hosts = need.hosts,
                wanted = need.wanted,
                owed = need.owed,
                in_time = need.in_time,
                claim = need.claim,
                share = need.share,
                pressing = need.pressing,
                idle = need.idle,
                standing = need.standing,
                drained = need.drained,
                held = need.held,
                packed = need.packed,
                kept = need.kept,
                moves = need.moves,
                expected_millicores = need.expected,
                present_millicores = need.present,
                lacking = ?need.lacking,
            );
        }
        self.last = needs.to_vec();
    }
}
