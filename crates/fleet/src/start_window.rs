//! How many starts may be under way at once.
//!
//! A window by the rule of LEDBAT (RFC 6817): it grows while calls are delayed by less than a target, the less the nearer
//! they come to it, and shrinks in proportion once they are later. That rule is meant for traffic that yields to the rest
//! of its link, as starts do: polls and stops, which share link and processor with them, are delayed by no more than the
//! target. The delay rises with whatever is short, the link or the processor, so no further limit is needed. As in congestion window
//! validation (RFC 7661), a window that is not used does not grow without limit, since nothing shows that it could be used.

use fuchsiamill_model::units::Millisecond;

/// The starts that may be under way at first. At 4 KB each they take a link of 10 Mbit/s 50 ms.
const FIRST_STARTS: usize = 16;

/// The starts that may be under way however late calls are, so that some work always starts.
const MIN_STARTS: usize = 8;

/// How far a window grows that is not used. At 4 KB a start they take a link of 100 Mbit/s 50 ms.
const MAX_UNUSED_STARTS: usize = 128;

/// A window counts as used if one in this many of its starts were under way at some moment.
const USED_DIVISOR: usize = 2;

/// What keeps more starts from being under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Nothing: fewer starts are under way than may be.
    None,
    /// The window, which grows.
    Window,
    /// The link or the processor: calls are late.
    Delay,
}

/// The number of starts that may be under way.
#[derive(Debug)]
pub struct StartWindow {
    size: usize,
    /// The delay up to which the window grows, in milliseconds.
    target_ms: Millisecond,
    /// The most starts that were under way since the last evaluation.
    most_used: usize,
    limit: Limit,
}

impl StartWindow {
    /// A window that grows while calls are delayed by less than `target_ms`.
    pub fn new(target_ms: Millisecond) -> Self {
        Self { size: FIRST_STARTS, target_ms, most_used: 0, limit: Limit::None }
    }

    /// Returns how many starts may be under way.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns what kept more starts from being under way up to the last evaluation.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Notes how many starts are under way.
    pub fn note_used(&mut self, under_way: usize) {
        self.most_used = self.most_used.max(under_way);
    }

    /// Adapts the window to the delay of the calls since the last evaluation.
    pub fn evaluate(&mut self, delay_ms: Millisecond) {
        let is_used = std::mem::take(&mut self.most_used) >= self.size / USED_DIVISOR;
        self.limit = match () {
            () if delay_ms > self.target_ms => Limit::Delay,
            () if is_used => Limit::Window,
            () => Limit::None,
        };
        let (size, delay, target) = (self.size as u64, delay_ms, self.target_ms);
        self.size = match self.limit {
            Limit::Delay => ((size * target / delay) as usize).max(MIN_STARTS),
            Limit::Window => (size + size * (target - delay) / target) as usize,
            Limit::None => self.unused_size(),
        };
    }

    /// Returns whether the starts themselves may be what delays calls, rather than a longer route.
    pub fn explains_delay(&self) -> bool {
        self.limit != Limit::None && self.size > MIN_STARTS
    }

    /// Halves the window, since hardly any call is answered, which tells no delay.
    pub fn halve(&mut self) {
        self.most_used = 0;
        self.limit = Limit::Delay;
        self.size = (self.size / 2).max(FIRST_STARTS.min(self.size));
    }

    /// Returns the size after a time in which the window was not used: it approaches the one that needs no use.
    fn unused_size(&self) -> usize {
        match self.size > MAX_UNUSED_STARTS {
            true => (self.size / 2).max(MAX_UNUSED_STARTS),
            false => (self.size * 2).min(MAX_UNUSED_STARTS),
        }
    }
}
