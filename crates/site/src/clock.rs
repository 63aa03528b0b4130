//! The clocks of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fuchsiamill_model::units::{Moment, WallTime};

/// Reads the steady clock and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Moments start here, so that a time before the start of the process can be told.
const START_MS: u64 = 3_600_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The steady clock.
    pub fn now(&self) -> Moment {
        Moment(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// The time of day.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        WallTime(since.as_millis() as u64)
    }
}
