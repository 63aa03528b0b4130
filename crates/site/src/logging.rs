//! Structured log lines on standard output.

use std::{io, sync::OnceLock};

use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait for a slow reader; more are left out and counted.
const WAITING_LINES: usize = 4_096;

/// Counts the lines that were left out; there is one log a process.
static LEFT_OUT: OnceLock<ErrorCounter> = OnceLock::new();

/// How many lines were left out since the process started.
pub fn lines_left_out() -> u64 {
    LEFT_OUT.get().map_or(0, |it| it.dropped_lines() as u64)
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
    LEFT_OUT.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_writer(writer)
        .init();
    Some(guard)
}
