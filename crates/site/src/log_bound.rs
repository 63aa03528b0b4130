//! A bound on the log lines of each kind.
//!
//! A kind is what the field `event` says; lines are counted by the place in the code that writes them.

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

/// Lines from one place in the code in a second; a peak of jobs at the sizes of today writes half as many.
pub const LINES_A_SECOND: u32 = 1_000;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The field that names a line's kind.
const KIND_FIELD: &str = "event";

/// Lets through [`LINES_A_SECOND`] of each kind and counts the others.
#[derive(Debug, Default)]
pub struct LineBound {
    kinds: Mutex<FastMap<Identifier, Kind>>,
}

/// Lines that one place in the code writes.
#[derive(Debug)]
struct Kind {
    name: String,
    window: Instant,
    lines: u32,
    left_out: u64,
}

impl Kind {
    fn new(event: &Event<'_>, now: Instant) -> Self {
        let mut name = KindName::default();
        event.record(&mut name);
        Self { name: name.0, window: now, lines: 0, left_out: 0 }
    }

    fn takes(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window) >= WINDOW {
            self.window = now;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        let is_within = self.lines <= LINES_A_SECOND;
        self.left_out += u64::from(!is_within);
        is_within
    }
}

impl LineBound {
    /// How many lines of each kind were left out since the process started.
    pub fn left_out(&self) -> FastMap<String, u64> {
        let kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sums = FastMap::default();
        // Several places may write lines of one kind.
        for it in kinds.values().filter(|it| it.left_out > 0) {
            *sums.entry(it.name.clone()).or_insert(0) += it.left_out;
        }
        sums
    }
}

impl<S> Filter<S> for &'static LineBound {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(event.metadata().callsite());
        kind.or_insert_with(|| Kind::new(event, now)).takes(now)
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
