//! What the sizes of pools were decided from, as log lines.

use fuchsiamill_fleet::coordinator::PoolNeed;
use fuchsiamill_model::units::{Millisecond, Moment};

/// The least time between two looks: a pool's size changes within seconds, and a line a second tells that.
const LOOK_MS: Millisecond = 1_000;

/// Logs the needs of pools that changed.
#[derive(Default)]
pub struct PoolLog {
    looked: Moment,
    last: Vec<PoolNeed>,
}

impl PoolLog {
    /// Logs each pool whose need is another than at the last look.
    pub fn note(&mut self, needs: &[PoolNeed], now: Moment) {
        if now.since(self.looked) < LOOK_MS {
            return;
        }
        self.looked = now;
        for need in needs.iter().filter(|it| !self.last.contains(it)) {
            tracing::info!(
                event = "pool-planned",
                pool = %need.pool,
                hosts = need.hosts,
                wanted = need.wanted,
                owed = need.owed,
                pressing = need.pressing,
                idle = need.idle,
                expected_millicores = need.expected,
                present_millicores = need.present,
                lacking = ?need.lacking,
            );
        }
        self.last = needs.to_vec();
    }
}
