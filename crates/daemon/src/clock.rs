//! The clocks of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fuchsiamill_model::{Moment, WallTime};

/// The monotonic clock of one process; its zero is the start of the clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { began: Instant::now() }
    }

    /// The time since the clock started.
    pub fn now(self) -> Moment {
        Moment(self.began.elapsed().as_millis() as u64)
    }

    /// The runtime's instant of a moment, for timers.
    pub fn instant(self, moment: Moment) -> monoio::time::Instant {
        let left = moment.since(self.now());
        monoio::time::Instant::now() + Duration::from_millis(left)
    }

    /// The wall-clock time, for records that people read.
    pub fn wall(self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since.as_millis() as u64)
    }
}
