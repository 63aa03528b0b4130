//! A rate limit on the log lines of each kind.
//!
//! The kind of a line is its field `event`. The limit applies to each place in the code that writes lines.

use std::{
    fmt,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use fuchsiamill_model::FastMap;
use tracing::{
    Event, Metadata,
    callsite::Identifier,
    field::{Field, Visit},
};
use tracing_subscriber::layer::{Context, Filter};

/// The most lines per second from one place in the code. A peak of jobs at present sizes writes half as many.
pub const LINES_PER_SECOND: u32 = 1_000;

/// The period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The log field that holds a line's kind.
const KIND_FIELD: &str = "event";

/// Passes [`LINES_PER_SECOND`] from each place in the code, and counts the lines it drops.
#[derive(Debug, Default)]
pub struct LineLimiter {
    call_sites: Mutex<FastMap<Identifier, CallSite>>,
}

/// The line count of one place in the code.
#[derive(Debug)]
struct CallSite {
    name: String,
    window: Instant,
    lines: u32,
    dropped: u64,
}

impl CallSite {
    fn new(event: &Event<'_>, now: Instant) -> Self {
        let mut name = KindName::default();
        event.record(&mut name);
        Self { name: name.0, window: now, lines: 0, dropped: 0 }
    }

    fn admits(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window) >= WINDOW {
            self.window = now;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        let is_within = self.lines <= LINES_PER_SECOND;
        self.dropped += u64::from(!is_within);
        is_within
    }
}

impl LineLimiter {
    /// Returns how many lines of each kind have been dropped since the process started.
    pub fn dropped(&self) -> FastMap<String, u64> {
        let call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sums = FastMap::default();
        // Several places in the code may write lines of one kind.
        for it in call_sites.values().filter(|it| it.dropped > 0) {
            *sums.entry(it.name.clone()).or_insert(0) += it.dropped;
        }
        sums
    }
}

impl<S> Filter<S> for &'static LineLimiter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let now = Instant::now();
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let call_site = call_sites.entry(event.metadata().callsite());
        call_site.or_insert_with(|| CallSite::new(event, now)).admits(now)
    }
}

#[derive(Default)]
struct KindName(String);

impl Visit for KindName {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == KIND_FIELD {
            self.0 = value.to_owned();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn fmt::Debug) {}
}
