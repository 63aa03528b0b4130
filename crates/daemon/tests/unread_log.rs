//! A log that nobody reads costs lines, never requests.

mod common;

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, job},
    wait_until,
};

/// Far more lines than wait for a reader: one for each job at least.
const JOBS: usize = 12_000;
const CALLERS: usize = 8;

/// Callers wait this long for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Faults that are not mended.
mod known_red {
    use super::*;

    #[test]
    fn stalled_reader_costs_lines_only() {
        let fleet = Fleet::start(1, 4);
        fleet.entries[0].restart_unread();
        wait_until("it is ready", || fleet.entries[0].is_ready());
        let (entry, posted) = (&fleet.entries[0], AtomicUsize::new(0));
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    while posted.fetch_add(1, Ordering::Relaxed) < JOBS {
                        let id = format!("{:016x}", fastrand::u64(..));
                        let begin = Instant::now();
                        let answer = entry.post(&id, &job(1, &[1])).expect("an answer");
                        assert_eq!(answer.status.as_u16(), 200);
                        assert!(
                            begin.elapsed() <= ANSWER_TIME,
                            "answered after {:?}",
                            begin.elapsed()
                        );
                    }
                });
            }
        });
        let metrics = entry.metrics();
        let is_count = |it: &&str| {
            it.starts_with("log_lines_left_out_total") && it.contains("kind=\"unread\"")
        };
        let line = metrics.lines().find(is_count).expect("a count");
        let left_out: f64 = line.rsplit(' ').next().unwrap().parse().unwrap();
        assert!(left_out > 0.0, "{line}");
    }
}
