//! Structured log lines on standard output.

use std::{
    io,
    sync::{LazyLock, OnceLock},
};

use fuchsiamill_model::FastMap;
use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    Layer,
    filter::{FilterExt, LevelFilter},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::log_bound::LineBound;

/// Lines that wait for a slow reader; more are left out and counted.
const WAITING_LINES: usize = 4_096;

/// Counts the lines that a slow reader cost; there is one log a process.
static UNREAD: OnceLock<ErrorCounter> = OnceLock::new();

/// Bounds the lines of each kind.
static BOUND: LazyLock<LineBound> = LazyLock::new(LineBound::default);

/// The kind under which lines are counted that a slow reader cost.
const UNREAD_KIND: &str = "unread";

/// How many lines of each kind were left out since the process started.
pub fn lines_left_out() -> FastMap<String, u64> {
    let unread = UNREAD.get().map_or(0, |it| it.dropped_lines() as u64);
    let mut left_out = BOUND.left_out();
    left_out.insert(UNREAD_KIND.into(), unread);
    left_out
}

/// Starts logging at `level`. Lines are written by a thread of their own, so that a reader that stalls costs lines
/// and never time. Dropping the guard writes what waits.
pub fn start(level: log::LevelFilter) -> Option<WorkerGuard> {
    let level = match level {
        log::LevelFilter::Off => return None,
        log::LevelFilter::Error => Level::ERROR,
        log::LevelFilter::Warn => Level::WARN,
        log::LevelFilter::Info => Level::INFO,
        log::LevelFilter::Debug => Level::DEBUG,
        log::LevelFilter::Trace => Level::TRACE,
    };
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    UNREAD.get_or_init(|| writer.error_counter());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(LevelFilter::from_level(level).and(&*BOUND));
    tracing_subscriber::registry().with(lines).init();
    Some(guard)
}
