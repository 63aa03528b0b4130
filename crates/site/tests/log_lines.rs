//! The log of a busy process is rate-limited by kind, and the dropped lines are counted.

mod common;

use common::LogBuffer;
use fuchsiamill_site::log_limit::{LINES_PER_SECOND, LineLimiter};
use tracing_subscriber::{Layer, layer::SubscriberExt};

/// A burst of lines of one kind causes dropped lines of that kind only.
#[test]
fn each_kind_has_its_own_limit() {
    let (log, limiter) = (LogBuffer::default(), Box::leak(Box::<LineLimiter>::default()));
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true);
    let lines = lines.with_writer(log.clone()).with_filter(&*limiter);
    let sent = LINES_PER_SECOND * 3;
    tracing::subscriber::with_default(tracing_subscriber::registry().with(lines), || {
        for number in 0..sent {
            tracing::info!(event = "task-started", number);
        }
        tracing::info!(event = "job-ended", job = "j1");
    });
    let (busy, dropped) = (log.lines("task-started"), limiter.dropped());
    // The lines may have been written in two adjacent counting periods, each with its own limit.
    assert!((LINES_PER_SECOND as usize..=2 * LINES_PER_SECOND as usize).contains(&busy), "{busy}");
    assert_eq!(busy as u64 + dropped["task-started"], u64::from(sent));
    assert_eq!(dropped.len(), 1, "{dropped:?}");
    assert_eq!(log.lines("job-ended"), 1);
}
