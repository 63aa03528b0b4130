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

use crate::log_limit::LineLimiter;

/// The most lines that wait for a slow reader; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// Counts the lines dropped due to a slow reader. A process has one log.
static UNREAD_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Limits the rate of the lines of each kind.
static LIMITER: LazyLock<LineLimiter> = LazyLock::new(LineLimiter::default);

/// The kind under which lines dropped due to a slow reader are counted.
const UNREAD_KIND: &str = "unread";

/// Returns how many lines of each kind have been dropped since the process started.
pub fn dropped_line_counts() -> FastMap<String, u64> {
    let unread = UNREAD_LINES.get().map_or(0, |it| it.dropped_lines() as u64);
    let mut dropped = LIMITER.dropped();
    dropped.insert(UNREAD_KIND.into(), unread);
    dropped
}

/// Starts logging at `level`; returns `None` if it is off. A separate thread writes the lines, so that a reader that
/// stalls causes dropped lines but no delay. Dropping the guard writes the lines that wait.
pub fn start(level: log::LevelFilter) -> Option<WorkerGuard> {
    let level = match level {
        log::LevelFilter::Off => return None,
        log::LevelFilter::Error => Level::ERROR,
        log::LevelFilter::Warn => Level::WARN,
        log::LevelFilter::Info => Level::INFO,
        log::LevelFilter::Debug => Level::DEBUG,
        log::LevelFilter::Trace => Level::TRACE,
    };
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    UNREAD_LINES.get_or_init(|| writer.error_counter());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(LevelFilter::from_level(level).and(&*LIMITER));
    tracing_subscriber::registry().with(lines).init();
    Some(guard)
}
