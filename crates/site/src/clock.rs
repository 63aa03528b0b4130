//! The monotonic clock and the wall clock of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fuchsiamill_model::units::{Moment, WallTime};

/// Reads the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// The moment at which the process starts; above zero so that moments before the start can be represented.
const START_MS: u64 = 3_600_000;

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current moment on the monotonic clock.
    pub fn now(&self) -> Moment {
        Moment(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the current wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        WallTime(since.as_millis() as u64)
    }
}
