//! How long calls to workers take.

use fuchsiamill_model::units::Millisecond;

/// The times of the calls of one period, without the time that a worker was asked to wait.
#[derive(Debug, Default)]
pub struct CallTimes {
    answered: Vec<Millisecond>,
    unanswered: u32,
}

/// What the calls of one period show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallSummary {
    /// The number of answered calls.
    pub answered: usize,
    /// The number of calls that were given up.
    pub unanswered: u32,
    /// A quarter of the answered calls took this long or less, in milliseconds. Workers that are slow themselves leave
    /// it as it is; a delay on this side raises it.
    pub fastest_quarter_ms: Millisecond,
    /// The time of the slowest answered call, in milliseconds.
    pub longest_ms: Millisecond,
}

impl CallTimes {
    /// Notes an answered call.
    pub fn answered(&mut self, ms: Millisecond) {
        self.answered.push(ms);
    }

    /// Notes a call that was given up.
    pub fn unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// Returns what the calls since the last summary show.
    pub fn take_summary(&mut self) -> CallSummary {
        let mut times = std::mem::take(&mut self.answered);
        times.sort_unstable();
        CallSummary {
            answered: times.len(),
            unanswered: std::mem::take(&mut self.unanswered),
            fastest_quarter_ms: times.get(times.len() / 4).copied().unwrap_or(0),
            longest_ms: times.last().copied().unwrap_or(0),
        }
    }
}
