//! The steady clock and the wall clock of this process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fuchsiamill_model::units::{Moment, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Reads the steady clock and the wall clock.
///
/// The steady clock counts the time for which the machine was suspended. Every permission that ends after a while, such
/// as the lease of the coordinator, ends for the rest of the system meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// The moment at which the process starts; above zero so that moments before the start can be represented.
const START_MS: u64 = 3_600_000;

impl Clock {
    /// Starts the steady clock.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current moment on the steady clock.
    pub fn now(&self) -> Moment {
        Moment(START_MS + since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    /// Returns the current wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        WallTime(since.as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
