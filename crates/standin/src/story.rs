//! What happened at the stand-ins and callers of one site, in its order, for a test that fails.

use std::{
    fmt::Display,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const DAY_SECS: u64 = 24 * 3600;

/// Lines that many threads add; nothing is kept unless it was made by [`Story::kept`].
#[derive(Clone, Debug, Default)]
pub struct Story(Option<Arc<Mutex<Vec<Line>>>>);

/// One event.
#[derive(Clone, Debug)]
pub struct Line {
    /// The time of the day, by the machine's wall clock in UTC, as in the daemons' logs.
    pub time: String,
    /// Who tells.
    pub who: String,
    /// What happened.
    pub what: String,
}

impl Story {
    /// A story that keeps its lines.
    pub fn kept() -> Self {
        Self(Some(Arc::default()))
    }

    /// Adds what `what` gives, which is not asked where nothing is kept.
    pub fn tell<T: Display>(&self, who: &str, what: impl FnOnce() -> T) {
        let Some(lines) = &self.0 else { return };
        let what = what().to_string();
        // Stamped under the lock: the lines of one story are in their order.
        let mut lines = lines.lock().expect("no thread panics while it tells");
        lines.push(Line { time: time_of_day(), who: who.into(), what });
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<Line> {
        let Some(lines) = &self.0 else { return Vec::new() };
        lines.lock().expect("no thread panics while it tells").clone()
    }
}

/// The time of the day in UTC, as the daemons' logs write it after the date.
pub fn time_of_day() -> String {
    written(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn written(since_epoch: Duration) -> String {
    let secs = since_epoch.as_secs() % DAY_SECS;
    let (hours, minutes, secs) = (secs / 3600, secs / 60 % 60, secs % 60);
    format!("{hours:02}:{minutes:02}:{secs:02}.{:09}", since_epoch.subsec_nanos())
}
